"""Check that a stream outlives a move from a silent engine that is refused.

An engine's silence is no reason to end an answer sooner.
"""

import asyncio

import pytest

from emulator.fleet import wait_for_condition
from tests.fleet_builders import start_single_node, wait_until_ready
from tests.fleet_clients import complete_stream_text, request_stream

_EVENTS = 20
_EVENT_S = 0.1
_REPORTED_S = 0.8
_SILENCE_S = 1.4


# Guards against a stream that is cut while its sound engine is silent for a
# moment and new weights are loaded: it was ended for a place at an engine that
# refused it, and by then no server had the weights of its last event.
@pytest.mark.parametrize('engines', [2, 3])
async def test_refused_move_beside_new_weights_cuts_no_stream(
    fleet, http, engines
):
    node = await start_single_node(
        fleet, engines=engines, plain=0, events=_EVENTS, event_s=_EVENT_S
    )
    await wait_until_ready([node], http)
    request = asyncio.create_task(request_stream(http, node, 'a', '/note/1'))
    await wait_for_condition(
        lambda: any(engine.running for engine in fleet.engines), 'it runs'
    )
    await asyncio.sleep(_EVENT_S)
    running = next(engine for engine in fleet.engines if engine.running)
    running.version = 2
    fleet.register(running)
    await asyncio.sleep(_REPORTED_S)
    running.silence.begin(_SILENCE_S)
    for engine in fleet.engines:
        engine.version = 2
    status, text, _ = await request
    assert (status, text) == (200, complete_stream_text(_EVENTS))
