"""Check that bytes which are no answer are left after a bounded number.

They may come in a head, within a body or behind a whole response. The sessions
of both edges are tried.
"""

import asyncio
from types import MappingProxyType

import aiohttp
import pytest

from arbutusbay.http import new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.responses import fetch_whole
from tests.pause_clock import running_pause_clock
from tests.raw_servers import RawServer, running_raw_server

# A VM of the users has 136 MB, of which 90 MB are free, and 16 requests run.
_MAX_TAKEN_BYTES = 5_600_000
_SENT_BYTES = 64_000_000
_PIECE_BYTES = 65_536
# A connection that is cut may have used 200 ms (loss_slack_ms).
_MAX_PAUSE_S = 0.2
_LIMIT_S = 2.0
_BODY_LIMIT_BYTES = 1_000_000

_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_HEADS = MappingProxyType(
    {
        'continue': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'processing': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'hints': (b'', b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'),
        'blank': (b'', b'\r\n'),
        'fields': (b'HTTP/1.1 200 OK\r\n', b'Name: a\r\n'),
    }
)
_BODIES = MappingProxyType(
    {
        'extension': (b'%b1' % _CHUNKED, b';name=a'),
        'tiny chunks': (_CHUNKED, b'1\r\nx\r\n'),
        'tiny extended chunks': (_CHUNKED, b'2;a=b\r\nok\r\n'),
        'trailers': (b'%b2\r\nok\r\n0\r\n' % _CHUNKED, b'Name: a\r\n'),
        'trailer': (b'%b2\r\nok\r\n0\r\nName: ' % _CHUNKED, b'a'),
    }
)
_BEHIND = MappingProxyType(
    {
        'repeated': (_WHOLE, _WHOLE),
        'interim': (_WHOLE, b'HTTP/1.1 100 Continue\r\n\r\n'),
        'blank': (_WHOLE, b'\r\n'),
    }
)

sessions = pytest.mark.parametrize(
    'open_session', [new_client_session, create_client_session]
)


def build_server(start: bytes, piece: bytes) -> RawServer:
    """Return a server that sends ``start``, then ``piece`` without end."""
    return RawServer(
        response=start,
        pattern=piece * (_PIECE_BYTES // len(piece)),
        limit_bytes=_SENT_BYTES,
        takes_small_windows=True,
    )


async def fetch(session: aiohttp.ClientSession, url: str):
    """Return a whole response, or why there is none."""
    timeout = aiohttp.ClientTimeout(total=_LIMIT_S)
    return await fetch_whole(
        session.post(url, data=b'{}', timeout=timeout), _BODY_LIMIT_BYTES
    )


async def fetch_beside_clock(open_session, server: RawServer, wait_s: float):
    """Fetch from ``server``; return the result, its time, the longest pause.

    The session stays open for ``wait_s`` behind the response.
    """
    async with (
        running_raw_server(server),
        open_session() as session,
        running_pause_clock() as clock,
    ):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        fetched = await fetch(session, server.url)
        took_s = loop.time() - began_s
        await asyncio.sleep(wait_s)
    return fetched, took_s, clock.longest_s


# Guards against a server whose bytes before an answer, or within its framing,
# have no end and fill the memory of the VM, so that all its clients are cut.
@sessions
@pytest.mark.parametrize(
    'filling',
    [*_HEADS.values(), *_BODIES.values()],
    ids=[*_HEADS, *_BODIES],
)
async def test_bytes_that_are_no_answer_are_left_at_a_bound(
    open_session, filling
):
    server = build_server(*filling)
    fetched, took_s, longest_s = await fetch_beside_clock(
        open_session, server, 0
    )
    assert fetched.is_err()
    assert took_s < _LIMIT_S / 2
    assert server.sent_bytes < _MAX_TAKEN_BYTES
    assert longest_s < _MAX_PAUSE_S


# Guards against bytes without end behind a whole response, which a connection
# that waits for its next request took without a bound.
@sessions
@pytest.mark.parametrize('filling', _BEHIND.values(), ids=_BEHIND)
async def test_bytes_behind_a_response_end_its_connection(
    open_session, filling
):
    server = build_server(*filling)
    fetched, _, longest_s = await fetch_beside_clock(open_session, server, 1)
    assert fetched.unwrap().body == b'ok'
    assert server.sent_bytes < _MAX_TAKEN_BYTES
    assert longest_s < _MAX_PAUSE_S


# Guards against a bound on bytes that cuts a sound response: interim responses
# before it, and a body that is larger than the bound.
@sessions
async def test_sound_response_with_interim_ones_is_whole(open_session):
    hints = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' * 50
    body = b'b' * (_BODY_LIMIT_BYTES - 1)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    server = RawServer(response=hints + head + body)
    fetched, _, _ = await fetch_beside_clock(open_session, server, 0)
    assert fetched.unwrap().body == body


# Guards against the same for a large response whose reader is paused now and
# then, and for one of many small chunks.
@sessions
@pytest.mark.parametrize('size', [100, 100_000])
async def test_sound_response_of_many_chunks_is_whole(open_session, size):
    chunk = b'%x\r\n%b\r\n' % (size, b'b' * size)
    count = (_BODY_LIMIT_BYTES - 1) // size
    server = RawServer(response=b'%b%b0\r\n\r\n' % (_CHUNKED, chunk * count))
    fetched, _, _ = await fetch_beside_clock(open_session, server, 0)
    assert fetched.unwrap().body == b'b' * (size * count)


# Guards against a status that is none, or of another protocol, taken for that
# of a response: the client got "HTTP/1.1 0 ".
@sessions
@pytest.mark.parametrize('status', [b'000', b'020', b'099', b'101'])
async def test_response_without_a_final_status_is_none(open_session, status):
    server = RawServer(
        response=b'HTTP/1.1 %b OK\r\nContent-Length: 2\r\n\r\nok' % status
    )
    fetched, took_s, _ = await fetch_beside_clock(open_session, server, 0)
    assert fetched.is_err()
    assert took_s < _LIMIT_S / 2
