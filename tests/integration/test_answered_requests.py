"""Check that whole requests get an answer in ways that connections may end.

Other ways are checked where they belong: kept connections, half-closed clients,
changed configurations, planned stops.
"""

import asyncio
import functools
import signal

import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from tests.fleet_builders import (
    PLAIN_HOST,
    build_configuration,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import count_runs
from tests.raw_clients import build_bytes, parse_bytes

_BODY = b'{"prompt": "x"}'
_LIMIT_S = 8.0
_CLIENTS = 30
_MAX_BODY_BYTES = 100_000


def build_order(attempt_id: str, body: bytes = _BODY, **headers: str) -> bytes:
    """Return a whole order on a connection that stays open."""
    fields = build_request_headers(attempt_id, host=PLAIN_HOST, **headers)
    return build_bytes('/order/1', {'Connection': 'keep-alive', **fields}, body)


async def start_node(fleet: Fleet, http) -> FleetNode:
    """Start one VM and plain servers."""
    node = await start_single_node(fleet, engines=0)
    await wait_until_ready([node], http)
    return node


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str]:
    """Read a response with a length; return its status and attempt."""
    async with asyncio.timeout(_LIMIT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        response = parse_bytes(head)
        length = int(response.headers['Content-Length'])
        await reader.readexactly(length)
    return response.status, response.headers.get('Attempt-Id', '')


# Guards against pipelined requests that are dropped behind an answer which
# closes the connection in a planned stop.
async def test_pipelined_requests_in_a_planned_stop_are_answered(fleet, http):
    node = await start_node(fleet, http)
    for engine in fleet.engines:
        engine.options.service_s = 0.3
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    node.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    writer.write(b''.join(build_order(f'p{number}') for number in range(3)))
    answers = [await read_answer(reader) for _ in range(3)]
    assert answers == [(200, f'p{number}') for number in range(3)]
    assert not await reader.read()
    writer.close()


# Guards against a whole request that gets nothing, or runs unanswered, because
# what follows it is no HTTP. In one piece the HTTP library refuses both.
@pytest.mark.parametrize(('pause_s', 'status'), [(0.2, 200), (0, 400)])
async def test_request_before_malformed_bytes_is_answered(
    fleet, http, pause_s, status
):
    node = await start_node(fleet, http)
    for engine in fleet.engines:
        engine.options.service_s = 0.5
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    pieces = [build_order('m1'), b'\x00\x01 no HTTP\r\n\r\n']
    if not pause_s:
        pieces = [b''.join(pieces)]
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    assert (await read_answer(reader))[0] == status
    assert count_runs(fleet, 'm1') == (status == 200)
    writer.close()


# Guards against a request that gets nothing behind one that was refused before
# its body was read.
async def test_request_behind_a_refused_upload_is_answered(fleet, http):
    node = await start_node(fleet, http)
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(build_order('u1', b'x' * (_MAX_BODY_BYTES + 1)))
    writer.write(build_order('u2'))
    assert await read_answer(reader) == (413, 'u1')
    assert await read_answer(reader) == (200, 'u2')
    writer.close()


# Guards against connections in use that are closed because the limits now allow
# longer headers than they parse.
async def test_raised_header_limit_leaves_connections_in_use_alone(fleet, http):
    node = await start_node(fleet, http)
    changes = asyncio.create_task(_raise_header_limits(fleet, http, node))
    answered = await asyncio.gather(
        *(
            _request_until_done(node, number, changes)
            for number in range(_CLIENTS)
        )
    )
    assert all(answered)


async def _raise_header_limits(fleet: Fleet, http, node: FleetNode) -> None:
    limits = build_configuration()['limits']
    for version in range(2, 5):
        changed = {**limits, 'max_header_bytes': 16_384 * version}
        fleet.configure(build_configuration(version, limits=changed))
        await wait_for_condition(
            functools.partial(_has_applied, http, node, version), 'applied'
        )
        await asyncio.sleep(1.2)


async def _has_applied(http, node: FleetNode, version: int) -> bool:
    async with http.get(f'{node.control_url}/debug/state') as response:
        return (await response.json())['config_version'] == version


async def _request_until_done(
    node: FleetNode, client: int, done: asyncio.Task
) -> bool:
    """Send orders until ``done``; return whether all were answered."""
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    count = 0
    while not done.done():
        writer.write(build_order(f'c{client}-{count}'))
        answer = await read_answer(reader)
        if answer != (200, f'c{client}-{count}'):
            return False
        count += 1
        await asyncio.sleep(0.01 * client)
    writer.close()
    return True
