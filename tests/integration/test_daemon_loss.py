"""Kill any one daemon; the others go on serving."""

import asyncio

from emulator.cluster import call_json, running_cluster, wait_until
from tests.builders import build_options
from tests.callers import book, expected_text, stream_chat


async def test_killing_any_one_daemon_leaves_the_others_serving(session):
    with running_cluster(build_options()) as cluster:
        for number, node in enumerate(cluster.nodes):
            for daemon in (node.control, node.router):
                daemon.kill()
                others = [
                    other.router.url
                    for other in cluster.nodes
                    if other.router.is_running()
                ]
                question = f'without {daemon.name}'
                for url in others:
                    answer = await stream_chat(session, url, question)
                    assert answer.text == expected_text(question, 8)
                    booking = await book(session, url, f'{number}{daemon.name}')
                    assert booking.status == 200
                daemon.start()
                await asyncio.to_thread(_wait_ready, daemon)
            await asyncio.to_thread(cluster.wait_for_index)


def _wait_ready(daemon) -> None:
    wait_until(lambda: _is_ready(daemon))


def _is_ready(daemon) -> bool:
    try:
        return call_json(f'{daemon.url}/readyz')['ready']
    except OSError:
        return False
