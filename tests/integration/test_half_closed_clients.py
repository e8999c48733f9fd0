"""Check what a client gets that shuts down its sending side behind a request.

It may have closed the whole connection: engines do no more for it. But it may
also wait for its response, and a request that was read whole gets one, which
shows truly whether it may have run.
"""

import asyncio
import functools
import signal
from types import MappingProxyType

import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from tests.fleet_builders import (
    ENGINE_HOST,
    PLAIN_HOST,
    build_configuration,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import count_runs, request_stream
from tests.raw_clients import (
    RawResponse,
    build_bytes,
    half_close_after,
    parse_bytes,
)

_PATHS = MappingProxyType(
    {
        'order': ('/order/1', PLAIN_HOST),
        'lookup': ('/look/1', PLAIN_HOST),
        'stream': ('/ask/1', ENGINE_HOST),
        'resumable_stream': ('/note/1', ENGINE_HOST),
    }
)
_BODY = b'{"prompt": "x"}'
_RUN_S = 2.0
_LEFT_S = 0.5
_GRACE_NOTICE_S = 3.0
_CLIENTS = 60


def build_request(kind: str, attempt_id: str, **options) -> bytes:
    """Return a whole request of one kind."""
    path, host = _PATHS[kind]
    headers = build_request_headers(attempt_id, host=host)
    return build_bytes(path, headers, _BODY, **options)


async def start_node(fleet: Fleet, http, **engine_changes) -> FleetNode:
    """Start one VM, an engine and a plain server."""
    node = await start_single_node(fleet, engines=1, plain=1, **engine_changes)
    await wait_until_ready([node], http)
    return node


async def exchange(
    node: FleetNode, *parts: bytes, pause_s: float = 0.0, wait_s: float = 0.0
) -> bytes:
    """Send ``parts``, half-close and return what arrives."""
    return await half_close_after(
        node.ip, node.port, list(parts), pause_s=pause_s, wait_s=wait_s
    )


def assert_true_refusal(
    fleet: Fleet, attempt_id: str, received: bytes
) -> RawResponse:
    """Check that ``received`` is one whole refusal which is true."""
    response = parse_bytes(received)
    assert response.is_complete
    assert not response.rest
    is_http_1_0 = received.startswith(b'HTTP/1.0')
    assert is_http_1_0 or response.headers['Connection'] == 'close'
    assert response.headers['Attempt-Id'] == attempt_id
    assert 'Response-Stamp' not in response.headers
    assert response.status in {502, 503}
    if response.status == 503:
        assert count_runs(fleet, attempt_id) == 0
    return response


# Guards against a whole request that gets nothing because its client ended its
# sending side right behind it.
@pytest.mark.parametrize('kind', _PATHS)
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_request_with_the_end_right_behind_it_is_answered(
    fleet, http, kind, version
):
    node = await start_node(fleet, http)
    for number in range(10):
        attempt_id = f'h{number}'
        request = build_request(kind, attempt_id, version=version)
        assert_true_refusal(fleet, attempt_id, await exchange(node, request))


# Guards against the same where the look before an attempt finds the end.
@pytest.mark.parametrize('kind', _PATHS)
async def test_request_read_together_with_the_end_is_refused_as_not_run(
    fleet, http, kind
):
    node = await start_node(fleet, http)
    node.process.send_signal(signal.SIGSTOP)
    request = asyncio.create_task(
        exchange(node, build_request(kind, 'read-late'))
    )
    await asyncio.sleep(0.3)
    node.process.send_signal(signal.SIGCONT)
    response = assert_true_refusal(fleet, 'read-late', await request)
    assert response.status == 503


# Guards against a queued request that gets nothing, or that goes on to wait for
# an engine and runs.
async def test_queued_request_is_refused_as_not_run(fleet, http):
    node = await start_node(fleet, http, slots=1, event_s=0.3)
    running = asyncio.create_task(request_stream(http, node, 'first'))
    await wait_for_condition(lambda: count_runs(fleet, 'first'), 'it runs')
    received = await exchange(
        node, build_request('stream', 'queued'), wait_s=0.3
    )
    assert not running.done()
    response = assert_true_refusal(fleet, 'queued', received)
    assert response.status == 503
    assert (await running)[0] == 200
    assert (await request_stream(http, node, 'after'))[0] == 200
    assert count_runs(fleet, 'queued') == 0


# Guards against a request that gets nothing though an engine may have run it,
# and against an engine that works on for a client that may have left.
@pytest.mark.parametrize('kind', _PATHS)
async def test_running_request_is_answered_and_its_engine_left(
    fleet, http, kind
):
    node = await start_node(fleet, http, queue_s=_RUN_S)
    for engine in fleet.engines:
        engine.options.service_s = _RUN_S
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    received = await exchange(node, build_request(kind, 'running'), wait_s=0.3)
    assert loop.time() - started_s < 0.3 + _LEFT_S
    response = assert_true_refusal(fleet, 'running', received)
    assert response.status == 502
    await wait_for_condition(
        lambda: not any(engine.running for engine in fleet.engines),
        'engines left',
        limit_s=_LEFT_S,
    )


# Guards against a begun stream that goes on for a client that may have left, or
# that ends so that it looks complete.
@pytest.mark.parametrize('kind', ['stream', 'resumable_stream'])
async def test_begun_stream_is_cut_and_its_engine_left(fleet, http, kind):
    node = await start_node(fleet, http, event_s=0.3, events=20)
    received = await exchange(node, build_request(kind, 'begun'), wait_s=0.8)
    response = parse_bytes(received)
    assert response.status == 200
    assert response.body.startswith(b'id: 1')
    assert not response.is_complete
    await wait_for_condition(
        lambda: not fleet.engines[0].running, 'engine left', limit_s=_LEFT_S
    )


# Guards against a body in parts that gets nothing once it is whole.
@pytest.mark.parametrize('kind', _PATHS)
async def test_request_with_a_body_in_parts_is_answered(fleet, http, kind):
    node = await start_node(fleet, http)
    request = build_request(kind, 'parts')
    received = await exchange(node, request[:-5], request[-5:], pause_s=0.3)
    assert_true_refusal(fleet, 'parts', received)


# Guards against a request whose body ended early and that is run.
@pytest.mark.parametrize('kind', _PATHS)
async def test_request_with_a_body_that_ends_early_is_not_run(
    fleet, http, kind
):
    node = await start_node(fleet, http)
    request = build_request(kind, 'short')
    received = await exchange(node, request[:-5], wait_s=0.3)
    assert not received
    await asyncio.sleep(_LEFT_S)
    assert count_runs(fleet, 'short') == 0
    assert 'during the upload' in node.log_path.read_text()


# Guards against pipelined requests of which only the first is answered.
@pytest.mark.parametrize('is_stopped', [False, True])
async def test_pipelined_requests_are_all_answered(fleet, http, is_stopped):
    node = await start_node(fleet, http)
    fleet.engines[1].options.service_s = _RUN_S
    requests = [
        build_request('order', f'p{number}').replace(
            b'Connection: close\r\n', b''
        )
        for number in range(3)
    ]
    if is_stopped:
        node.process.send_signal(signal.SIGSTOP)
    task = asyncio.create_task(exchange(node, b''.join(requests)))
    await asyncio.sleep(0.3)
    node.process.send_signal(signal.SIGCONT)
    received = await task
    for number in range(3):
        response = parse_bytes(received)
        assert response.is_complete
        assert response.headers['Attempt-Id'] == f'p{number}'
        assert response.status in {502, 503}
        runs = count_runs(fleet, f'p{number}')
        assert runs <= (response.status == 502)
        received = response.rest
    assert not received
    assert response.headers['Connection'] == 'close'


# Guards against a client that closes the connection and is served all the same.
@pytest.mark.parametrize('kind', _PATHS)
async def test_client_that_closes_is_left_by_engines(fleet, http, kind):
    node = await start_node(fleet, http, queue_s=_RUN_S)
    for engine in fleet.engines:
        engine.options.service_s = _RUN_S
    _, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(build_request(kind, 'closed'))
    await wait_for_condition(
        lambda: any(engine.running for engine in fleet.engines), 'it runs'
    )
    writer.close()
    await wait_for_condition(
        lambda: not any(engine.running for engine in fleet.engines),
        'engines left',
        limit_s=_LEFT_S,
    )


# Guards against requests that get nothing in a planned stop, before and after
# new ones are refused.
@pytest.mark.parametrize('after_s', [0.2, _GRACE_NOTICE_S])
async def test_requests_in_a_planned_stop_are_answered(fleet, http, after_s):
    node = await start_node(fleet, http)
    connections = [
        await asyncio.open_connection(node.ip, node.port) for _ in _PATHS
    ]
    for kind, (_, writer) in zip(_PATHS, connections, strict=True):
        writer.write(build_request(kind, kind)[:20])
    await asyncio.sleep(0.1)
    node.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(after_s)
    for kind, (_, writer) in zip(_PATHS, connections, strict=True):
        writer.write(build_request(kind, kind)[20:])
        writer.write_eof()
    for kind, (reader, writer) in zip(_PATHS, connections, strict=True):
        async with asyncio.timeout(5):
            assert_true_refusal(fleet, kind, await reader.read())
        writer.close()
    assert await node.process.wait() == 0


# Guards against requests that get nothing beside changes of the configuration.
async def test_requests_beside_changed_configurations_are_answered(fleet, http):
    node = await start_node(fleet, http)
    changes = asyncio.create_task(_change_configurations(fleet, http, node))
    kinds = [list(_PATHS)[number % 4] for number in range(_CLIENTS)]
    counts = await asyncio.gather(
        *(
            _request_until_done(fleet, node, kind, number, changes)
            for number, kind in enumerate(kinds)
        )
    )
    await changes
    assert sum(counts) > _CLIENTS


async def _change_configurations(fleet: Fleet, http, node: FleetNode) -> None:
    limits = build_configuration()['limits']
    for version in range(2, 10):
        changed = {
            'idle_timeout_ms': 1000 * (1 + version % 3),
            'max_header_bytes': 16_384 * (1 + version % 4),
        }
        fleet.configure(
            build_configuration(version, limits={**limits, **changed})
        )
        await wait_for_condition(
            functools.partial(_has_applied, http, node, version), 'applied'
        )
        await asyncio.sleep(0.2)


async def _has_applied(http, node: FleetNode, version: int) -> bool:
    async with http.get(f'{node.control_url}/debug/state') as response:
        return (await response.json())['config_version'] == version


async def _request_until_done(
    fleet: Fleet, node: FleetNode, kind: str, client: int, done: asyncio.Task
) -> int:
    """Send requests until ``done``; return how many."""
    count = 0
    while not done.done():
        attempt_id = f'c{client}-{count}'
        received = await exchange(node, build_request(kind, attempt_id))
        assert_true_refusal(fleet, attempt_id, received)
        count += 1
    return count
