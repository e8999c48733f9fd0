"""Check that a silence outside of requests has no effect that lasts.

An engine, all engines, the store or another VM may send nothing for a second or
two and then go on; so may the VM itself.
"""

import asyncio
import re
import signal
import time

import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from emulator.fleet_engine import FleetEngine
from tests.fleet_builders import (
    MODEL,
    build_configuration,
    build_routes,
    start_fleet,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    complete_stream_text,
    count_runs,
    request_service,
    request_stream,
)

_SILENCE_S = 1.9
_EVENTS = 30
_EVENT_S = 0.1
_ROLLOUT_LIMIT_S = 10.0
_ROLLOUT_S = 3.3
_FREEZE_S = 3.0


def has_version(fleet: Fleet, version: int) -> bool:
    """Return whether all engines have loaded a version."""
    return all(engine.version == version for engine in fleet.engines)


async def wait_for_loads(
    fleet: Fleet, node: FleetNode, loaded: int
) -> list[FleetEngine]:
    """Wait until an engine loads and ``loaded`` others have done so.

    Return the engines, those first that load or have yet to load. With a
    negative number wait only until a load has been announced.
    """
    if loaded < 0:
        await wait_for_condition(
            lambda: count_lines(node, 'lease claimed|lease held'), 'rollout'
        )
        return fleet.engines
    await wait_for_condition(
        lambda: (
            sum(engine.version == 2 for engine in fleet.engines) == loaded
            and any(engine.is_loading_weights for engine in fleet.engines)
        ),
        'engine loads',
    )
    return sorted(
        fleet.engines,
        key=lambda engine: (engine.version, not engine.is_loading_weights),
    )


def count_lines(node: FleetNode, text: str) -> int:
    """Return how often a text is in the log of a VM."""
    return len(re.findall(text, node.log_path.read_text()))


# Guards against an order to a silent engine that is repeated and carried out
# twice, and against a rollout that leaves the engine out. The silence begins
# before the first order, while it is carried out, or at the second one.
@pytest.mark.parametrize('loaded', [-1, 0, 1])
@pytest.mark.parametrize('silent', [1, 4])
async def test_silence_of_engines_delays_a_rollout(fleet, http, silent, loaded):
    node = await start_single_node(fleet, engines=4, plain=0)
    await wait_until_ready([node], http)
    fleet.set_target_weights_version(MODEL, 2)
    engines = await wait_for_loads(fleet, node, loaded)
    started_s = time.monotonic()
    for engine in engines[:silent]:
        engine.silence.begin(_SILENCE_S)
    await wait_for_condition(
        lambda: has_version(fleet, 2), 'rollout', _ROLLOUT_LIMIT_S
    )
    duration_s = time.monotonic() - started_s
    assert duration_s < _SILENCE_S + _ROLLOUT_S, node.log_path.read_text()
    await asyncio.sleep(1.0)
    assert {engine.accepted_order_count for engine in fleet.engines} == {1}
    status, text, _ = await request_stream(http, node, 'after')
    assert (status, text) == (200, complete_stream_text())


# Guards against a rollout that stops because the store sent nothing for a
# while, as its lease can't be renewed.
@pytest.mark.parametrize('loaded', [-1, 0])
async def test_silence_of_the_store_delays_a_rollout(fleet, http, loaded):
    nodes = await start_fleet(fleet, engines=4, plain=0, nodes=2)
    await wait_until_ready(nodes, http)
    fleet.set_target_weights_version(MODEL, 2)
    await wait_for_loads(fleet, nodes[0], loaded)
    started_s = time.monotonic()
    fleet.store.silence.begin(_SILENCE_S)
    await wait_for_condition(
        lambda: has_version(fleet, 2), 'rollout', _ROLLOUT_LIMIT_S
    )
    assert time.monotonic() - started_s < _SILENCE_S + _ROLLOUT_S
    assert {engine.accepted_order_count for engine in fleet.engines} == {1}


# Guards against a VM that refuses requests or is not ready, and against a
# change that arrives late, because the store sent nothing for a while.
async def test_silence_of_the_store_takes_out_no_vm(fleet, http):
    nodes = await start_fleet(fleet, engines=2, plain=1, nodes=3)
    await wait_until_ready(nodes, http)
    fleet.store.silence.begin(_SILENCE_S)
    end_s = time.monotonic() + _SILENCE_S + 2
    number = 0
    while time.monotonic() < end_s:
        for node in nodes:
            assert await node.is_ready(http)
            number += 1
            status, _, _ = await request_stream(http, node, f's{number}')
            assert status == 200


# Guards against a change of the configuration that is written as a silence
# ends and comes into force late.
async def test_change_after_a_silence_of_the_store_is_applied_in_time(
    fleet, http
):
    nodes = await start_fleet(fleet, engines=1, plain=0, nodes=3)
    await wait_until_ready(nodes, http)
    fleet.store.silence.begin(_SILENCE_S)
    await asyncio.sleep(_SILENCE_S)
    fleet.configure(
        build_configuration(
            2, routes=[{**route, 'host': 'new'} for route in build_routes()]
        )
    )
    await asyncio.sleep(2.0)
    for node in nodes:
        status, _, _ = await request_stream(http, node, 'n', Host='new')
        assert status == 200


# Guards against VMs that wait for one which relays the store and is frozen.
async def test_frozen_vm_takes_out_no_other_vm(fleet, http):
    nodes = await start_fleet(fleet, engines=2, plain=0, nodes=3)
    await wait_until_ready(nodes, http)
    for frozen in nodes:
        frozen.process.send_signal(signal.SIGSTOP)
        end_s = time.monotonic() + _SILENCE_S
        others = [node for node in nodes if node is not frozen]
        while time.monotonic() < end_s:
            for node in others:
                assert await node.is_ready(http)
                attempt_id = f's{time.monotonic()}'
                status, _, _ = await request_stream(http, node, attempt_id)
                assert status == 200
        frozen.process.send_signal(signal.SIGCONT)
        await wait_until_ready([frozen], http)


# Guards against a VM that takes its own pause for a silence of the engines, or
# its deadlines for missed.
async def test_own_pause_is_no_silence_of_the_engines(fleet, http):
    node = await start_single_node(
        fleet, engines=2, plain=2, events=_EVENTS, event_s=_EVENT_S, slots=64
    )
    await wait_until_ready([node], http)
    streams = [
        asyncio.create_task(
            request_stream(http, node, f's{number}', f'/{path}/{number}')
        )
        for number in range(8)
        for path in ('ask', 'note')
        if number % 2 == (path == 'ask')
    ]
    await wait_for_condition(
        lambda: sum(engine.running for engine in fleet.engines) == len(streams),
        'all streams run',
    )
    await asyncio.sleep(0.3)
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(_FREEZE_S)
    node.process.send_signal(signal.SIGCONT)
    answers = {answer[:2] for answer in await asyncio.gather(*streams)}
    assert answers == {(200, complete_stream_text(_EVENTS))}
    for number in range(8):
        assert count_runs(fleet, f's{number}') == 1
    assert not count_lines(node, 'server silent|server avoided|moved from')


# Guards against calls under way that are repeated after a pause of the VM.
@pytest.mark.parametrize('path', ['/order/1', '/look/1'])
async def test_own_pause_repeats_no_call(fleet, http, path):
    node = await start_single_node(fleet, engines=0, plain=2)
    await wait_until_ready([node], http)
    for server in fleet.engines:
        server.options.service_s = 0.8
    calls = [
        asyncio.create_task(request_service(http, node, f'c{number}', path))
        for number in range(8)
    ]
    await wait_for_condition(
        lambda: sum(server.running for server in fleet.engines) == len(calls),
        'all calls run',
    )
    await asyncio.sleep(0.2)
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1.2)
    node.process.send_signal(signal.SIGCONT)
    answers = await asyncio.gather(*calls)
    assert {status for status, _, _ in answers} == {200}
    for number in range(8):
        assert count_runs(fleet, f'c{number}') == 1
    assert not count_lines(node, 'server silent|server avoided|moved from')


# Guards against servers that stay avoided after one silence under many calls.
async def test_silence_under_many_calls_avoids_a_server_only_briefly(
    fleet, http
):
    node = await start_single_node(fleet, engines=0, plain=2)
    await wait_until_ready([node], http)
    for server in fleet.engines:
        server.options.service_s = 0.3
    calls = [
        asyncio.create_task(
            request_service(http, node, f'c{number}', '/look/1', 'GET')
        )
        for number in range(20)
    ]
    await asyncio.sleep(0.1)
    fleet.engines[0].silence.begin(_SILENCE_S)
    answers = await asyncio.gather(*calls)
    assert {status for status, _, _ in answers} == {200}
    await asyncio.sleep(_SILENCE_S)
    async with http.get(f'{node.control_url}/debug/state') as response:
        servers = (await response.json())['servers']
    assert not [entry for entry in servers if entry['avoided']]
