"""Check that a router serves right after a cold start.

A restarted VM has no configuration and the platform's log may be down or slow,
so the configuration has to come from peers. A router that has none yet must not
report an order as not run that another router has run before. Covers
requirement 6.
"""

import asyncio
import time

from emulator.cluster import (
    call_json,
    running_cluster,
    wait_for_ok,
    wait_until,
)
from tests.builders import build_cluster_options
from tests.callers import expected_text, place_order, stream_chat


async def test_restarted_vm_gets_its_configuration_from_peers(
    session,
    record_property,
):
    with running_cluster(build_cluster_options()) as cluster:
        cold = cluster.nodes[2]
        cold.router.kill()
        cold.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        cold.control.start()
        cold.router.start()
        ready_s = await asyncio.to_thread(_wait_until_ready, cold.router)
        response = await stream_chat(session, cold.router.url, 'cold')
        record_property('first_answer_s', time.monotonic() - ready_s)
        assert response.text == expected_text('cold', 8)
        cold_dump = call_json(f'{cold.router.url}/debug/state')
        warm_dump = call_json(f'{cluster.nodes[0].router.url}/debug/state')
        assert cold_dump['config_offset'] == warm_dump['config_offset']


async def test_restarted_router_serves_without_its_control_daemon(session):
    with running_cluster(build_cluster_options()) as cluster:
        cold = cluster.nodes[1]
        cold.router.kill()
        cold.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        cold.router.start()
        await asyncio.to_thread(_wait_until_ready, cold.router)
        response = await stream_chat(session, cold.router.url, 'alone')
        assert response.text == expected_text('alone', 8)


async def test_unconfigured_router_reports_an_unknown_outcome(session):
    with running_cluster(build_cluster_options()) as cluster:
        cold = cluster.nodes[0]
        order_before = await place_order(session, cold.router.url, 'before')
        assert order_before.status == 200
        for node in cluster.nodes:
            node.control.kill()
        cold.router.kill()
        cold.router.start()
        await asyncio.to_thread(wait_until, lambda: _is_alive(cold.router))
        repeated_order = await place_order(session, cold.router.url, 'before')
        assert repeated_order.body['error']['code'] == 'not_configured'
        assert repeated_order.run_state == 'outcome_unknown'
        streamed = await stream_chat(session, cold.router.url, 'cold')
        assert streamed.error['run_state'] == 'not_run'


async def test_all_vms_restart_together_on_a_slow_platform(session):
    with running_cluster(build_cluster_options()) as cluster:
        for node in cluster.nodes:
            node.router.kill()
            node.control.kill()
        call_json(f'{cluster.platform.url}/faults', {'slow_ms': 300})
        for node in cluster.nodes:
            node.control.start()
            node.router.start()
        for node in cluster.nodes:
            await asyncio.to_thread(_wait_until_ready, node.router)
            response = await stream_chat(session, node.router.url, 'herd')
            assert response.text == expected_text('herd', 8)


def _is_alive(router) -> bool:
    return call_json(f'{router.url}/healthz')['alive']


def _wait_until_ready(router) -> float:
    wait_for_ok(f'{router.url}/readyz')
    return time.monotonic()
