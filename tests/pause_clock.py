"""Measure how long the event loop does not run other tasks."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs


@attrs.define
class PauseClock:
    """Hold the longest pause of the event loop, in seconds."""

    longest_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(0)
            self.longest_s = max(self.longest_s, loop.time() - before_s)


@asynccontextmanager
async def running_pause_clock() -> AsyncIterator[PauseClock]:
    """Measure while the context is active."""
    clock = PauseClock()
    measured = asyncio.create_task(clock.run())
    try:
        yield clock
    finally:
        measured.cancel()
