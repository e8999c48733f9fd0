"""Check that clients of our own interface are shown where answers end.

A stream to a client of HTTP/1.0 has neither a length nor chunks: only the close
of its connection shows its end. All bytes of the connection are read.
"""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web
from result import Err, Ok

from arbutusbay.backend import GenerationEnd
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import new_application
from arbutusbay.router import _completions_api
from tests.control_builders import (
    WATCH_PATH,
    build_control_state,
    build_resource_api,
)
from tests.http_servers import serving
from tests.raw_clients import (
    Received,
    build_bytes,
    parse_received,
    receive_all,
)
from tests.router_builders import (
    COMPLETION_HEADERS,
    COMPLETION_PATH,
    STREAM_BODY,
    ScriptedRun,
    build_completions_api,
)

_TRANSIT_S = 0.12
_LIMIT_S = 3.0
_FOREVER_S = 60
_DRAIN_S = 2.0
_WHOLE = Ok(GenerationEnd(pieces=1, finish_reason='stop'))
_FAILED = Err(Failure(kind=ErrorKind.STREAM_BROKEN, detail='engine: cut'))
_DONE = b'data: [DONE]\n\n'
_ERROR = b'"stream_broken"'
_LARGE_BODY = b'x' * 24_000_000
_EXTRA = b'x' * 3_000_000
_OLD_CONNECTIONS = (
    'keep-alive',
    'Keep-Alive',
    'x-hop, keep-alive',
    'keep-alive, x-hop',
    'close',
    '',
)

each_old_connection = pytest.mark.parametrize('connection', _OLD_CONNECTIONS)


class StandingRun(ScriptedRun):
    """Yield a piece of output, then nothing more."""

    async def relay(self):
        """Yield a piece and wait for ever."""
        yield await anext(super().relay())
        await asyncio.sleep(_FOREVER_S)


async def fail(request: web.Request) -> web.Response:
    """Raise an exception."""
    raise KeyError('x')


async def respond_empty(request: web.Request) -> web.Response:
    """Send the status that the path names."""
    return web.Response(status=int(request.match_info['status']))


@contextlib.asynccontextmanager
async def serving_completions(state=None, *, drain_s: float = 1):
    """Serve completions, resources and fixed answers; yield the port."""
    application = new_application()
    build_completions_api().add_routes(application)
    build_resource_api(state or build_control_state()).add_routes(application)
    application.router.add_post('/fail', fail)
    application.router.add_post('/empty/{status}', respond_empty)
    async with serving(application, limit_s=drain_s) as port:
        yield port


def build_request(
    connection: str,
    *,
    path: str = COMPLETION_PATH,
    version: str = '1.0',
    body: bytes = STREAM_BODY,
) -> bytes:
    """Return a request with ``connection`` as its header, without if empty."""
    headers = {**COMPLETION_HEADERS, 'Connection': connection}
    request = build_bytes(path, headers, body, version=version)
    return request.replace(b'Connection: \r\n', b'')


async def receive(*requests: bytes, **options) -> Received:
    """Send ``requests`` in one piece; return what arrives until the end."""
    async with serving_completions() as port:
        return await receive_all(
            '127.0.0.1',
            port,
            b''.join(requests),
            **{'limit_s': _LIMIT_S, **options},
        )


def use_run(monkeypatch, last, run_type=ScriptedRun) -> None:
    """Let each completion end with ``last``."""
    monkeypatch.setattr(run_type, 'last', last)
    monkeypatch.setattr(_completions_api, 'GenerationRun', run_type)


def assert_shown_end(received: Received) -> None:
    """Check that the first response ends with its connection, and says so."""
    assert not received.is_reset
    assert received.end_delay_s < _TRANSIT_S
    assert parse_received(received).headers['Connection'] == 'close'


# Guards against a completion whose end is shown only by the idle timeout, as
# the connection was to be kept.
@each_old_connection
@pytest.mark.parametrize(
    ('last', 'end'),
    [(_WHOLE, _DONE), (_FAILED, _ERROR)],
    ids=['done', 'failed'],
)
async def test_completion_for_an_old_client_ends_with_its_connection(
    monkeypatch, connection, last, end
):
    use_run(monkeypatch, last)
    received = await receive(build_request(connection))
    assert end in received.content
    assert_shown_end(received)


# Guards against the same where a client of HTTP/1.1 closes the connection.
@pytest.mark.parametrize('connection', ['close', 'Close', 'keep-alive, close'])
async def test_completion_on_a_closing_connection_has_an_end(
    monkeypatch, connection
):
    use_run(monkeypatch, _WHOLE)
    received = await receive(build_request(connection, version='1.1'))
    assert parse_received(received).is_complete
    assert_shown_end(received)


# Guards against a completion that broke off and whose connection is closed as
# if it were whole.
@each_old_connection
async def test_completion_that_breaks_off_is_reset_for_an_old_client(
    monkeypatch, connection
):
    use_run(monkeypatch, KeyError('x'))
    received = await receive(build_request(connection))
    assert received.content.startswith(b'HTTP/1.0 200')
    assert received.is_reset


# Guards against the same where the client ended its sending side.
async def test_completion_for_an_old_client_that_left_is_reset(monkeypatch):
    use_run(monkeypatch, None, StandingRun)
    async with serving_completions() as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(build_request('keep-alive'))
        await reader.readuntil(b'data: ')
        writer.write_eof()
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(_LIMIT_S):
                await reader.read()
        writer.close()


# Guards against the end of a stream that is lost in a reset, as the client sent
# more on the connection that is closed behind it.
async def test_completion_before_other_bytes_is_not_reset(monkeypatch):
    use_run(monkeypatch, _WHOLE)
    received = await receive(
        build_request('keep-alive'),
        build_request('keep-alive', path='/nowhere', body=_EXTRA),
        wait_s=0.5,
    )
    assert _DONE in received.content
    assert not received.is_reset


# Guards against other answers whose end is not shown: each has a length, so the
# next request on the connection is answered.
@pytest.mark.parametrize(
    ('path', 'status'),
    [
        ('/fail', 500),
        ('/empty/200', 200),
        ('/empty/204', 204),
        ('/empty/304', 304),
        ('/nowhere', 404),
    ],
)
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_answer_with_an_end_keeps_its_connection(
    monkeypatch, path, status, version
):
    use_run(monkeypatch, _WHOLE)
    received = await receive(
        build_request('keep-alive', path=path, version=version),
        build_request('close', path='/nowhere', version=version),
    )
    protocol = f'HTTP/{version} '.encode()
    assert received.content.startswith(b'%b%d' % (protocol, status))
    assert received.content.count(protocol) == 2
    assert not received.is_reset


# Guards against a refusal that is lost as its connection is closed while the
# client sends a body of which no more is read.
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('connection', ['close', 'keep-alive'])
@pytest.mark.parametrize(
    ('path', 'status'), [(COMPLETION_PATH, 413), ('/nowhere', 404)]
)
async def test_refusal_before_the_end_of_a_large_body_arrives(
    path, status, version, connection
):
    received = await receive(
        build_request(connection, path=path, version=version, body=_LARGE_BODY),
        build_request('close', path='/nowhere', version=version),
        wait_s=0.5,
    )
    assert parse_received(received).status == status
    assert not received.is_reset


# Guards against a refusal of malformed bytes that is lost in the same way.
async def test_refusal_of_malformed_bytes_arrives():
    received = await receive(_EXTRA, wait_s=0.5)
    assert parse_received(received).status == 400
    assert not received.is_reset


# Guards against a stream whose end is not shown to a client of a version that
# only looks like a later one.
@pytest.mark.parametrize('version', ['0.9', '2.0'])
async def test_completion_for_an_odd_version_has_an_end(monkeypatch, version):
    use_run(monkeypatch, _WHOLE)
    received = await receive(
        build_request('keep-alive', version=version),
        build_request('close', path='/nowhere'),
    )
    assert parse_received(received).is_complete
    assert _DONE in received.content
    assert not received.is_reset


# Guards against a body behind the head of an answer to HEAD, and against an
# answer that never comes as its stream has no end.
@pytest.mark.parametrize('path', ['/v1/models', '/nowhere', WATCH_PATH])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_answer_to_head_is_a_head(path, version):
    request = build_request('keep-alive', path=path, version=version, body=b'')
    last = build_request('close', path='/nowhere', version=version, body=b'')
    received = await receive(
        request.replace(b'POST', b'HEAD'), last.replace(b'POST', b'HEAD')
    )
    assert received.content.endswith(b'\r\n\r\n')
    assert received.content.count(b'\r\n\r\n') == 2
    assert received.content.count(b'HTTP/') == 2
    assert not received.is_reset


# Guards against a request whose trailers are taken for the next one.
async def test_request_behind_trailers_is_answered(monkeypatch):
    use_run(monkeypatch, _WHOLE)
    headers = {**COMPLETION_HEADERS, 'Connection': 'keep-alive'}
    chunked = {**headers, 'Transfer-Encoding': 'chunked', 'Trailer': 'X-Sum'}
    first = build_bytes(COMPLETION_PATH, chunked)
    first = first.replace(b'Content-Length: 0\r\n', b'')
    chunks = b'%x\r\n%b\r\n0\r\nX-Sum: 1\r\n\r\n' % (
        len(STREAM_BODY),
        STREAM_BODY,
    )
    received = await receive(first, chunks, build_request('close'))
    response = parse_received(received)
    assert response.is_complete
    assert response.rest.endswith(_DONE)


# Guards against a watch for an old client whose end is not shown, or is shown
# where it broke off.
@pytest.mark.parametrize('is_drained', [True, False])
async def test_watch_of_an_old_client_has_an_end(is_drained):
    state = build_control_state()
    request = build_request('keep-alive', path=WATCH_PATH, body=b'')
    async with serving_completions(state) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(request.replace(b'POST', b'GET'))
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readline()
        if is_drained:
            state.draining = True
            state.config_changed.notify()
        else:
            writer.write_eof()
        with _expecting_reset(not is_drained):
            async with asyncio.timeout(_LIMIT_S):
                assert not await reader.read()
        writer.close()
    assert b'Connection: close' in head


def _expecting_reset(is_reset: bool):
    if is_reset:
        return pytest.raises(ConnectionResetError)
    return contextlib.nullcontext()


# Guards against a drain that waits for a client which got the whole answer and
# leaves its connection open, and against the loss of what crosses the close.
async def test_drain_does_not_wait_for_clients_that_do_not_close(monkeypatch):
    use_run(monkeypatch, _WHOLE)
    async with serving_completions(drain_s=_FOREVER_S) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(build_request('keep-alive'))
        async with asyncio.timeout(_LIMIT_S):
            assert _DONE in await reader.read()
        began_s = time.monotonic()
    assert time.monotonic() - began_s < _DRAIN_S
    writer.close()
