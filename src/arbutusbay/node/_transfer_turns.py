"""Bound how many long responses cross the link of a relay at once."""

import asyncio

_MAX_TRANSFERS = 8


class TransferTurns:
    """Give turns to connections, each until the next request on it.

    That request shows that the response has arrived. A turn ends after
    ``max_turn_s`` seconds in any case.
    """

    def __init__(self, *, max_turn_s: float) -> None:
        """Start with all turns free."""
        self.max_turn_s = max_turn_s
        self.free = asyncio.Semaphore(_MAX_TRANSFERS)
        self.timers: dict[asyncio.BaseTransport, asyncio.TimerHandle] = {}

    async def begin(
        self, connection: asyncio.BaseTransport, wait_s: float
    ) -> bool:
        """Wait ``wait_s`` for a turn and return whether it has begun."""
        try:
            async with asyncio.timeout(wait_s):
                await self.free.acquire()
        except TimeoutError:
            return False
        self.timers[connection] = asyncio.get_running_loop().call_later(
            self.max_turn_s, self.end, connection
        )
        return True

    def end(self, connection: asyncio.BaseTransport) -> None:
        """End the turn of ``connection``, if it has one."""
        timer = self.timers.pop(connection, None)
        if timer is None:
            return
        timer.cancel()
        self.free.release()
