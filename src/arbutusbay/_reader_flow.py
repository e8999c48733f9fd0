"""Wait for a client to take what it was sent, and hold back what follows."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs
from aiohttp import ClientConnectionResetError

from arbutusbay.reader_budget import READERS, STEP_S, ReaderBudget

_LOW_RATIO = 4


class ResponseSource(Protocol):
    """Represent the connection from which a response is read."""

    def hold_back(self) -> None:
        """Read no more for now."""

    def go_on(self) -> None:
        """Read on."""


def _set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@attrs.define(kw_only=True, eq=False)
class ReaderFlow:
    """Follow how one client takes what is written to its connection.

    ``source`` is held back while the client is awaited, None if nothing is read
    for it. ``behind_since_s`` is when the client last took anything, None
    unless it is behind; in seconds on the clock of the event loop. ``has_room``
    is set unless the transport has too much to send. ``waited_s`` is for how
    long the client was awaited since the latest response began.
    """

    transport: asyncio.WriteTransport
    budget: ReaderBudget = READERS
    source: ResponseSource | None = None
    behind_since_s: float | None = None
    waited_s: float = 0.0
    has_room: asyncio.Event = attrs.field(factory=_set_event)
    is_lost: bool = False

    @property
    def is_behind(self) -> bool:
        """Return whether the client has to be awaited."""
        return self._unread_bytes() > self.budget.first_bytes

    async def wait(self) -> None:
        """Wait until no more is unread than the budget allows.

        Raises ``ClientConnectionResetError`` if the connection was lost before.
        """
        if self.is_lost:
            raise ClientConnectionResetError('connection lost')
        if self.transport.is_closing():
            return
        if not self.is_behind:
            self.behind_since_s = None
            return
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            with self._held_back_source():
                await self._wait_within_budget()
        finally:
            self.waited_s += loop.time() - began_s

    def lose(self) -> None:
        """Let nothing wait for a connection that is lost."""
        self.is_lost = True
        self.has_room.set()

    @contextmanager
    def reading_from(self, source: ResponseSource) -> Iterator[None]:
        """Hold back ``source`` whenever the client is awaited."""
        self.source = source
        try:
            yield
        finally:
            self.source = None

    async def _wait_within_budget(self) -> None:
        loop = asyncio.get_running_loop()
        if self.behind_since_s is None:
            self.behind_since_s = loop.time()
        with self.budget.waiting() as reader:
            while not self.transport.is_closing():
                unread_bytes = self._unread_bytes()
                reader.hold(unread_bytes)
                waited_s = loop.time() - self.behind_since_s
                allowed_bytes = self.budget.allowed_bytes(waited_s)
                if unread_bytes <= allowed_bytes:
                    return
                self.transport.set_write_buffer_limits(
                    high=allowed_bytes, low=allowed_bytes // _LOW_RATIO
                )
                await self._wait_for_room()
                if self._unread_bytes() < unread_bytes:
                    self.behind_since_s = loop.time()

    async def _wait_for_room(self) -> None:
        """Wait for room, but no longer than until more may be allowed."""
        try:
            async with asyncio.timeout(STEP_S):
                await self.has_room.wait()
        except TimeoutError:
            return

    @contextmanager
    def _held_back_source(self) -> Iterator[None]:
        source = self.source
        if source is None:
            yield
            return
        source.hold_back()
        try:
            yield
        finally:
            source.go_on()

    def _unread_bytes(self) -> int:
        return self.transport.get_write_buffer_size()
