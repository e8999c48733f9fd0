"""Check requests of every kind end to end through separate processes.

The tests guard against wrong wiring between daemons, which unit tests do not
cover, and against API keys that leak into logs, state dumps or metrics.
"""

import hashlib

import orjson

from emulator.cluster import call_json
from tests.builders import build_chat_body, build_headers
from tests.callers import expected_text, place_order, send_request, stream_chat


async def test_streamed_completion_is_complete(cluster, session):
    question = 'Which roll fits?'
    response = await stream_chat(session, cluster.nodes[0].router.url, question)
    assert response.done
    assert response.text == expected_text(question, 8)


async def test_unstreamed_completion_reports_usage(cluster, session):
    response = await send_request(
        session,
        'POST',
        f'{cluster.nodes[1].router.url}/v1/chat/completions',
        body=build_chat_body('How wide?', stream=False),
    )
    assert response.status == 200
    text = response.body['choices'][0]['message']['content']
    assert text == expected_text('How wide?', 8)
    assert response.body['usage']['completion_tokens'] == 8


async def test_models_are_listed(cluster, session):
    url = f'{cluster.nodes[2].router.url}/v1/models'
    response = await send_request(session, 'GET', url)
    models = [model['id'] for model in response.body['data']]
    assert 'roll-advisor' in models


async def test_order_sent_through_all_routers_runs_once(cluster, session):
    order_responses = [
        await place_order(session, node.router.url, 'order-1')
        for node in cluster.nodes
    ]
    assert [response.status for response in order_responses] == [200, 200, 200]
    runs = [
        call_json(f'{service.url}/counts')['runs'].get('order-1', 0)
        for service in cluster.services()
    ]
    assert sum(runs) == 1


async def test_lookup_reaches_a_plain_service(cluster, session):
    url = f'{cluster.nodes[0].router.url}/services/stock/stock/roll-80'
    response = await send_request(session, 'GET', url)
    assert response.body == {'item': 'roll-80', 'stock': 7}


async def test_key_reuse_for_another_request_is_rejected(cluster, session):
    url = f'{cluster.nodes[0].router.url}/services/orders/orders'
    headers = build_headers(key='order-2')
    first_response = await send_request(
        session, 'POST', url, body={'n': 1}, headers=headers
    )
    second_response = await send_request(
        session, 'POST', url, body={'n': 2}, headers=headers
    )
    assert first_response.status == 200
    assert second_response.body['error']['code'] == 'key_reused'


async def test_command_line_client_shows_status_and_resources(cluster):
    status = orjson.loads(cluster.run_client('status', '-o', 'json'))
    assert len(status['members']) == 3
    routes = orjson.loads(cluster.run_client('get', 'route', '-o', 'json'))
    assert len(routes['items']) == 4


async def test_api_keys_are_in_no_log_state_dump_or_metric(cluster, session):
    url = cluster.nodes[0].router.url
    await stream_chat(session, url, 'secret?')
    await place_order(session, url, 'secret-order')
    await send_request(
        session,
        'GET',
        f'{url}/v1/models',
        headers=_headers_with_wrong_api_key(),
    )
    outputs = [
        process.log_path.read_text(encoding='utf-8')
        for process in cluster.processes()
    ]
    for node in cluster.nodes:
        for daemon in (node.router, node.control):
            for page in ('debug/state', 'metrics'):
                response = await send_request(
                    session, 'GET', f'{daemon.url}/{page}'
                )
                outputs.append(f'{response.body}')
    digest = hashlib.sha256(b'key-till-rolls').hexdigest()
    for secret in ('key-till-rolls', 'key-wrong', digest):
        assert not [text for text in outputs if secret in text]


def _headers_with_wrong_api_key() -> dict[str, str]:
    return {'Authorization': 'Bearer key-wrong'}
