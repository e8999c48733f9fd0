"""Test what half-closed clients of our own interface get.

All bytes of the client's connection are read.
"""

import asyncio
import contextlib
import json
import socket

import attrs
import pytest
from aiohttp import web

from arbutusbay.http import new_application
from emulator.fleet import wait_for_condition
from tests.http_servers import serving
from tests.raw_clients import build_bytes, half_close_after, parse_bytes

_FOREVER_S = 60
_EVENT = b'data: x\n\n'
_REQUEST = build_bytes('/x', {'Host': 'test'}, b'{}')
_LIMIT_S = 2.0


@attrs.define(kw_only=True)
class WaitingApi:
    """Wait for ever, after an event if a response ``is_begun``."""

    is_begun: bool = False
    called: int = 0
    cancelled: int = 0

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Wait until cancelled."""
        self.called += 1
        await request.read()
        if self.is_begun:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(_EVENT)
        try:
            await asyncio.sleep(_FOREVER_S)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


@contextlib.asynccontextmanager
async def serving_api(api: WaitingApi):
    """Serve ``api`` at /x; yield the port."""
    application = new_application()
    application.router.add_post('/x', api.respond)
    async with serving(application) as port:
        yield port


# Guards against a request that gets nothing, or whose work goes on, because its
# client ended its sending side while it ran.
async def test_running_request_is_answered_as_unknown():
    api = WaitingApi()
    async with serving_api(api) as port:
        received = await half_close_after(
            '127.0.0.1', port, [_REQUEST], wait_s=0.2, limit_s=_LIMIT_S
        )
    response = parse_bytes(received)
    assert (response.status, response.is_complete) == (502, True)
    assert json.loads(response.body)['error']['run_state'] == 'outcome_unknown'
    assert response.headers['Connection'] == 'close'
    assert response.rest == b''
    assert (api.called, api.cancelled) == (1, 1)


# Guards against a handler that begins for a client that has ended its sending
# side, and against a request that gets nothing for it.
@pytest.mark.parametrize('count', [1, 3])
async def test_request_read_together_with_the_end_is_refused(count):
    api = WaitingApi()
    async with serving_api(api) as port:
        with socket.create_connection(('127.0.0.1', port)) as client:
            client.sendall(
                _REQUEST.replace(b'Connection: close\r\n', b'') * count
            )
            client.shutdown(socket.SHUT_WR)
            client.setblocking(False)
            reader, _ = await asyncio.open_connection(sock=client)
            async with asyncio.timeout(_LIMIT_S):
                received = await reader.read()
    for _ in range(count):
        response = parse_bytes(received)
        assert (response.status, response.is_complete) == (503, True)
        assert json.loads(response.body)['error']['run_state'] == 'not_run'
        received = response.rest
    assert received == b''
    assert response.headers['Connection'] == 'close'
    assert api.called == 0


# Guards against a begun response that looks complete, or whose work goes on.
async def test_begun_response_is_broken_off():
    api = WaitingApi(is_begun=True)
    async with serving_api(api) as port:
        received = await half_close_after(
            '127.0.0.1', port, [_REQUEST], wait_s=0.2, limit_s=_LIMIT_S
        )
    response = parse_bytes(received)
    assert (response.status, response.body) == (200, _EVENT)
    assert (response.is_complete, response.rest) == (False, b'')
    assert api.cancelled == 1


# Guards against work for a client that closed its connection.
async def test_handler_of_a_client_that_closes_is_cancelled():
    api = WaitingApi()
    async with serving_api(api) as port:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST)
        await wait_for_condition(lambda: api.called, 'it runs')
        writer.close()
        await wait_for_condition(lambda: api.cancelled, 'it ended', limit_s=0.5)
