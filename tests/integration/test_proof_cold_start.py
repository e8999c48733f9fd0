"""Point 6: a router serves at once after a cold start."""

import asyncio
import time

from emulator.cluster import (
    call_json,
    running_cluster,
    wait_for_ok,
    wait_until,
)
from tests.builders import build_options
from tests.callers import book, expected_text, stream_chat


async def test_cold_vm_takes_configuration_from_peers(
    session,
    record_property,
):
    with running_cluster(build_options()) as cluster:
        cold = cluster.nodes[2]
        cold.router.kill()
        cold.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        cold.control.start()
        cold.router.start()
        ready_s = await asyncio.to_thread(_wait_ready, cold.router)
        answer = await stream_chat(session, cold.router.url, 'cold')
        record_property('first_answer_s', time.monotonic() - ready_s)
        assert answer.text == expected_text('cold', 8)
        dump = call_json(f'{cold.router.url}/debug/state')
        warm = call_json(f'{cluster.nodes[0].router.url}/debug/state')
        assert dump['config_offset'] == warm['config_offset']


async def test_cold_router_serves_without_its_control_daemon(session):
    with running_cluster(build_options()) as cluster:
        cold = cluster.nodes[1]
        cold.router.kill()
        cold.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        cold.router.start()
        await asyncio.to_thread(_wait_ready, cold.router)
        answer = await stream_chat(session, cold.router.url, 'alone')
        assert answer.text == expected_text('alone', 8)


async def test_router_without_configuration_tells_the_truth(session):
    with running_cluster(build_options()) as cluster:
        cold = cluster.nodes[0]
        booked = await book(session, cold.router.url, 'before')
        assert booked.status == 200
        for node in cluster.nodes:
            node.control.kill()
        cold.router.kill()
        cold.router.start()
        await asyncio.to_thread(wait_until, lambda: _answers(cold.router))
        keyed = await book(session, cold.router.url, 'before')
        assert keyed.body['error']['code'] == 'not_configured'
        assert keyed.run_state == 'outcome_unknown'
        chat = await stream_chat(session, cold.router.url, 'cold')
        assert chat.error['run_state'] == 'not_run'


async def test_all_vms_restart_together_with_a_slow_platform(session):
    with running_cluster(build_options()) as cluster:
        for node in cluster.nodes:
            node.router.kill()
            node.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'slow_ms': 300})
        for node in cluster.nodes:
            node.control.start()
            node.router.start()
        for node in cluster.nodes:
            await asyncio.to_thread(_wait_ready, node.router)
            answer = await stream_chat(session, node.router.url, 'herd')
            assert answer.text == expected_text('herd', 8)


def _answers(router) -> bool:
    return call_json(f'{router.url}/healthz')['alive']


def _wait_ready(router) -> float:
    wait_for_ok(f'{router.url}/readyz')
    return time.monotonic()
