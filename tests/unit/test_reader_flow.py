"""Check how a VM waits for a client that reads slowly, without network."""

import asyncio
import contextlib

import attrs
import pytest
from aiohttp import ClientConnectionResetError

from arbutusbay._reader_flow import ReaderFlow
from arbutusbay.reader_budget import STEP_S, ReaderBudget
from arbutusbay.response_streams import ResponseStream
from arbutusbay.responses import BodyEnd

_TOTAL_BYTES = 13_600_000
_QUICK_S = 0.1


@attrs.define(kw_only=True)
class FakeTransport:
    """Hold what is unread, and tell the flow as a transport does."""

    unread_bytes: int = 0
    low_bytes: int = 0
    is_closed: bool = False
    flow: ReaderFlow | None = None

    def is_closing(self) -> bool:
        """Return whether the connection is lost."""
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        """Return what the client has not taken."""
        return self.unread_bytes

    def set_write_buffer_limits(self, *, high: int, low: int) -> None:
        """Tell the flow at once if too much is unread."""
        self.low_bytes = low
        if self.unread_bytes > high:
            self.flow.has_room.clear()

    def take(self, size: int) -> None:
        """Let the client take bytes."""
        self.unread_bytes -= size
        if self.unread_bytes <= self.low_bytes:
            self.flow.has_room.set()


@attrs.define(kw_only=True)
class FakeSource:
    """Hold whether the connection to the server is held back."""

    is_held_back: bool = False
    held_count: int = 0

    def hold_back(self) -> None:
        """Note that nothing is read."""
        self.is_held_back = True
        self.held_count += 1

    def go_on(self) -> None:
        """Note that it is read again."""
        self.is_held_back = False


@pytest.fixture
async def flow() -> ReaderFlow:
    """Return the flow to a client, with a source."""
    transport = FakeTransport()
    flow = ReaderFlow(
        transport=transport,
        budget=ReaderBudget(total_bytes=_TOTAL_BYTES),
        source=FakeSource(),
    )
    transport.flow = flow
    return flow


async def test_quick_client_is_not_awaited(flow):
    flow.transport.unread_bytes = flow.budget.allowed_bytes(0)
    async with asyncio.timeout(_QUICK_S):
        await flow.wait()
    assert flow.source.held_count == 0
    assert flow.budget.wait_count == 0


async def test_source_is_held_back_until_the_client_reads(flow):
    flow.transport.unread_bytes = 200_000
    waiting = asyncio.create_task(flow.wait())
    await asyncio.sleep(0)
    assert flow.source.is_held_back
    assert flow.budget.held_bytes == 200_000
    flow.transport.take(200_000)
    async with asyncio.timeout(_QUICK_S):
        await waiting
    assert not flow.source.is_held_back
    assert (flow.budget.held_bytes, flow.budget.behind_count) == (0, 0)


# An engine ends a response that stays unread for some seconds.
async def test_source_is_read_again_while_the_client_reads_nothing(flow):
    flow.transport.unread_bytes = flow.budget.allowed_bytes(0) + 1
    async with asyncio.timeout(2 * STEP_S):
        await flow.wait()
    assert not flow.source.is_held_back


async def test_waiting_ends_with_the_connection(flow):
    flow.transport.unread_bytes = 200_000
    waiting = asyncio.create_task(flow.wait())
    await asyncio.sleep(0)
    flow.transport.is_closed = True
    flow.lose()
    async with asyncio.timeout(_QUICK_S):
        await waiting
    assert not flow.source.is_held_back
    with pytest.raises(ClientConnectionResetError):
        await flow.wait()


async def test_waiting_that_is_cancelled_lets_the_source_go_on(flow):
    flow.transport.unread_bytes = 200_000
    waiting = asyncio.create_task(flow.wait())
    await asyncio.sleep(0)
    waiting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await waiting
    assert not flow.source.is_held_back
    assert flow.budget.held_bytes == 0


async def test_slow_client_delays_no_other(flow):
    flow.transport.unread_bytes = 200_000
    waiting = asyncio.create_task(flow.wait())
    await asyncio.sleep(0)
    quick = ReaderFlow(
        transport=FakeTransport(unread_bytes=20_000), budget=flow.budget
    )
    async with asyncio.timeout(_QUICK_S):
        await quick.wait()
    waiting.cancel()


class FakeResponse:
    """Take what is written."""

    async def write(self, piece: bytes) -> None:
        """Take a piece of a body."""


# Guards against a client that is taken for silent since it was behind long ago.
async def test_client_that_caught_up_is_behind_anew(flow):
    stream = ResponseStream(
        request=None, response=FakeResponse(), end=BodyEnd.CHUNKS, flow=flow
    )
    flow.transport.unread_bytes = 100_000
    writing = asyncio.create_task(stream.write(b'piece'))
    await asyncio.sleep(0)
    flow.transport.take(100_000)
    await writing
    assert flow.behind_since_s is not None
    await stream.write(b'piece')
    assert flow.behind_since_s is None
