"""Send bad input from every side; each process lives and says why."""

import asyncio

import pytest

from emulator.cluster import call_json, wait_until
from tests.builders import build_chat, build_headers
from tests.callers import call, expected_text, stream_chat
from tests.fault_proxy import Mode, running_proxy

_MAX_BODY_BYTES = 8 * 1024 * 1024


def _chat_url(cluster) -> str:
    return f'{cluster.nodes[0].router.url}/v1/chat/completions'


@pytest.mark.parametrize(
    ('body', 'status', 'kind', 'named'),
    [
        (b'{"model": ', 400, 'bad_request', 'bad JSON'),
        (b'[]', 400, 'bad_request', 'object'),
        (b'{"model": 3, "messages": []}', 400, 'bad_request', 'messages'),
        ({**build_chat(), 'max_tokens': 0}, 400, 'bad_request', 'max_tokens'),
        ({**build_chat(), 'stream': 'yes'}, 400, 'bad_request', 'stream'),
        (build_chat(model='nobody'), 404, 'unknown_model', 'nobody'),
        (b' ' * (_MAX_BODY_BYTES + 1), 413, 'body_too_large', 'bytes'),
    ],
)
async def test_bad_bodies(cluster, session, body, status, kind, named):
    answer = await call(session, 'POST', _chat_url(cluster), body=body)
    assert answer.status == status
    assert answer.body['error']['code'] == kind
    assert answer.body['error']['run_state'] == 'not_run'
    assert named in answer.body['error']['message']


@pytest.mark.parametrize('header', ['', 'Bearer ', 'Bearer wrong', 'Basic x'])
async def test_wrong_key(cluster, session, header):
    answer = await call(
        session,
        'POST',
        _chat_url(cluster),
        body=build_chat(),
        headers={'Authorization': header},
    )
    assert answer.status == 401
    assert answer.body['error']['code'] == 'bad_api_key'


async def test_unknown_path_and_method(cluster, session):
    url = cluster.nodes[0].router.url
    unknown = await call(session, 'GET', f'{url}/v2/nothing')
    assert unknown.status == 404
    wrong_method = await call(session, 'GET', _chat_url(cluster))
    assert wrong_method.body['error']['run_state'] == 'not_run'


async def test_slow_caller_does_not_hold_back_others(cluster, session):
    host = cluster.nodes[0].host
    _, writer = await asyncio.open_connection(host, 8080)
    writer.write(b'POST /v1/chat/completions HTTP/1.1\r\nContent-Le')
    await writer.drain()
    answer = await stream_chat(session, cluster.nodes[0].router.url, 'slow?')
    assert answer.text == expected_text('slow?', 8)
    writer.close()


async def test_vanished_caller_frees_its_engine(cluster, session):
    async with session.post(
        _chat_url(cluster),
        json=build_chat('vanish', max_tokens=5000),
        headers=build_headers(),
    ) as response:
        await response.content.readline()
    await asyncio.to_thread(wait_until, lambda: not _running(cluster))


async def test_garbage_from_a_backend_server(cluster, session):
    control = cluster.nodes[0].control.url
    service = cluster.services()[0]
    async with running_proxy(service.url) as proxy:
        proxy.mode = Mode.GARBAGE
        await _declare_garbage(session, control, proxy.url)
        await asyncio.to_thread(
            wait_until,
            lambda: _serves_route(cluster, 'garbled'),
        )
        url = cluster.nodes[0].router.url
        plain = await call(session, 'GET', f'{url}/services/garbled/stock/x')
        assert plain.body['error']['run_state'] == 'outcome_unknown'
        chat = await call(
            session,
            'POST',
            _chat_url(cluster),
            body=build_chat(model='garbled-model', stream=False),
        )
        assert chat.status in {502, 503}
    answer = await stream_chat(session, url, 'after garbage')
    assert answer.text == expected_text('after garbage', 8)


async def test_operator_errors_name_the_field(cluster, session):
    control = cluster.nodes[0].control.url
    answer = await call(
        session,
        'PUT',
        f'{control}/api/v1/pool/broken',
        body={'model': 'm', 'weights_version': 'v', 'max_loads': 3},
    )
    assert answer.status == 422
    assert 'max_loads' in answer.body['error']['message']
    assert 'max_concurrent_loads' in answer.body['error']['message']


async def _declare_garbage(session, control: str, url: str) -> None:
    declarations = {
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
    for path, spec in declarations.items():
        answer = await call(
            session,
            'PUT',
            f'{control}/api/v1/{path}',
            body=spec,
        )
        assert answer.status == 201, answer.body


def _running(cluster) -> int:
    return sum(
        call_json(f'{engine.url}/counts')['running']
        for engine in cluster.engines()
    )


def _serves_route(cluster, name: str) -> bool:
    url = cluster.nodes[0].control.url
    route = call_json(f'{url}/api/v1/route/{name}')
    return all(
        condition['status'] for condition in route['status']['conditions']
    )
