"""Check that no answer in hand is given up for one that is refused.

A sound engine may be silent for a second or so, and other engines may refuse
meanwhile: when full, while they load weights or when these changed.
"""

import asyncio

import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from emulator.fleet_engine import EngineFault, FleetEngine
from tests.fleet_builders import (
    build_configuration,
    build_routes,
    build_teams,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    busiest,
    count_runs,
    longest_overlap_s,
    request_service,
    request_stream,
)
from tests.integration.test_silent_engines import (
    StreamOutcome,
    assert_all_whole,
    start_streams,
)

_ENGINES = 4
_EVENTS = 30
_EVENT_S = 0.05
_STREAMS = 6
_SILENCES_S = (1.2, 1.5, 1.9)
_LONGER_S = 0.5
_MANY_TIMES = 10_000
_POWER_LOSS_S = 60.0
_MAX_GAP_S = 2.0
_MAX_OVERLAP_S = 0.4
_MAX_ATTEMPTS = 2
_MAX_WORK_FOR_NOBODY_S = 0.5
_REFUSALS = ('full', 'loading', 'misdirected')


def refuse(engine: FleetEngine, way: str) -> None:
    """Let an engine refuse all requests that arrive from now on."""
    match way:
        case 'full':
            engine.inject_fault(EngineFault.SHED, 0)
        case 'loading':
            engine.is_loading_weights = True
        case 'misdirected':
            engine.inject_fault(EngineFault.MISDIRECT, _MANY_TIMES)


def accept(engine: FleetEngine) -> None:
    """Let an engine accept requests again."""
    engine.inject_fault(EngineFault.NONE, 0)
    engine.is_loading_weights = False


async def refuse_for(
    engines: list[FleetEngine], way: str, duration_s: float
) -> None:
    """Let engines refuse for ``duration_s`` seconds."""
    for engine in engines:
        refuse(engine, way)
    await asyncio.sleep(duration_s)
    for engine in engines:
        accept(engine)


async def start_engines(fleet: Fleet, http, **options) -> FleetNode:
    """Start one VM and engines whose streams take one and a half seconds."""
    node = await start_single_node(
        fleet,
        engines=_ENGINES,
        plain=1,
        events=_EVENTS,
        event_s=_EVENT_S,
        slots=64,
        **options,
    )
    await wait_until_ready([node], http)
    return node


async def receive_beside(
    fleet: Fleet,
    http,
    node: FleetNode,
    *,
    silence_s: float,
    way: str,
    refused_s: float,
    refuses_everywhere: bool = False,
) -> list[StreamOutcome]:
    """Receive streams of an engine that falls silent as others refuse."""
    tasks = await start_streams(fleet, http, node)
    engines = fleet.engines[:_ENGINES]
    silent = busiest(engines)
    silent.silence.begin(silence_s)
    refusing = [
        engine
        for engine in engines
        if refuses_everywhere or engine is not silent
    ]
    refusal = asyncio.create_task(refuse_for(refusing, way, refused_s))
    outcomes = await asyncio.gather(*tasks)
    await refusal
    return outcomes


def assert_within_bounds(fleet: Fleet) -> None:
    """Check the bounds of rules TWICE and BUDGET for each stream."""
    for number in range(_STREAMS):
        assert longest_overlap_s(fleet, f's{number}') <= _MAX_OVERLAP_S
        assert count_runs(fleet, f's{number}') <= _MAX_ATTEMPTS


# Guards against streams that leave a silent engine which would have gone on for
# others that refuse, and are cut after six refusals (psr-caisse, LOST).
@pytest.mark.parametrize('refuses_everywhere', [False, True])
@pytest.mark.parametrize('way', _REFUSALS)
@pytest.mark.parametrize('silence_s', _SILENCES_S)
async def test_refusals_elsewhere_cut_no_stream_of_a_silent_engine(
    fleet, http, silence_s, way, refuses_everywhere
):
    node = await start_engines(fleet, http)
    outcomes = await receive_beside(
        fleet,
        http,
        node,
        silence_s=silence_s,
        way=way,
        refused_s=silence_s + _LONGER_S,
        refuses_everywhere=refuses_everywhere,
    )
    assert_all_whole(outcomes)
    assert_within_bounds(fleet)


# Guards against the same where few repetitions, or none, are covered.
@pytest.mark.parametrize('slack', [0, 3])
@pytest.mark.parametrize('way', _REFUSALS)
async def test_refusals_beside_an_empty_budget_cut_no_stream(
    fleet, http, way, slack
):
    fleet.retry_ratio = 0
    fleet.retry_slack = slack
    node = await start_engines(fleet, http)
    outcomes = await receive_beside(
        fleet,
        http,
        node,
        silence_s=_SILENCES_S[-1],
        way=way,
        refused_s=_SILENCES_S[-1] + _LONGER_S,
    )
    assert_all_whole(outcomes)


# Guards against idempotent calls that leave a silent server for others that
# refuse, and are answered 502 with most of their time left.
@pytest.mark.parametrize('way', ['full', 'misdirected'])
@pytest.mark.parametrize('silence_s', _SILENCES_S)
async def test_refusals_elsewhere_fail_no_call_of_a_silent_server(
    fleet, http, silence_s, way
):
    node = await start_single_node(fleet, engines=1, plain=_ENGINES)
    patient = [{**route, 'timeout_ms': 4000} for route in build_routes()]
    fleet.configure(build_configuration(2, routes=patient))
    await wait_until_ready([node], http)
    await wait_for_condition(
        lambda: '"version":2' in node.log_path.read_text(), 'new timeouts'
    )
    servers = fleet.engines[1:]
    for server in servers:
        server.options.service_s = 0.2
    calls = [
        asyncio.create_task(
            request_service(http, node, f'l{number}', '/look/1', 'GET')
        )
        for number in range(4 * _ENGINES)
    ]
    await wait_for_condition(
        lambda: sum(server.running for server in servers) == 4 * _ENGINES,
        'servers work on all calls',
    )
    silent = max(servers, key=lambda server: server.running)
    silent.silence.begin(silence_s)
    await refuse_for(servers, way, silence_s + _LONGER_S)
    responses = await asyncio.gather(*calls)
    assert {status for status, _, _ in responses} == {200}


# Guards against a refusal that is taken for one of another attempt, as an
# earlier one on the same kept connection bore the same id: an order that has
# not run was answered 502.
async def test_second_refusal_of_an_order_is_proved(fleet, http):
    node = await start_engines(fleet, http)
    refuse(fleet.engines[-1], 'full')
    statuses = []
    for _ in range(3):
        status, _, _ = await request_service(http, node, 'order')
        statuses.append(status)
    assert statuses == [503, 503, 503]
    assert count_runs(fleet, 'order') == 0


# Guards against streams that wait for an engine which will not go on: clients
# leave after a gap of two seconds.
@pytest.mark.parametrize('refused_s', [0.0, 1.3])
async def test_streams_of_a_dead_engine_go_on_before_clients_leave(
    fleet, http, refused_s
):
    node = await start_engines(fleet, http)
    outcomes = await receive_beside(
        fleet,
        http,
        node,
        silence_s=_POWER_LOSS_S,
        way='full',
        refused_s=refused_s,
    )
    assert_all_whole(outcomes)
    slowest_s = max(outcome.duration_s for outcome in outcomes)
    assert slowest_s < _EVENTS * _EVENT_S + _MAX_GAP_S


# Guards against pieces that come twice or are missing as the silent engine goes
# on while another one has the request, and against a second run too many.
@pytest.mark.parametrize('silence_s', [1.1, 1.2, 1.3, 1.4])
async def test_engine_that_goes_on_beside_a_move_keeps_its_streams(
    fleet, http, silence_s
):
    node = await start_engines(fleet, http, queue_s=0.2)
    outcomes = await receive_beside(
        fleet, http, node, silence_s=silence_s, way='full', refused_s=0
    )
    assert_all_whole(outcomes)
    assert_within_bounds(fleet)


# Guards against engines that go on for a client which has left while its stream
# was being moved (rule GONE).
@pytest.mark.parametrize('left_after_s', [1.15, 1.25, 1.35])
async def test_client_that_leaves_during_a_move_leaves_no_engine_at_work(
    fleet, http, left_after_s
):
    node = await start_engines(fleet, http, queue_s=0.3)
    tasks = await start_streams(fleet, http, node)
    engines = fleet.engines[:_ENGINES]
    silent = busiest(engines)
    silent.silence.begin(_POWER_LOSS_S)
    await asyncio.sleep(left_after_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(_MAX_WORK_FOR_NOBODY_S)
    assert sum(engine.running for engine in engines) == 0


# Guards against streams that can't leave a dead engine, as their key was taken
# away: what was sent before that may go on (RULES.md, "API keys").
async def test_stream_of_a_key_that_was_taken_away_goes_on_elsewhere(
    fleet, http
):
    node = await start_engines(fleet, http)
    tasks = await start_streams(fleet, http, node)
    fleet.configure(build_configuration(2, tenants=build_teams(keys=())))
    engines = fleet.engines[:_ENGINES]
    silent = busiest(engines)
    silent.silence.begin(_POWER_LOSS_S)
    assert_all_whole(await asyncio.gather(*tasks))
    assert (await request_stream(http, node, 'late'))[0] == 401


# Guards against streams that are cut after six refusals within milliseconds, or
# as all engines ask for a pause, though their engine broke off a moment ago.
@pytest.mark.parametrize('pause_s', [None, 0.4])
@pytest.mark.parametrize('way', _REFUSALS)
async def test_refusals_cut_no_stream_that_its_engine_broke_off(
    fleet, http, way, pause_s
):
    node = await start_engines(fleet, http)
    tasks = await start_streams(fleet, http, node)
    engines = fleet.engines[:_ENGINES]
    for engine in engines:
        engine.requested_pause_s = pause_s
    refusal = asyncio.create_task(refuse_for(engines, way, 2 * _LONGER_S))
    await asyncio.sleep(0)
    broken = busiest(engines)
    for transport in broken.connections.transports:
        transport.abort()
    assert_all_whole(await asyncio.gather(*tasks))
    assert_within_bounds(fleet)
    await refusal
