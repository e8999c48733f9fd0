"""Wake every waiting task when something changed."""

import asyncio


class Broadcast:
    """Let tasks wait for the next notification."""

    def __init__(self) -> None:
        """Start with no notification."""
        self.next_event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        event = self.next_event
        self.next_event = asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Return True on a notification, False after ``timeout_s``."""
        try:
            await asyncio.wait_for(self.next_event.wait(), timeout_s)
        except asyncio.TimeoutError:
            return False
        return True
