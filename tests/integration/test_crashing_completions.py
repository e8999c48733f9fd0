"""Check that completions which crash engines are soon sent to none.

They share the beginning of their prompt and arrive at all routers, among sound
ones.
"""

import asyncio
import functools

from emulator.cluster import call_json, running_cluster
from emulator.fleet import wait_for_condition
from tests.builders import build_chat_body, build_cluster_options
from tests.callers import expected_text, send_request, stream_chat

_FATAL_TEXT = 'crashes the engine '
_FATAL_QUESTION = _FATAL_TEXT * 20
_MAX_ENDS = 5
_REQUESTS = 12


async def ask_fatally(session, node, number):
    """Send one completion that crashes the engine; return its response."""
    return await send_request(
        session,
        'POST',
        f'{node.router.url}/v1/chat/completions',
        body=build_chat_body(f'{_FATAL_QUESTION}{number}', stream=False),
    )


async def is_refused_by(session, node) -> bool:
    """Return whether a router refuses the completion as quarantined."""
    response = await ask_fatally(session, node, 'look')
    return (
        response.status == 503
        and response.body['error']['code'] == 'prompt_quarantined'
        and response.run_state == 'not_run'
    )


# Guards against engines of our own interface that end one after another under
# completions whose prompts begin alike (the class of inc1, BUDGET).
async def test_completions_that_crash_engines_are_soon_sent_to_none(session):
    with running_cluster(build_cluster_options()) as cluster:
        for engine in cluster.engines():
            call_json(f'{engine.url}/faults', {'fatal_text': _FATAL_TEXT})
        url = cluster.nodes[0].router.url
        for number in range(_REQUESTS):
            node = cluster.nodes[number % len(cluster.nodes)]
            await ask_fatally(session, node, number)
            await stream_chat(session, url, f'sound {number}')
            await asyncio.sleep(0.1)
        running = [
            engine for engine in cluster.engines() if engine.is_running()
        ]
        assert len(cluster.engines()) - len(running) <= _MAX_ENDS
        for node in cluster.nodes:
            await wait_for_condition(
                functools.partial(is_refused_by, session, node),
                'refused by all routers',
            )
            response = await stream_chat(session, node.router.url, 'sound')
            assert response.text == expected_text('sound', 8)
