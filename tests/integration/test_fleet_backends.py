"""Check what backend servers in trouble can do to a VM and its clients.

A server may ask to be left alone for a while, or send bytes that are no
response without end. Neither may overload the server, the VM or the client.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import pytest

from emulator.fleet_engine import EngineFault
from tests.fleet_builders import (
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    REQUEST_BODY,
    complete_stream_text,
    request_service,
    request_stream,
)

_PAUSE_S = 3.0
_REACTION_S = 0.5
_REQUESTS_DURING_PAUSE = 20
_MAX_GROWTH_BYTES = 24_000_000
_PAGE_BYTES = 4096


def resident_bytes(node) -> int:
    """Return the resident memory of a daemon."""
    pages = Path(f'/proc/{node.process.pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def ask_for_pause(server) -> None:
    """Let a server reject requests and ask for a pause."""
    server.requested_pause_s = _PAUSE_S
    server.inject_fault(EngineFault.SHED, 1)


async def test_server_that_asked_for_a_pause_is_left_alone(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for server in (fleet.engines[0], fleet.engines[2]):
        ask_for_pause(server)
    end_s = time.monotonic() + _PAUSE_S
    number = 0
    while time.monotonic() < end_s:
        number += 1
        assert (await request_stream(http, node, f's{number}'))[0] == 200
        assert (await request_service(http, node, f'o{number}'))[0] == 200
    assert number > _REQUESTS_DURING_PAUSE
    for server in (fleet.engines[0], fleet.engines[2]):
        first_s = server.rejected_at_s[0]
        late = [
            moment_s
            for moment_s in server.rejected_at_s
            if _REACTION_S < moment_s - first_s < _PAUSE_S
        ]
        assert len(late) <= 2


@pytest.mark.parametrize('ask', [request_stream, request_service])
async def test_request_is_refused_at_once_if_all_servers_pause(
    fleet, http, ask
):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for server in fleet.engines:
        server.requested_pause_s = 60.0
        server.inject_fault(EngineFault.SHED, 1)
    await ask(http, node, 'first')
    started_s = time.monotonic()
    status, _, headers = await ask(http, node, 'second')
    assert time.monotonic() - started_s < _REACTION_S
    assert status in {429, 503}
    assert 50 < float(headers['Retry-After']) <= 60


async def test_request_waits_for_a_pause_that_ends_in_time(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    engines = fleet.engines[:2]
    for engine in engines:
        engine.requested_pause_s = 1.0
        engine.inject_fault(EngineFault.SHED, 1)
    await request_stream(http, node, 'first')
    for engine in engines:
        engine.inject_fault(EngineFault.NONE, 0)
    assert (await request_stream(http, node, 'second'))[0] == 200


@pytest.mark.parametrize(
    'fault',
    [
        EngineFault.ENDLESS_HEAD,
        EngineFault.ENDLESS_LINE,
        EngineFault.ENDLESS_BODY,
    ],
)
@pytest.mark.parametrize('ask', [request_stream, request_service])
async def test_bytes_without_end_are_cut_off(fleet, http, fault, ask):
    node = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([node], http)
    assert (await ask(http, node, 'before'))[0] == 200
    before_bytes = resident_bytes(node)
    for server in fleet.engines:
        server.inject_fault(fault, 1)
    peak = asyncio.create_task(_peak_bytes(node))
    status, _, _ = await ask(http, node, 'endless')
    peak.cancel()
    growth_bytes = max(resident_bytes(node), await peak) - before_bytes
    assert status == 502
    assert growth_bytes < _MAX_GROWTH_BYTES
    assert all(
        server.endless_bytes_sent < 2 * _MAX_GROWTH_BYTES
        for server in fleet.engines
    )
    assert (await ask(http, node, 'after'))[0] in {200, 503}
    assert node.process.returncode is None


async def _peak_bytes(node) -> int:
    peak_bytes = 0
    try:
        while True:
            peak_bytes = max(peak_bytes, resident_bytes(node))
            await asyncio.sleep(0.01)
    except asyncio.CancelledError:
        return peak_bytes


# Guards against streams that have neither a length nor chunks: whole ones must
# not be cut, and broken ones must not pass for whole.
@pytest.mark.parametrize(
    ('fault', 'status', 'is_whole'),
    [
        (EngineFault.NONE, 200, True),
        (EngineFault.CUT, 200, False),
        (EngineFault.END, 502, False),
    ],
)
async def test_stream_that_ends_with_its_connection(
    fleet, http, fault, status, is_whole
):
    node = await start_single_node(fleet, engines=1, is_close_delimited=True)
    await wait_until_ready([node], http)
    fleet.engines[0].inject_fault(fault, 1)
    headers = build_request_headers('close-delimited')
    async with http.post(
        f'{node.url}/ask/1', data=REQUEST_BODY, headers=headers
    ) as response:
        assert response.status == status
        try:
            text = await response.text()
        except aiohttp.ClientPayloadError:
            text = ''
    assert (text == complete_stream_text()) is is_whole
