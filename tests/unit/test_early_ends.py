"""Check that a response whose end was not seen never counts as whole.

All clients of both edges that read whole bodies are tried: those of services,
engines, the platform, and of our own processes.
"""

import functools
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any

import attrs
import orjson
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from result import Err, Ok, Result

from arbutusbay.backend import (
    EngineClient,
    GenerationEnd,
    ServiceCall,
    WeightsOrder,
    call_service,
)
from arbutusbay.cli._api_client import ApiClient
from arbutusbay.hosting import LogClient, fetch_vm_list
from arbutusbay.http import call_peer, new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.platform import fetch_engine_report
from arbutusbay.wire import LookupReply, LookupRequest, encode_message
from emulator.raw_response import Ending, Framing, build_response
from tests.builders import build_generation
from tests.raw_servers import RawServer, endless_server, running_raw_server

_CAPNP = 'application/capnp'
_LOG_PAGE = b'{"first": 0, "end": 0, "records": []}'
_REPLY = encode_message(LookupReply(engines=[]))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_ENDLESS_BYTES = 64_000_000
_MAX_TAKEN_BYTES = 24_000_000
_CALL_S = 3.0
_LARGE_RECORD_BYTES = 9_000_000

_LINES = 6000
_STREAM_END = (
    b'{"attempt":"a","type":"end","pieces":1,"finish_reason":"stop"}\n'
)
_STREAM = (
    b'{"attempt":"a","type":"start","cached_tokens":0,"prompt_tokens":1}\n'
    b'{"attempt":"a","type":"piece","index":0,"text":"w"}\n' + _STREAM_END
)

_Call = Callable[[Any, str], Awaitable[Result[Any, Any]]]


def build_call(method: str) -> ServiceCall:
    """Return a call to a service."""
    return ServiceCall(
        method=method, path='/', headers={}, body=b'', timeout_s=_CALL_S
    )


async def ask_service(session, url):
    """Call a service of our own interface."""
    return await call_service(session, url, build_call('POST'))


async def look_up(session, url):
    """Call a process of our own."""
    return await call_peer(
        session,
        url,
        LookupRequest(pool='p', hashes=[]),
        LookupReply,
        timeout_s=_CALL_S,
    )


async def order_weights(session, url):
    """Send an order to an engine of our own interface."""
    order = WeightsOrder(weights_version='v', fence=1)
    return await EngineClient(session=session, url=url).send_weights_order(
        order
    )


async def read_log(session, url):
    """Read the log that holds our configuration."""
    return await LogClient(session=session, url=url).read('s', 0)


async def read_resource(session, url):
    """Read the API of a control daemon."""
    return await ApiClient(session=session, url=url).get('/api/v1/status')


async def read_report(session, url):
    """Read the report of an engine on the users' platform."""
    return await fetch_engine_report(
        session, url.removeprefix('http://'), timeout_s=_CALL_S
    )


def build_endless_head(framing: Framing, content_type: str) -> bytes:
    """Return what comes before a body without end."""
    headers = {'Content-Type': content_type}
    match framing:
        case Framing.LENGTH:
            headers['Content-Length'] = str(_ENDLESS_BYTES)
        case Framing.CHUNKS:
            headers['Transfer-Encoding'] = 'chunked'
    head = build_response(Framing.CONNECTION, b'', headers=headers)
    if framing is Framing.CHUNKS:
        return b'%b%x\r\n' % (head, _ENDLESS_BYTES)
    return head


async def complete(session, url):
    """Run a completion; return its last event."""
    events = EngineClient(session=session, url=url).generate(build_generation())
    received = [event async for event in events]
    ends = [
        event for event in received if isinstance(event.ok(), GenerationEnd)
    ]
    return ends[-1] if ends else received[-1].and_then(_refuse_end)


def _refuse_end(event):
    return Err(f'no end after {event}')


@attrs.frozen(kw_only=True)
class Reader:
    """Pair a client with the body that it takes."""

    call: _Call
    body: bytes
    content_type: str = 'application/json'
    opens_session: Callable[[], Any] = new_client_session

    def response(self, framing: Framing, interim: bytes = b'') -> bytes:
        """Return a whole response for this client."""
        return build_response(
            framing,
            self.body,
            headers={'Content-Type': self.content_type},
            interim=interim,
        )

    async def read(self, server: RawServer) -> Result[Any, Any]:
        """Return what the client makes of the server's response."""
        async with running_raw_server(server), self.opens_session() as session:
            return await self.call(session, server.url)


_READERS = MappingProxyType(
    {
        'service': Reader(
            call=ask_service,
            body=b'abc',
            opens_session=functools.partial(
                new_client_session, reuse_connections=False
            ),
        ),
        'peer': Reader(call=look_up, body=_REPLY, content_type=_CAPNP),
        'engine': Reader(call=order_weights, body=b'{}'),
        'log': Reader(call=read_log, body=_LOG_PAGE),
        'vm_list': Reader(call=fetch_vm_list, body=b'[]'),
        'api': Reader(call=read_resource, body=b'{}'),
        'engine_report': Reader(
            call=read_report, body=b'{}', opens_session=create_client_session
        ),
    }
)

each_reader = pytest.mark.parametrize('name', _READERS)


@each_reader
@pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.CHUNKS])
async def test_whole_response_is_taken(name, framing):
    reader = _READERS[name]
    answer = await reader.read(RawServer(response=reader.response(framing)))
    assert isinstance(answer, Ok)


# Guards against a response that stopped in its head or body and counts as
# whole, at whatever byte it stopped.
@each_reader
@pytest.mark.parametrize('ending', Ending)
@pytest.mark.parametrize(
    'interim', [b'', _CONTINUE, _EARLY_HINTS], ids=['final', '100', '103']
)
@pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.CHUNKS])
async def test_response_with_an_end_counts_only_up_to_it(
    name, framing, interim, ending
):
    reader = _READERS[name]
    whole = reader.response(framing, interim)
    taken = [
        size
        for size in range(len(whole))
        if (
            await reader.read(RawServer(response=whole[:size], ending=ending))
        ).is_ok()
    ]
    assert not taken


# Guards against a body that only its connection ends, and that counts as whole
# though the connection was reset.
@each_reader
@pytest.mark.parametrize(
    'framing', [Framing.CONNECTION, Framing.OLD_CONNECTION]
)
async def test_body_that_ends_in_a_reset_is_not_whole(name, framing):
    reader = _READERS[name]
    whole = reader.response(framing)
    taken = [
        size
        for size in range(len(whole) + 1)
        if (
            await reader.read(
                RawServer(response=whole[:size], ending=Ending.RESET)
            )
        ).is_ok()
    ]
    assert not taken


# Guards against a head that stops and is closed, and counts as a response with
# an empty body.
@each_reader
async def test_head_that_stops_is_no_response(name):
    reader = _READERS[name]
    whole = reader.response(Framing.CONNECTION)
    taken = [
        size
        for size in range(len(whole) - len(reader.body))
        if (await reader.read(RawServer(response=whole[:size]))).is_ok()
    ]
    assert not taken


# Guards against a response of our own process whose end is that of its
# connection: they always give a length, so this one lost its head or its rest.
async def test_message_of_a_peer_without_a_length_is_not_whole():
    reader = _READERS['peer']
    answer = await reader.read(
        RawServer(response=reader.response(Framing.CONNECTION))
    )
    assert answer.is_err()


# Guards against a response without end that fills the memory of the reader.
@each_reader
@pytest.mark.parametrize(
    'framing', [Framing.CONNECTION, Framing.LENGTH, Framing.CHUNKS]
)
async def test_body_without_end_is_cut_off(name, framing):
    reader = _READERS[name]
    server = endless_server(
        build_endless_head(framing, reader.content_type), _ENDLESS_BYTES
    )
    answer = await reader.read(server)
    assert answer.is_err()
    assert server.sent_bytes < _MAX_TAKEN_BYTES


# Guards against a head without end that fills the memory of the reader.
@each_reader
@pytest.mark.parametrize('line', [b'X-Noise: 0\r\n', b'x'])
async def test_head_without_end_is_cut_off(name, line):
    server = RawServer(
        response=b'HTTP/1.1 200 OK\r\n',
        pattern=line * _LINES,
        limit_bytes=_ENDLESS_BYTES,
    )
    answer = await _READERS[name].read(server)
    assert answer.is_err()
    assert server.sent_bytes < _MAX_TAKEN_BYTES


# Guards against the same in the stream of a completion: a line without end, and
# lines that are no events.
@pytest.mark.parametrize('line', [b'{}\n', b'x'])
@pytest.mark.parametrize('framing', [Framing.CONNECTION, Framing.CHUNKS])
async def test_stream_of_a_completion_without_end_is_cut_off(framing, line):
    server = RawServer(
        response=build_endless_head(framing, 'application/json'),
        pattern=line * _LINES,
        limit_bytes=_ENDLESS_BYTES,
    )
    reader = Reader(call=complete, body=b'')
    answer = await reader.read(server)
    assert answer.is_err()
    assert server.sent_bytes < _MAX_TAKEN_BYTES


# Guards against a completion that counts as whole though its engine was lost
# before the last event, at whatever byte of its stream.
@pytest.mark.parametrize('ending', Ending)
@pytest.mark.parametrize(
    'framing', [Framing.LENGTH, Framing.CHUNKS, Framing.CONNECTION]
)
async def test_completion_without_its_last_event_is_not_whole(framing, ending):
    whole = build_response(framing, _STREAM)
    sent = range(len(whole) - len(_STREAM_END))
    reader = Reader(call=complete, body=b'')
    taken = [
        size
        for size in sent
        if (
            await reader.read(RawServer(response=whole[:size], ending=ending))
        ).is_ok()
    ]
    assert not taken
    assert (await reader.read(RawServer(response=whole))).is_ok()


def build_log_page(count: int) -> bytes:
    """Return a page of ``count`` large records of a log of two."""
    records = [
        {'offset': offset, 'time_ms': 1, 'payload': 'x' * _LARGE_RECORD_BYTES}
        for offset in range(count)
    ]
    return orjson.dumps({'first': 0, 'end': 2, 'records': records})


async def send_log_page(request: web.Request) -> web.Response:
    """Send as many records as were asked for, two at most."""
    return web.Response(
        body=build_log_page(min(2, int(request.query['limit'])))
    )


# Guards against a follower of the log that stands still for good, as a page of
# large records exceeds the limit of a response.
async def test_log_page_beyond_the_limit_is_read_in_parts():
    application = web.Application()
    application.router.add_get('/v1/streams/s/records', send_log_page)
    async with (
        TestServer(application) as server,
        new_client_session() as opened,
    ):
        log = LogClient(session=opened, url=str(server.make_url('')))
        page = (await log.read('s', 0)).unwrap()
    assert [record.offset for record in page.records] == [0]
    assert page.end == 2
