"""Measure how long the event loop works without a turn for other tasks."""

import asyncio
import gc
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs


@attrs.define
class PauseClock:
    """Hold the longest work of the event loop between two turns, in seconds.

    It is measured in processor time: a busy machine takes none of it. The
    garbage collector rests: its time grows with the objects of all tests that
    ran before in the process.
    """

    longest_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before_s = time.thread_time()
            await asyncio.sleep(0)
            worked_s = time.thread_time() - before_s
            self.longest_s = max(self.longest_s, worked_s)


@asynccontextmanager
async def running_pause_clock() -> AsyncIterator[PauseClock]:
    """Measure while the context is active."""
    clock = PauseClock()
    gc.disable()
    measured = asyncio.create_task(clock.run())
    try:
        yield clock
    finally:
        measured.cancel()
        gc.enable()
