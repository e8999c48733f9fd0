"""Check that a sound server may read a request as slowly as it likes.

All client sessions that carry requests of clients are tried, of both edges.
"""

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import AsyncIterator

import pytest

from arbutusbay.http import new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.responses import read_body

_BODY = bytes(95_000)
_RECEIVE_BUFFER_BYTES = 4096
_LONG_PAUSE_S = 5.0
_EVENT_S = 0.2
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_EVENT = b'1\r\nx\r\n'
_HEAD_END = b'\r\n\r\n'
_END = b'0\r\n\r\n'


async def _answer_before_reading(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Stream events at once and read the body of the request behind them."""
    await reader.readuntil(_HEAD_END)
    writer.write(_HEAD)
    end_s = time.monotonic() + _LONG_PAUSE_S
    while time.monotonic() < end_s:
        writer.write(_EVENT)
        await asyncio.sleep(_EVENT_S)
    await reader.readexactly(len(_BODY))
    writer.write(_END)


async def _answer_after_reading(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Be silent, then read the body of the request and answer."""
    await reader.readuntil(_HEAD_END)
    await asyncio.sleep(_LONG_PAUSE_S)
    await reader.readexactly(len(_BODY))
    writer.write(_HEAD + _EVENT + _END)


async def _serve(
    answer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await answer(reader, writer)
    writer.close()


@contextlib.asynccontextmanager
async def _slow_server(answer) -> AsyncIterator[str]:
    """Serve with a small receive buffer, which a body soon fills."""
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind(('127.0.0.1', 0))
    server = await asyncio.start_server(
        functools.partial(_serve, answer),
        sock=listener,
        limit=_RECEIVE_BUFFER_BYTES,
    )
    host, port = listener.getsockname()
    try:
        yield f'http://{host}:{port}/'
    finally:
        server.close()


# Guards against a sound stream, or an order at a sound engine, that is cut as
# the engine does not read its request for 3 s.
@pytest.mark.parametrize('reuse_connections', [True, False])
@pytest.mark.parametrize(
    'open_session', [create_client_session, new_client_session]
)
@pytest.mark.parametrize(
    'answer', [_answer_before_reading, _answer_after_reading]
)
async def test_request_that_is_read_late_is_answered_whole(
    answer, open_session, reuse_connections
):
    async with (
        _slow_server(answer) as url,
        open_session(reuse_connections=reuse_connections) as session,
        session.post(url, data=_BODY) as response,
    ):
        body = await read_body(response, len(_BODY))
    assert body.is_ok()
