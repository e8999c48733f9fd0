"""Check when a daemon of our own interface closes kept connections.

A request that has arrived is answered, also if the event loop, which is late,
has not read it when the connection is to be closed.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import pytest
import uvloop
from aiohttp import web

from arbutusbay import _http
from arbutusbay.http import HttpService, new_application
from arbutusbay.settings import DrainSettings

_HOST = '127.0.0.1'
_REQUEST = b'GET /look HTTP/1.1\r\nHost: a\r\n\r\n'
_IDLE_S = 1.0
_NOTICE_MS = 400
_LATE_S = 1.5
_ANSWER_LIMIT_S = 5.0
_CLOSE_LIMIT_S = 5.0


async def _answer(request: web.Request) -> web.Response:
    return web.Response(text='answer')


def _run(main: Coroutine[Any, Any, None]) -> None:
    """Run ``main`` in the event loop that the daemons use."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


@contextlib.asynccontextmanager
async def _serving(stop_timeout_s: int = 3) -> AsyncIterator[HttpService]:
    application = new_application()
    application.router.add_get('/look', _answer)
    with socket.create_server((_HOST, 0)) as free:
        port = free.getsockname()[1]
    service = HttpService(
        application=application,
        host=_HOST,
        port=port,
        drain=DrainSettings(notice_ms=_NOTICE_MS, limit_s=stop_timeout_s),
        on_drain_start=lambda stop: None,
    )
    await service.start()
    try:
        yield service
    finally:
        await service.runner.cleanup()


async def _connect(service: HttpService) -> socket.socket:
    """Return a connection on which one request was answered."""
    connection = socket.socket()
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (_HOST, service.port))
    await loop.sock_sendall(connection, _REQUEST)
    assert (await _receive(connection)).endswith(b'answer')
    return connection


async def _receive(connection: socket.socket) -> bytes:
    """Return what arrives until the body or the end of the connection."""
    loop = asyncio.get_running_loop()
    received = b''
    async with asyncio.timeout(_ANSWER_LIMIT_S):
        while not received.endswith(b'answer'):
            try:
                chunk = await loop.sock_recv(connection, 4096)
            except ConnectionResetError:
                return received
            if not chunk:
                return received
            received += chunk
    return received


async def _ask_around_the_idle_timeout(sent_before_timeout_s: float) -> None:
    async with _serving() as service:
        with await _connect(service) as connection:
            await asyncio.sleep(_IDLE_S - sent_before_timeout_s)
            connection.send(_REQUEST)
            time.sleep(_LATE_S)
            assert (await _receive(connection)).endswith(b'answer')


# Guards against a kept connection that its idle timeout closes although a
# request has arrived on it, which gets no answer.
@pytest.mark.parametrize('sent_before_timeout_s', [0.05, 0.3, 0.6])
def test_unread_request_is_answered_at_the_idle_timeout(
    monkeypatch, sent_before_timeout_s
):
    monkeypatch.setattr(_http, '_KEEP_ALIVE_TIMEOUT_S', _IDLE_S)
    _run(_ask_around_the_idle_timeout(sent_before_timeout_s))


async def _ask_around_the_end_of_the_notice(sent_before_end_s: float) -> None:
    async with _serving() as service:
        with await _connect(service) as connection:
            stopping = asyncio.create_task(service.stop())
            await asyncio.sleep(_NOTICE_MS / 1000 - sent_before_end_s)
            connection.send(_REQUEST)
            time.sleep(_LATE_S / 2)
            assert (await _receive(connection)).startswith(b'HTTP/1.1 ')
            await stopping


# Guards against a kept connection that a planned stop closes at the end of its
# notice although a request has arrived on it, which gets no answer.
@pytest.mark.parametrize('sent_before_end_s', [0.05, 0.2])
def test_unread_request_is_answered_at_the_end_of_the_notice(
    sent_before_end_s,
):
    _run(_ask_around_the_end_of_the_notice(sent_before_end_s))


async def _wait_for_the_idle_timeout() -> None:
    async with _serving() as service:
        with await _connect(service) as connection:
            began_s = time.monotonic()
            assert not await _receive(connection)
            lasted_s = time.monotonic() - began_s
            assert _IDLE_S / 2 < lasted_s < _CLOSE_LIMIT_S


# Guards against connections that are kept for ever.
def test_unused_connection_is_closed_after_the_idle_timeout(monkeypatch):
    monkeypatch.setattr(_http, '_KEEP_ALIVE_TIMEOUT_S', _IDLE_S)
    _run(_wait_for_the_idle_timeout())
