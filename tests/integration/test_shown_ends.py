"""Check that clients of the users' platform are shown where answers end.

A stream to a client of HTTP/1.0 has neither a length nor chunks: only the close
of its connection shows its end. All bytes of the connection are read.
"""

import asyncio
import signal
from collections import deque

import pytest
from yarl import URL

from emulator.fleet import FleetNode
from emulator.raw_response import Ending, Framing, PartialResponse
from emulator.scripted_response import ScriptedResponse
from tests.fleet_builders import (
    PLAIN_HOST,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import REQUEST_BODY, complete_stream_text
from tests.raw_clients import (
    RawResponse,
    Received,
    build_bytes,
    parse_received,
    receive_all,
)

_WHOLE = complete_stream_text().encode()
_TRANSIT_S = 0.12
_LIMIT_S = 4.0
_STOP_S = 8.0
_EXTRA_BYTES = 3_000_000
_LARGE_BODY = b'x' * 12_000_000
_STREAMS = ('/ask/1', '/note/1')
_OLD_CONNECTIONS = (
    'keep-alive',
    'Keep-Alive',
    'KEEP-ALIVE',
    'x-hop, keep-alive',
    'keep-alive, x-hop',
    'close',
    '',
)

each_stream = pytest.mark.parametrize('path', _STREAMS)


@pytest.fixture
async def node(fleet, http):
    """Yield a VM with one engine and one plain server."""
    started = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([started], http)
    return started


def build_request(
    path: str,
    attempt_id: str,
    connection: str,
    *,
    version: str = '1.0',
    body: bytes = REQUEST_BODY,
    **changes: str,
) -> bytes:
    """Return a request with ``connection`` as its header, without if empty."""
    if path.startswith('/order/'):
        changes = {'host': PLAIN_HOST, **changes}
    fields = build_request_headers(attempt_id, **changes)
    request = build_bytes(
        path, {'Connection': connection, **fields}, body, version=version
    )
    return request.replace(b'Connection: \r\n', b'')


async def receive(node: FleetNode, *requests: bytes, **options) -> Received:
    """Send ``requests`` in one piece; return what arrives until the end."""
    return await receive_all(
        node.ip,
        node.port,
        b''.join(requests),
        **{'limit_s': _LIMIT_S, **options},
    )


def split(received: Received) -> list[RawResponse]:
    """Return the responses on a connection in their order."""
    responses = []
    while received.content:
        responses.append(parse_received(received))
        received = Received(
            content=responses[-1].rest, is_reset=received.is_reset
        )
    return responses


def assert_shown_end(received: Received) -> None:
    """Check that the last response ends with its connection, and says so."""
    assert not received.is_reset
    assert received.end_delay_s < _TRANSIT_S
    assert split(received)[-1].headers['Connection'] == 'close'


# Guards against a stream whose end is shown only by the idle timeout, as the
# connection was to be kept.
@each_stream
@pytest.mark.parametrize('connection', _OLD_CONNECTIONS)
async def test_stream_to_an_old_client_ends_with_its_connection(
    node, path, connection
):
    received = await receive(node, build_request(path, 's1', connection))
    response = parse_received(received)
    assert (response.status, response.body) == (200, _WHOLE)
    assert_shown_end(received)


# Guards against the same where a client of HTTP/1.1 closes the connection.
@each_stream
@pytest.mark.parametrize('connection', ['close', 'Close', 'keep-alive, close'])
async def test_stream_on_a_closing_connection_has_an_end(
    node, path, connection
):
    received = await receive(
        node, build_request(path, 's1', connection, version='1.1')
    )
    response = parse_received(received)
    assert (response.body, response.is_complete) == (_WHOLE, True)
    assert_shown_end(received)


# Guards against the same behind other requests on the connection.
@each_stream
async def test_stream_behind_other_requests_ends_with_its_connection(
    node, path
):
    received = await receive(
        node,
        build_request('/order/1', 'o1', 'keep-alive'),
        build_request('/order/1', 'o2', 'keep-alive', key='nobody'),
        build_request(path, 's1', 'keep-alive'),
    )
    first, refused, stream = split(received)
    assert (first.status, first.headers['Connection']) == (200, 'keep-alive')
    assert refused.status == 401
    assert (stream.status, stream.body) == (200, _WHOLE)
    assert_shown_end(received)


# Guards against the end of a stream that is lost in a reset, as the client sent
# more on the connection that is closed behind it.
@each_stream
async def test_stream_before_other_bytes_is_not_reset(node, path):
    received = await receive(
        node,
        build_request(path, 's1', 'keep-alive'),
        build_request('/order/1', 'o1', 'keep-alive', body=b'x' * 90_000)
        * (_EXTRA_BYTES // 90_000),
        wait_s=1.0,
    )
    assert split(received)[0].body == _WHOLE
    assert not received.is_reset


# Guards against a cut stream whose connection is closed as if it were whole.
@each_stream
@pytest.mark.parametrize('connection', _OLD_CONNECTIONS)
async def test_cut_stream_to_an_old_client_is_reset(
    fleet, node, path, connection
):
    cut = PartialResponse(
        framing=Framing.CHUNKS,
        content_type='text/event-stream',
        body=_WHOLE,
        ending=Ending.RESET,
        missing_bytes=30,
    )
    fleet.engines[0].scripted_responses = deque((cut, cut))
    received = await receive(node, build_request(path, 's1', connection))
    assert received.content.startswith(b'HTTP/1.0 200')
    assert received.is_reset


# Guards against an answer other than a stream whose end is not shown.
@each_stream
@pytest.mark.parametrize('status', [204, 304, 400, 429, 500])
async def test_error_of_an_engine_has_an_end(fleet, node, path, status):
    scripted = ScriptedResponse(status=status, content_type='text/plain')
    fleet.engines[0].scripted_responses = deque((scripted, scripted))
    received = await receive(
        node,
        build_request(path, 's1', 'keep-alive'),
        build_request('/order/1', 'o1', 'close'),
    )
    assert received.content.count(b'HTTP/1.0 ') == 2
    assert not received.is_reset
    assert received.end_delay_s < _TRANSIT_S


# Guards against a refusal that is lost as its connection is closed while the
# client sends a body of which no more is read.
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('connection', ['close', 'keep-alive'])
@pytest.mark.parametrize(('key', 'status'), [('nobody', 401), ('', 413)])
async def test_refusal_before_the_end_of_a_large_body_arrives(
    node, version, connection, key, status
):
    changes = {'key': key} if key else {}
    request = build_request(
        '/order/1',
        'o1',
        connection,
        version=version,
        body=_LARGE_BODY,
        **changes,
    )
    last = build_request('/order/1', 'o2', 'close', version=version)
    received = await receive(node, request, last, wait_s=0.5)
    statuses = [response.status for response in split(received)]
    assert statuses[0] == status
    assert len(statuses) == 1 + (connection == 'keep-alive')
    assert set(statuses[1:]) <= {200}
    assert not received.is_reset


# Guards against a refusal of malformed bytes that is lost in the same way.
async def test_refusal_of_malformed_bytes_arrives(node):
    received = await receive(node, b'x' * _EXTRA_BYTES, wait_s=0.5)
    assert parse_received(received).status == 400
    assert not received.is_reset


# Guards against a break of an engine's body that only its connection ends, and
# that looks to an old client like the end of the stream.
@each_stream
async def test_reset_of_an_engine_is_a_reset_for_an_old_client(
    fleet, node, path
):
    broken = PartialResponse(
        framing=Framing.CONNECTION,
        content_type='text/event-stream',
        body=_WHOLE,
        ending=Ending.RESET,
    )
    fleet.engines[0].scripted_responses = deque((broken, broken))
    received = await receive(node, build_request(path, 's1', 'keep-alive'))
    assert received.is_reset or b' 200 ' not in received.content


# Guards against a stream without events whose end is not shown.
@each_stream
async def test_empty_stream_has_an_end(fleet, node, path):
    empty = ScriptedResponse()
    fleet.engines[0].scripted_responses = deque((empty, empty))
    received = await receive(node, build_request(path, 's1', 'keep-alive'))
    response = parse_received(received)
    assert (response.status, response.body) == (200, b'')
    assert_shown_end(received)


# Guards against a body behind the head of an answer to HEAD.
@pytest.mark.parametrize('path', ['/order/1', *_STREAMS])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_answer_to_head_is_a_head(node, path, version):
    requests = [
        build_request(path, f'h-{connection}', connection, version=version)
        for connection in ('keep-alive', 'close')
    ]
    received = await receive(
        node, *(sent.replace(b'POST', b'HEAD', 1) for sent in requests)
    )
    assert received.content.count(b'HTTP/') == 2
    assert received.content.endswith(b'\r\n\r\n')
    assert not received.is_reset


# Guards against answers of the endpoints for operators and other VMs whose end
# is not shown to an old client that keeps its connection.
@pytest.mark.parametrize(
    'path', ['/metrics', '/debug/state', '/readyz', '/nowhere', '/relay?x=1']
)
@pytest.mark.parametrize('method', [b'GET', b'HEAD'])
async def test_answers_for_operators_and_peers_have_an_end(node, path, method):
    is_peers = path.startswith('/relay')
    port = node.peer_address[1] if is_peers else URL(node.control_url).port
    requests = [
        build_bytes(
            path, {'Host': 'x', 'Connection': connection}, version='1.0'
        ).replace(b'POST', method, 1)
        for connection in ('keep-alive', 'close')
    ]
    received = await receive_all(
        node.ip, port, b''.join(requests), limit_s=_LIMIT_S
    )
    assert received.content.count(b'HTTP/1.0 ') == 2
    assert not received.is_reset


# Guards against a stop that waits for a client which got the whole answer and
# leaves its connection open.
async def test_stop_does_not_wait_for_clients_that_do_not_close(node):
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(build_request('/ask/1', 's1', 'keep-alive'))
    async with asyncio.timeout(_LIMIT_S):
        assert _WHOLE in await reader.read()
    node.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(_STOP_S):
        await node.process.wait()
    writer.close()
