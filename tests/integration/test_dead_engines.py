"""Check that a dead engine is left in time, whatever else is silent.

Its streams go on elsewhere also if the other engine has a hung stream, or
sends its events at long intervals.
"""

import asyncio

import aiohttp
import attrs

from emulator.fleet import wait_for_condition
from emulator.fleet_engine import EngineFault
from tests.fleet_builders import (
    build_configuration,
    build_engine,
    build_plain_server,
    build_routes,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    complete_stream_text,
    count_runs,
    request_service,
    request_stream,
)

_DEAD_S = 60.0
_STREAMS = 8
_EVENTS = 30
_SLOW_EVENT_S = 0.8
_SLOW_EVENTS = 13
_SLOW_STREAMS = 16
_SLOW_TIMEOUT_MS = 14_000
_STAGGER_S = 0.11
_SLOW_CALL_S = 1.1
_CALLS = 8


async def stream_text(http, node, attempt_id, **changes):
    """Return what arrived of a resumable stream, '' if it was cut."""
    try:
        _, text, _ = await request_stream(
            http, node, attempt_id, '/note/1', **changes
        )
    except aiohttp.ClientError:
        return ''
    return text


# Guards against streams that stay at a dead engine until their deadline because
# one hung stream makes the only other engine look silent.
async def test_hung_stream_elsewhere_keeps_no_stream_at_a_dead_engine(
    fleet, http
):
    node = await start_single_node(
        fleet, events=_EVENTS, event_s=0.05, engines=2, slots=64
    )
    await wait_until_ready([node], http)
    for engine in fleet.engines[:2]:
        engine.inject_fault(EngineFault.TRICKLE, 1)
    hung = [
        asyncio.create_task(request_stream(http, node, f'h{number}'))
        for number in range(2)
    ]
    await wait_for_condition(
        lambda: [engine.running for engine in fleet.engines[:2]] == [1, 1],
        'a hung stream at each engine',
    )
    tasks = [
        asyncio.create_task(stream_text(http, node, f's{number}'))
        for number in range(_STREAMS)
    ]
    await asyncio.sleep(0.4)
    fleet.engines[0].silence.begin(_DEAD_S)
    texts = await asyncio.gather(*tasks)
    for task in hung:
        task.cancel()
    assert set(texts) == {complete_stream_text(_EVENTS)}


# Guards against the same where events come at long intervals, so that nearly
# always some stream of the other engine awaits its next one.
async def test_long_intervals_elsewhere_keep_no_stream_at_a_dead_engine(
    fleet, http
):
    node = await start_single_node(
        fleet, events=_SLOW_EVENTS, event_s=_SLOW_EVENT_S, engines=2, slots=64
    )
    await wait_until_ready([node], http)
    routes = [
        {**route, 'timeout_ms': _SLOW_TIMEOUT_MS} for route in build_routes()
    ]
    fleet.configure(build_configuration(2, routes=routes))
    await wait_for_condition(
        lambda: '"version":2' in node.log_path.read_text(), 'new timeouts'
    )
    deadline = {'Deadline-Ms': str(_SLOW_TIMEOUT_MS)}
    tasks = []
    for number in range(_SLOW_STREAMS):
        request = stream_text(http, node, f's{number}', **deadline)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(_STAGGER_S)
    fleet.engines[0].silence.begin(_DEAD_S)
    texts = await asyncio.gather(*tasks)
    assert set(texts) == {complete_stream_text(_SLOW_EVENTS)}


# Guards against calls that are moved from one slow but sound server to the
# next until no time is left for any of them.
async def test_call_stays_where_another_server_might_not_answer_in_time(
    fleet, http
):
    fleet.configure(build_configuration())
    await fleet.add_engine(build_engine(0))
    for number in range(4):
        options = build_plain_server(number)
        await fleet.add_engine(attrs.evolve(options, service_s=_SLOW_CALL_S))
    node = await fleet.add_node('plateau')
    await wait_until_ready([node], http)
    for number in range(_CALLS):
        name = f'l{number}'
        status, _, _ = await request_service(http, node, name, '/look/1', 'GET')
        assert status == 200
        assert count_runs(fleet, name) <= 2
