"""Test what the HTTP server sends when a handler raises an exception.

All bytes of the client's connection are read.
"""

import asyncio

import attrs
import logbook
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from arbutusbay.client_ends import ClientEnd
from arbutusbay.http import new_application
from emulator.fleet import wait_for_condition
from tests.http_servers import serving
from tests.raw_clients import (
    build_bytes,
    exchange_bytes,
    parse_bytes,
    reset_at_close,
)

_FOREVER_S = 60
_EVENT = b'data: x\n\n'


@attrs.frozen(kw_only=True)
class RaisingApi:
    """Raise ``error``, after two events if a response ``is_begun``."""

    error: Exception = KeyError('x')
    is_begun: bool = False
    is_waiting: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait(self, request: web.Request) -> web.Response:
        """Wait for a client that leaves."""
        self.is_waiting.set()
        await asyncio.sleep(_FOREVER_S)

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Begin a response or not, and raise."""
        if self.is_begun:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(_EVENT)
            await response.write(_EVENT)
        raise self.error


async def _receive(error: Exception, *, is_begun: bool):
    """Return the whole response of a server whose handler raises ``error``."""
    api = RaisingApi(error=error, is_begun=is_begun)
    application = new_application()
    application.router.add_post('/x', api.respond)
    async with TestServer(application) as server:
        request = build_bytes('/x', {'Host': 'test'})
        return parse_bytes(
            await exchange_bytes(server.host, server.port, request)
        )


# Guards against the head and text of an error in the middle of a stream.
@pytest.mark.parametrize('error', [KeyError('x'), web.HTTPNotFound()])
async def test_error_in_a_begun_response_cuts_it(error):
    handler = logbook.TestHandler()
    with handler.applicationbound():
        response = await _receive(error, is_begun=True)
    assert (response.status, response.body) == (200, _EVENT * 2)
    assert (response.is_complete, response.rest) == (False, b'')
    fields = [
        record.kwargs['fields']
        for record in handler.records
        if record.message == 'response broken off by an exception'
    ]
    assert fields == [{'method': 'POST', 'path': '/x'}]


async def test_error_before_the_response_is_answered():
    response = await _receive(KeyError('x'), is_begun=False)
    assert (response.status, response.is_complete) == (500, True)
    assert b'internal' in response.body
    assert response.rest == b''


# Guards against a request whose client left and of which there is no line.
@pytest.mark.parametrize(
    ('is_reset', 'message', 'fields'),
    [
        (
            True,
            'request ended without a whole response',
            {'client_end': ClientEnd.CLOSED},
        ),
        (
            False,
            'client ended its stream before its response',
            {
                'client_end': ClientEnd.SENDING_SIDE_SHUT,
                'kind': 'outcome_unknown',
            },
        ),
    ],
)
async def test_client_that_leaves_is_logged(is_reset, message, fields):
    api = RaisingApi()
    application = new_application()
    application.router.add_post('/x', api.wait)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        async with serving(application) as port:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(build_bytes('/x', {'Host': 'test'}))
            await api.is_waiting.wait()
            if is_reset:
                reset_at_close(writer)
            writer.close()
            await wait_for_condition(lambda: handler.records, 'the line')
    record = handler.records[0]
    assert record.message == message
    assert record.kwargs['fields'] == {
        'method': 'POST',
        'path': '/x',
        **fields,
    }
