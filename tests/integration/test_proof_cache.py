"""Point 1: no reliance on a dead engine, another team or older weights."""

import asyncio

from emulator.cluster import call_json, running_cluster, wait_until
from tests.builders import build_chat, build_headers, build_options
from tests.callers import call, expected_text, stream_chat

_QUESTIONS = 12


async def _cached_tokens(session, cluster, team: str) -> int:
    answer = await call(
        session,
        'POST',
        f'{cluster.nodes[0].router.url}/v1/chat/completions',
        body=build_chat('same prompt', stream=False),
        headers=build_headers(team),
    )
    return answer.body['usage']['prompt_tokens_details']['cached_tokens']


async def test_no_team_uses_the_cache_of_another(cluster, session):
    assert await _cached_tokens(session, cluster, 'till-rolls') == 0
    assert await _cached_tokens(session, cluster, 'till-rolls') > 0
    assert await _cached_tokens(session, cluster, 'pharmacy') == 0


async def test_crashed_engine_comes_back_empty(session):
    options = build_options(engine_arguments=('--event-loss', '0.3'))
    with running_cluster(options) as cluster:
        url = cluster.nodes[0].router.url
        for number in range(_QUESTIONS):
            await stream_chat(session, url, f'before {number}')
        for engine in cluster.engines():
            engine.kill()
            engine.start()
        await asyncio.to_thread(
            wait_until,
            lambda: _index_matches_engines(cluster),
        )
        for number in range(_QUESTIONS):
            question = f'after {number}'
            answer = await stream_chat(session, url, question)
            assert answer.text == expected_text(question, 8)
        assert _index_matches_engines(cluster)


async def test_weights_change_under_running_streams(session):
    with running_cluster(build_options()) as cluster:
        url = cluster.nodes[0].router.url
        streams = [
            asyncio.create_task(
                stream_chat(session, url, f'long {number}', max_tokens=150),
            )
            for number in range(_QUESTIONS)
        ]
        await asyncio.to_thread(
            wait_until,
            lambda: _running(cluster) == _QUESTIONS,
        )
        await asyncio.to_thread(_declare_version, cluster, 'v2')
        answers = await asyncio.gather(*streams)
        for number, answer in enumerate(answers):
            assert answer.is_explained
            whole = expected_text(f'long {number}', 150)
            newer = expected_text(f'long {number}', 150, 'v2')
            if answer.done:
                assert answer.text in {whole, newer}
            else:
                assert whole.startswith(answer.text)
        await asyncio.to_thread(
            wait_until, lambda: _versions(cluster) == {'v2'}
        )
        after = await stream_chat(session, url, 'after rollout')
        assert after.text == expected_text('after rollout', 8, 'v2')


def _index_matches_engines(cluster) -> bool:
    engines = {
        engine.name: call_json(f'{engine.url}/counts')
        for engine in cluster.engines()
    }
    indexed = {}
    for node in cluster.nodes:
        dump = call_json(f'{node.control.url}/debug/state')
        indexed.update(dump['index'])
    return all(
        indexed[name]['incarnation'] == counts['incarnation']
        and indexed[name]['blocks'] <= counts['stored_blocks']
        for name, counts in engines.items()
    )


def _declare_version(cluster, version: str) -> None:
    control = cluster.nodes[0].control.url
    pool = call_json(f'{control}/api/v1/pool/language')
    spec = {**pool['spec'], 'weights_version': version}
    cluster.put_resource('pool', 'language', spec)


def _versions(cluster) -> set[str]:
    return {
        call_json(f'{engine.url}/counts')['weights_version']
        for engine in cluster.engines()
    }


def _running(cluster) -> int:
    return sum(
        call_json(f'{engine.url}/counts')['running']
        for engine in cluster.engines()
    )
