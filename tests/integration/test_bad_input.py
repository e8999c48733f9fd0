"""Check that invalid input is rejected with the reason and harms no process.

The input comes from clients (invalid bodies, API keys and paths, slow or lost
connections), from a backend server that responds with invalid HTTP, and from
operators who declare a resource with an unknown field.
"""

import asyncio

import pytest

from emulator.cluster import call_json, wait_until
from tests.builders import build_chat_body, build_headers
from tests.callers import expected_text, send_request, stream_chat
from tests.fault_proxy import FaultMode, running_proxy

_MAX_BODY_BYTES = 8 * 1024 * 1024


def _chat_url(cluster) -> str:
    return f'{cluster.nodes[0].router.url}/v1/chat/completions'


@pytest.mark.parametrize(
    ('body', 'status', 'kind', 'named'),
    [
        (b'{"model": ', 400, 'bad_request', 'bad JSON'),
        (b'[]', 400, 'bad_request', 'object'),
        (b'{"model": 3, "messages": []}', 400, 'bad_request', 'messages'),
        (
            {**build_chat_body(), 'max_tokens': 0},
            400,
            'bad_request',
            'max_tokens',
        ),
        ({**build_chat_body(), 'stream': 'yes'}, 400, 'bad_request', 'stream'),
        (build_chat_body(model='nobody'), 404, 'unknown_model', 'nobody'),
        (b' ' * (_MAX_BODY_BYTES + 1), 413, 'body_too_large', 'bytes'),
    ],
)
async def test_invalid_body_is_rejected_with_the_reason(
    cluster, session, body, status, kind, named
):
    response = await send_request(
        session, 'POST', _chat_url(cluster), body=body
    )
    assert response.status == status
    assert response.body['error']['code'] == kind
    assert response.body['error']['run_state'] == 'not_run'
    assert named in response.body['error']['message']


@pytest.mark.parametrize('header', ['', 'Bearer ', 'Bearer wrong', 'Basic x'])
async def test_invalid_api_key_is_rejected(cluster, session, header):
    response = await send_request(
        session,
        'POST',
        _chat_url(cluster),
        body=build_chat_body(),
        headers={'Authorization': header},
    )
    assert response.status == 401
    assert response.body['error']['code'] == 'bad_api_key'


async def test_unknown_path_or_method_is_rejected(cluster, session):
    url = cluster.nodes[0].router.url
    unknown_path = await send_request(session, 'GET', f'{url}/v2/nothing')
    assert unknown_path.status == 404
    wrong_method = await send_request(session, 'GET', _chat_url(cluster))
    assert wrong_method.body['error']['run_state'] == 'not_run'


async def test_slow_client_does_not_delay_others(cluster, session):
    host = cluster.nodes[0].host
    _, writer = await asyncio.open_connection(host, 8080)
    writer.write(b'POST /v1/chat/completions HTTP/1.1\r\nContent-Le')
    await writer.drain()
    response = await stream_chat(session, cluster.nodes[0].router.url, 'slow?')
    assert response.text == expected_text('slow?', 8)
    writer.close()


async def test_lost_client_stops_its_request_on_the_engine(cluster, session):
    async with session.post(
        _chat_url(cluster),
        json=build_chat_body('vanish', max_tokens=5000),
        headers=build_headers(),
    ) as response:
        await response.content.readline()
    await asyncio.to_thread(wait_until, lambda: not _running_requests(cluster))


async def test_invalid_http_from_a_backend_server_is_contained(
    cluster, session
):
    control = cluster.nodes[0].control.url
    service = cluster.services()[0]
    async with running_proxy(service.url) as proxy:
        proxy.mode = FaultMode.GARBAGE
        await _declare_faulty_backend_servers(session, control, proxy.url)
        await asyncio.to_thread(
            wait_until,
            lambda: _is_route_served(cluster, 'garbled'),
        )
        url = cluster.nodes[0].router.url
        plain_response = await send_request(
            session, 'GET', f'{url}/services/garbled/stock/x'
        )
        assert plain_response.body['error']['run_state'] == 'outcome_unknown'
        chat_response = await send_request(
            session,
            'POST',
            _chat_url(cluster),
            body=build_chat_body(model='garbled-model', stream=False),
        )
        assert chat_response.status in {502, 503}
    response = await stream_chat(session, url, 'after garbage')
    assert response.text == expected_text('after garbage', 8)


async def test_invalid_resource_error_names_the_field(cluster, session):
    control = cluster.nodes[0].control.url
    response = await send_request(
        session,
        'PUT',
        f'{control}/api/v1/pool/broken',
        body={'model': 'm', 'weights_version': 'v', 'max_loads': 3},
    )
    assert response.status == 422
    assert 'max_loads' in response.body['error']['message']
    assert 'max_concurrent_loads' in response.body['error']['message']


async def _declare_faulty_backend_servers(
    session, control: str, url: str
) -> None:
    specs = {
        'pool/garbled': {'model': 'g', 'weights_version': 'v1'},
        'backend-server/garbled-service': {
            'pool': 'garbled',
            'url': url,
            'zone': 'plateau',
            'kind': 'service',
        },
        'backend-server/garbled-engine': {
            'pool': 'garbled',
            'url': url,
            'zone': 'plateau',
            'kind': 'engine',
        },
        'route/garbled': {'pool': 'garbled', 'idempotent': False},
        'route/garbled-model': {'pool': 'garbled', 'deadline_ms': 2000},
    }
    for path, spec in specs.items():
        response = await send_request(
            session,
            'PUT',
            f'{control}/api/v1/{path}',
            body=spec,
        )
        assert response.status == 201, response.body


def _running_requests(cluster) -> int:
    return sum(
        call_json(f'{engine.url}/counts')['running']
        for engine in cluster.engines()
    )


def _is_route_served(cluster, name: str) -> bool:
    url = cluster.nodes[0].control.url
    route = call_json(f'{url}/api/v1/route/{name}')
    return all(
        condition['status'] for condition in route['status']['conditions']
    )
