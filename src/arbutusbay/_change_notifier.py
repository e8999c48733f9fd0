"""Notify all waiting tasks of a change."""

import asyncio


class ChangeNotifier:
    """Wake all tasks that wait for the next notification.

    A notification is not stored: a task that starts to wait afterwards waits
    for the next one.
    """

    def __init__(self) -> None:
        """Create the event that the first notification sets."""
        self.next_event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting at the time of the call."""
        event = self.next_event
        self.next_event = asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next notification for at most ``timeout_s`` seconds.

        Returns True if notified, and False if the timeout expires first.
        """
        try:
            await asyncio.wait_for(self.next_event.wait(), timeout_s)
        except asyncio.TimeoutError:
            return False
        return True
