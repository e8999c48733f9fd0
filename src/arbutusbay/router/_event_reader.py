"""Await the next event of an attempt without giving it up meanwhile."""

import asyncio
import time
from collections.abc import AsyncGenerator
from typing import Any

from result import Result

from arbutusbay.backend import GenerationEvent
from arbutusbay.errors import Failure

_CHECK_INTERVAL_S = 0.25
_MAX_CHECK_DELAY_S = 0.25

EngineEvent = Result[GenerationEvent, Failure]


class EventReader:
    """Read the events of one attempt, also after a wait that was too long.

    ``anext`` can't be awaited again once it was cancelled, so it runs in a task
    of its own, which only ``aclose`` cancels.
    """

    def __init__(self, *, events: AsyncGenerator[EngineEvent, None]) -> None:
        """Create a reader, which ``aclose`` must close."""
        self.events = events
        self.next_event: asyncio.Task[EngineEvent | None] | None = None

    async def wait(self, silence_s: float) -> bool:
        """Wait for an event; return whether it came within ``silence_s``.

        The time in which this VM did not run does not count.
        """
        awaited = self._start_reading()
        silent_s = 0.0
        while silent_s < silence_s:
            check_s = min(_CHECK_INTERVAL_S, silence_s - silent_s)
            started_s = time.monotonic()
            await asyncio.wait((awaited,), timeout=check_s)
            if awaited.done():
                return True
            elapsed_s = time.monotonic() - started_s
            silent_s += min(elapsed_s, check_s + _MAX_CHECK_DELAY_S)
        return False

    async def wait_unless(
        self, alternative: asyncio.Future[Any], timeout_s: float
    ) -> bool:
        """Wait for an event, until ``alternative`` is done or ``timeout_s``.

        Return whether an event has come.
        """
        awaited = self._start_reading()
        await asyncio.wait(
            (awaited, alternative),
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return awaited.done()

    def peek(self) -> EngineEvent | None:
        """Return the event that has come, which ``take`` returns as well."""
        return self._start_reading().result()

    def take(self) -> EngineEvent | None:
        """Return the event that has come, None at the end of the events."""
        event = self._start_reading().result()
        self.next_event = None
        return event

    async def aclose(self) -> None:
        """Stop reading and close the events."""
        if self.next_event is not None:
            self.next_event.cancel()
            await asyncio.wait((self.next_event,))
        await self.events.aclose()

    def _start_reading(self) -> asyncio.Task[EngineEvent | None]:
        if self.next_event is None:
            self.next_event = asyncio.create_task(_read_next(self.events))
        return self.next_event


async def _read_next(
    events: AsyncGenerator[EngineEvent, None],
) -> EngineEvent | None:
    return await anext(events, None)
