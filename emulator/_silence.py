"""Let an emulated server send nothing for a while and then go on."""

import asyncio


class Silence:
    """Hold back what a server sends; its connections stay open."""

    def __init__(self) -> None:
        """Start without a silence."""
        self.over = asyncio.Event()
        self.over.set()

    def begin(self, duration_s: float) -> None:
        """Send nothing for ``duration_s`` seconds."""
        self.over.clear()
        asyncio.get_running_loop().call_later(duration_s, self.over.set)

    async def sleep(self, duration_s: float) -> None:
        """Sleep for ``duration_s`` seconds, then until the silence is over."""
        await asyncio.sleep(duration_s)
        await self.over.wait()
