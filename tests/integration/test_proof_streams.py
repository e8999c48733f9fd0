"""Check that each client gets its own stream, complete and in order.

An engine may break a stream off, reorder or repeat pieces, send the pieces of
another attempt, hang or crash. Delays and client timeouts must not hand a late
response to the next request on the same connection. Covers requirements 2 and
3.
"""

import asyncio

import pytest

from emulator.cluster import call_json, running_cluster, wait_until
from tests.builders import build_cluster_options
from tests.callers import expected_text, send_request, stream_chat
from tests.fault_proxy import running_proxy

_PIECE_COUNT = 60
_CLIENT_COUNT = 30


@pytest.mark.parametrize(
    'faults',
    [
        {'cuts': 2, 'cut_after': 5},
        {'crossed': 2},
        {'reorder': 2},
        {'duplicate': 2},
    ],
)
async def test_streams_are_complete_despite_engine_faults(
    cluster, session, faults
):
    for engine in cluster.engines():
        call_json(f'{engine.url}/faults', faults)
    responses = await _stream_all(session, cluster, f'{faults}')
    for question, response in responses.items():
        assert response.done, response
        assert response.text == expected_text(question, _PIECE_COUNT)


async def test_delayed_streams_reach_their_own_clients(cluster, session):
    control = cluster.nodes[0].control.url
    engine = cluster.engines()[0]
    async with running_proxy(engine.url) as proxy:
        proxy.delay_s = 0.05
        cluster.set_backend_url(engine.name, proxy.url)
        await asyncio.to_thread(
            wait_until, lambda: _is_configuration_in_force(control)
        )
        responses = await _stream_all(session, cluster, 'late')
        cluster.set_backend_url(engine.name, engine.url)
        await asyncio.to_thread(
            wait_until, lambda: _is_configuration_in_force(control)
        )
    for question, response in responses.items():
        assert response.text == expected_text(question, _PIECE_COUNT)


async def test_delayed_lookups_reach_their_own_clients(cluster, session):
    for service in cluster.services():
        call_json(f'{service.url}/faults', {'delay_ms': 60})
    responses = await asyncio.gather(
        *(
            send_request(
                session,
                'GET',
                _stock_url(cluster, number),
                timeout_s=0.05 if number % 3 == 0 else 5,
            )
            for number in range(_CLIENT_COUNT)
        )
    )
    for service in cluster.services():
        call_json(f'{service.url}/faults', {'delay_ms': 5})
    for number, response in enumerate(responses):
        if response.status:
            assert response.body['item'] == f'item-{number}'


async def test_streams_are_complete_despite_dead_engines(session):
    with running_cluster(build_cluster_options()) as cluster:
        pending_responses = asyncio.create_task(
            _stream_all(session, cluster, 'killed')
        )
        await asyncio.to_thread(wait_until, lambda: _is_engine_busy(cluster, 0))
        cluster.engines()[0].kill()
        cluster.engines()[1].suspend()
        responses = await pending_responses
        cluster.engines()[1].resume()
        for question, response in responses.items():
            assert response.done, response
            assert response.text == expected_text(question, _PIECE_COUNT)


async def test_stream_ends_with_an_error_when_all_engines_die(session):
    with running_cluster(build_cluster_options()) as cluster:
        pending_responses = asyncio.create_task(
            _stream_all(session, cluster, 'all dead')
        )
        await asyncio.to_thread(wait_until, lambda: _is_engine_busy(cluster, 0))
        for engine in cluster.engines():
            engine.kill()
        responses = await pending_responses
        for question, response in responses.items():
            assert response.has_explicit_end, response
            complete_text = expected_text(question, _PIECE_COUNT)
            assert complete_text.startswith(response.text)
            assert response.done or response.error['message']


async def _stream_all(session, cluster, name: str):
    questions = [f'{name} {number}' for number in range(_CLIENT_COUNT)]
    responses = await asyncio.gather(
        *(
            stream_chat(
                session,
                _router_url(cluster, number),
                question,
                max_tokens=_PIECE_COUNT,
            )
            for number, question in enumerate(questions)
        )
    )
    return dict(zip(questions, responses, strict=True))


def _router_url(cluster, number: int) -> str:
    return cluster.nodes[number % len(cluster.nodes)].router.url


def _stock_url(cluster, number: int) -> str:
    return f'{_router_url(cluster, number)}/services/stock/stock/item-{number}'


def _is_engine_busy(cluster, number: int) -> bool:
    url = cluster.engines()[number].url
    return call_json(f'{url}/counts')['running'] > 0


def _is_configuration_in_force(control: str) -> bool:
    status = call_json(f'{control}/api/v1/status')
    return status['lowest_offset_in_force'] == status['offset']
