"""Drive requests end to end through separate processes."""

import hashlib

import orjson

from emulator.cluster import call_json
from tests.builders import build_chat, build_headers
from tests.callers import book, call, expected_text, stream_chat


async def test_streamed_completion(cluster, session):
    question = 'Which roll fits?'
    answer = await stream_chat(session, cluster.nodes[0].router.url, question)
    assert answer.done
    assert answer.text == expected_text(question, 8)


async def test_whole_completion_reports_usage(cluster, session):
    answer = await call(
        session,
        'POST',
        f'{cluster.nodes[1].router.url}/v1/chat/completions',
        body=build_chat('How wide?', stream=False),
    )
    assert answer.status == 200
    text = answer.body['choices'][0]['message']['content']
    assert text == expected_text('How wide?', 8)
    assert answer.body['usage']['completion_tokens'] == 8


async def test_models_are_listed(cluster, session):
    url = f'{cluster.nodes[2].router.url}/v1/models'
    answer = await call(session, 'GET', url)
    models = [model['id'] for model in answer.body['data']]
    assert 'roll-advisor' in models


async def test_order_runs_once_through_all_routers(cluster, session):
    bookings = [
        await book(session, node.router.url, 'order-1')
        for node in cluster.nodes
    ]
    assert [answer.status for answer in bookings] == [200, 200, 200]
    runs = [
        call_json(f'{service.url}/counts')['runs'].get('order-1', 0)
        for service in cluster.services()
    ]
    assert sum(runs) == 1


async def test_lookup_of_plain_service(cluster, session):
    url = f'{cluster.nodes[0].router.url}/services/stock/stock/roll-80'
    answer = await call(session, 'GET', url)
    assert answer.body == {'item': 'roll-80', 'stock': 7}


async def test_same_key_for_another_request_is_refused(cluster, session):
    url = f'{cluster.nodes[0].router.url}/services/orders/orders'
    headers = build_headers(key='order-2')
    first = await call(session, 'POST', url, body={'n': 1}, headers=headers)
    second = await call(session, 'POST', url, body={'n': 2}, headers=headers)
    assert first.status == 200
    assert second.body['error']['code'] == 'key_reused'


async def test_client_shows_status_and_resources(cluster):
    status = orjson.loads(cluster.run_client('status', '-o', 'json'))
    assert len(status['members']) == 3
    routes = orjson.loads(cluster.run_client('get', 'route', '-o', 'json'))
    assert len(routes['items']) == 4


async def test_keys_are_in_no_log_dump_or_metric(cluster, session):
    url = cluster.nodes[0].router.url
    await stream_chat(session, url, 'secret?')
    await book(session, url, 'secret-order')
    await call(session, 'GET', f'{url}/v1/models', headers=_wrong_key())
    texts = [
        process.log_path.read_text(encoding='utf-8')
        for process in cluster.processes()
    ]
    for node in cluster.nodes:
        for daemon in (node.router, node.control):
            for page in ('debug/state', 'metrics'):
                answer = await call(session, 'GET', f'{daemon.url}/{page}')
                texts.append(f'{answer.body}')
    digest = hashlib.sha256(b'key-till-rolls').hexdigest()
    for secret in ('key-till-rolls', 'key-wrong', digest):
        assert not [text for text in texts if secret in text]


def _wrong_key() -> dict[str, str]:
    return {'Authorization': 'Bearer key-wrong'}
