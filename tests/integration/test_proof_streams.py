"""Points 2 and 3: streams whole and in order, each caller its own."""

import asyncio

import pytest

from emulator.cluster import call_json, running_cluster, wait_until
from tests.builders import build_options
from tests.callers import call, expected_text, stream_chat
from tests.fault_proxy import running_proxy

_PIECES = 60
_CALLERS = 30


@pytest.mark.parametrize(
    'faults',
    [
        {'cuts': 2, 'cut_after': 5},
        {'crossed': 2},
        {'reorder': 2},
        {'duplicate': 2},
    ],
)
async def test_disturbed_streams_arrive_whole(cluster, session, faults):
    for engine in cluster.engines():
        call_json(f'{engine.url}/faults', faults)
    answers = await _ask_all(session, cluster, f'{faults}')
    for question, answer in answers.items():
        assert answer.done, answer
        assert answer.text == expected_text(question, _PIECES)


async def test_late_answers_reach_their_own_callers(cluster, session):
    control = cluster.nodes[0].control.url
    engine = cluster.engines()[0]
    async with running_proxy(engine.url) as proxy:
        proxy.delay_s = 0.05
        cluster.move_backend(engine.name, proxy.url)
        await asyncio.to_thread(wait_until, lambda: _in_force(control))
        answers = await _ask_all(session, cluster, 'late')
        cluster.move_backend(engine.name, engine.url)
        await asyncio.to_thread(wait_until, lambda: _in_force(control))
    for question, answer in answers.items():
        assert answer.text == expected_text(question, _PIECES)


async def test_plain_answers_reach_their_own_callers(cluster, session):
    for service in cluster.services():
        call_json(f'{service.url}/faults', {'delay_ms': 60})
    answers = await asyncio.gather(
        *(
            call(
                session,
                'GET',
                _stock_url(cluster, number),
                timeout_s=0.05 if number % 3 == 0 else 5,
            )
            for number in range(_CALLERS)
        )
    )
    for service in cluster.services():
        call_json(f'{service.url}/faults', {'delay_ms': 5})
    for number, answer in enumerate(answers):
        if answer.status:
            assert answer.body['item'] == f'item-{number}'


async def test_killed_and_frozen_engines(session):
    with running_cluster(build_options()) as cluster:
        asking = asyncio.create_task(_ask_all(session, cluster, 'killed'))
        await asyncio.to_thread(wait_until, lambda: _busy(cluster, 0))
        cluster.engines()[0].kill()
        cluster.engines()[1].freeze()
        answers = await asking
        cluster.engines()[1].thaw()
        for question, answer in answers.items():
            assert answer.done, answer
            assert answer.text == expected_text(question, _PIECES)


async def test_stream_without_engines_ends_with_one_error(session):
    with running_cluster(build_options()) as cluster:
        asking = asyncio.create_task(_ask_all(session, cluster, 'all dead'))
        await asyncio.to_thread(wait_until, lambda: _busy(cluster, 0))
        for engine in cluster.engines():
            engine.kill()
        answers = await asking
        for question, answer in answers.items():
            assert answer.is_explained, answer
            whole = expected_text(question, _PIECES)
            assert whole.startswith(answer.text)
            assert answer.done or answer.error['message']


async def _ask_all(session, cluster, name: str):
    questions = [f'{name} {number}' for number in range(_CALLERS)]
    answers = await asyncio.gather(
        *(
            stream_chat(
                session,
                _router(cluster, number),
                question,
                max_tokens=_PIECES,
            )
            for number, question in enumerate(questions)
        )
    )
    return dict(zip(questions, answers, strict=True))


def _router(cluster, number: int) -> str:
    return cluster.nodes[number % len(cluster.nodes)].router.url


def _stock_url(cluster, number: int) -> str:
    return f'{_router(cluster, number)}/services/stock/stock/item-{number}'


def _busy(cluster, number: int) -> bool:
    url = cluster.engines()[number].url
    return call_json(f'{url}/counts')['running'] > 0


def _in_force(control: str) -> bool:
    status = call_json(f'{control}/api/v1/status')
    return status['lowest_offset_in_force'] == status['offset']
