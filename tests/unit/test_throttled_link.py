"""Test the stand-in of a VM's link, on which all connections share one rate."""

import asyncio
import time

import pytest

from emulator.throttled_link import LinkSide, running_link

_RATE_BITS_S = 4_000_000
_WHOLE = bytes(100_000)
_WHOLE_S = len(_WHOLE) * 8 / _RATE_BITS_S
_READ_BYTES = 65_536


async def _answer(reader, writer):
    """Return a whole request as it came."""
    content = await reader.read()
    writer.write(content)
    await writer.drain()
    writer.close()


async def _exchange(address, request):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request)
    writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


@pytest.fixture
async def target():
    """Serve what returns each request, and yield its address."""
    server = await asyncio.start_server(_answer, '127.0.0.1', 0)
    yield server.sockets[0].getsockname()
    server.close()


@pytest.mark.parametrize('vm_side', LinkSide)
@pytest.mark.parametrize('connections', [1, 4])
async def test_connections_of_a_link_share_its_rate(
    target, vm_side, connections
):
    async with running_link(rate_bits_s=_RATE_BITS_S) as link:
        address = await link.forward(target, vm_side)
        begin_s = time.monotonic()
        received = await asyncio.gather(
            *(_exchange(address, _WHOLE) for _ in range(connections))
        )
        elapsed_s = time.monotonic() - begin_s
    assert all(content == _WHOLE for content in received)
    assert link.crossed_bytes == len(_WHOLE) * connections
    assert elapsed_s >= _WHOLE_S * connections


async def test_short_answer_waits_behind_long_ones(target):
    async with running_link(rate_bits_s=_RATE_BITS_S) as link:
        address = await link.forward(target, LinkSide.TARGET)
        long_ones = asyncio.gather(
            *(_exchange(address, _WHOLE) for _ in range(4))
        )
        await asyncio.sleep(_WHOLE_S)
        begin_s = time.monotonic()
        assert await _exchange(address, b'short') == b'short'
        waited_s = time.monotonic() - begin_s
        await long_ones
    assert waited_s >= _WHOLE_S / 2


async def test_other_direction_of_a_link_is_free(target):
    async with running_link(rate_bits_s=8) as link:
        address = await link.forward(target, LinkSide.TARGET)
        reader, writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(5):
            for _ in range(len(_WHOLE) // 1000):
                writer.write(_WHOLE[:1000])
                await writer.drain()
        writer.close()
