"""Check that pauses of the VM and long bodies beside a move end no answer."""

import asyncio
import functools
import signal

import pytest
from aiohttp import web

from emulator.fleet import wait_for_condition
from tests.fleet_builders import start_single_node, wait_until_ready
from tests.fleet_clients import busiest, request_service
from tests.integration.test_moves_beside_refusals import (
    _ENGINES,
    accept,
    refuse,
    start_engines,
)
from tests.integration.test_silent_engines import (
    assert_all_whole,
    start_streams,
)

_FOREVER_S = 60.0
_PIECES = 10
_PIECE = b'x' * 20_000
_PIECE_S = 0.13


async def _respond_slowly(served, server, request, fault):
    """Send a body over more than a second; only the first one is sent soon."""
    served.append(server)
    response = web.StreamResponse(
        headers=server._response_headers(request, fault)
    )
    if len(served) > 1:
        await asyncio.sleep(_FOREVER_S)
    await response.prepare(request)
    for _ in range(_PIECES):
        await response.write(_PIECE)
        await asyncio.sleep(_PIECE_S)
    return response


# Guards against an answer that arrives, and is given up for a server that has
# not begun one: its body takes longer than one and a half times the target.
async def test_call_whose_body_arrives_is_not_given_up(fleet, http):
    node = await start_single_node(fleet, engines=1, plain=2)
    await wait_until_ready([node], http)
    served = []
    for server in fleet.engines[1:3]:
        server._respond = functools.partial(_respond_slowly, served, server)
    status, _, _ = await request_service(http, node, 'l1', '/look/1', 'GET')
    assert status == 200


async def _pause_beside_a_move(node, pause_s: float) -> None:
    """Stop the process of a VM for a while as a move begins."""
    await wait_for_condition(
        lambda: 'move begun' in node.log_path.read_text(), 'move begun'
    )
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    node.process.send_signal(signal.SIGCONT)


# Guards against a second server that counts as accepted while this VM stood.
@pytest.mark.parametrize('pause_s', [0.3, 0.6])
async def test_pause_of_the_vm_beside_a_move_cuts_no_stream(
    fleet, http, pause_s
):
    node = await start_engines(fleet, http, queue_s=0.2)
    tasks = await start_streams(fleet, http, node)
    engines = fleet.engines[:_ENGINES]
    silent = busiest(engines)
    silent.silence.begin(1.4)
    await _pause_beside_a_move(node, pause_s)
    outcomes = await asyncio.gather(*tasks)
    assert_all_whole(outcomes)


# Guards against the same with refusals that lie unread as the VM goes on.
@pytest.mark.parametrize('pause_s', [0.3, 0.6])
async def test_refusal_beside_a_pause_keeps_the_stream(fleet, http, pause_s):
    node = await start_engines(fleet, http)
    tasks = await start_streams(fleet, http, node)
    engines = fleet.engines[:_ENGINES]
    silent = busiest(engines)
    others = [engine for engine in engines if engine is not silent]
    silent.silence.begin(1.3)
    for engine in others:
        refuse(engine, 'full')
        engine.silence.begin(1.25)
    await _pause_beside_a_move(node, pause_s)
    await asyncio.sleep(0.5)
    for engine in others:
        accept(engine)
    outcomes = await asyncio.gather(*tasks)
    assert_all_whole(outcomes)
