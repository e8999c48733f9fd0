"""Check that routers keep serving when any single daemon is killed.

Each router and each control daemon is killed in turn. A router that depends on
one particular daemon to place requests or to run orders fails here.
"""

import asyncio

from emulator.cluster import call_json, running_cluster, wait_until
from tests.builders import build_cluster_options
from tests.callers import expected_text, place_order, stream_chat


async def test_killing_one_daemon_leaves_the_others_serving(session):
    with running_cluster(build_cluster_options()) as cluster:
        for number, node in enumerate(cluster.nodes):
            for daemon in (node.control, node.router):
                daemon.kill()
                live_router_urls = [
                    live_node.router.url
                    for live_node in cluster.nodes
                    if live_node.router.is_running()
                ]
                question = f'without {daemon.name}'
                for url in live_router_urls:
                    response = await stream_chat(session, url, question)
                    assert response.text == expected_text(question, 8)
                    order_response = await place_order(
                        session, url, f'{number}{daemon.name}'
                    )
                    assert order_response.status == 200
                daemon.start()
                await asyncio.to_thread(_wait_until_ready, daemon)
            await asyncio.to_thread(cluster.wait_for_index)


def _wait_until_ready(daemon) -> None:
    wait_until(lambda: _is_ready(daemon))


def _is_ready(daemon) -> bool:
    try:
        return call_json(f'{daemon.url}/readyz')['ready']
    except OSError:
        return False
