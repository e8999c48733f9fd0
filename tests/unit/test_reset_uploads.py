"""Check that a part of an early answer never counts as the whole of it.

A server answers at once, with neither a length nor chunks, sends a part of its
body and resets the connection while the upload is still being written. The
sessions of both edges are tried, on both event loops.
"""

import asyncio
import time

import aiohttp
import pytest
import uvloop

from arbutusbay.backend import ServiceCall
from arbutusbay.errors import RunState
from arbutusbay.http import new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.responses import fetch_whole
from emulator.raw_response import Framing, build_response
from tests.early_answers import (
    EarlyServer,
    UploadEnd,
    running_early_server,
)
from tests.raw_servers import RawServer, running_raw_server
from tests.unit.test_service_calls import build_caller

_UPLOAD = b'u' * 6_000_000
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part of it'
_WHOLE = b'the whole'
_LIMIT_BYTES = 1_000_000
_LIMIT_S = 5.0
_BUSY_S = 0.03
_STEP_S = 0.001
_TRIES = 4
_READ_BYTES = 200_000

sessions = pytest.mark.parametrize(
    'open_session', [new_client_session, create_client_session]
)
loops = pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)


async def keep_busy() -> None:
    """Let the event loop stand still again and again."""
    while True:
        time.sleep(_BUSY_S)
        await asyncio.sleep(_STEP_S)


async def fetch(open_session, url: str, *, is_busy: bool):
    """Return what a client makes of the answer to a long upload."""
    busy = asyncio.create_task(keep_busy()) if is_busy else None
    timeout = aiohttp.ClientTimeout(total=_LIMIT_S)
    try:
        async with open_session() as session:
            return await fetch_whole(
                session.post(url, data=_UPLOAD, timeout=timeout), _LIMIT_BYTES
            )
    finally:
        if busy is not None:
            busy.cancel()


@pytest.mark.parametrize(
    ('pause_s', 'is_busy'),
    [(0, False), (0, True), (0.002, False), (0.002, True), (0.05, True)],
)
@pytest.mark.parametrize('read_bytes', [0, 200_000])
@pytest.mark.parametrize('end', UploadEnd)
@loops
@sessions
def test_answer_reset_within_the_upload_is_not_whole(
    open_session, new_loop, end, read_bytes, pause_s, is_busy
):
    server = EarlyServer(
        answer=_ANSWER, end=end, read_bytes=read_bytes, pause_s=pause_s
    )
    with (
        running_early_server(server),
        asyncio.Runner(loop_factory=new_loop) as runner,
    ):
        fetched = [
            runner.run(fetch(open_session, server.url, is_busy=is_busy))
            for _ in range(_TRIES)
        ]
    assert server.answers == _TRIES
    assert not [answer for answer in fetched if answer.is_ok()]


# Guards against an order of our own interface that counts as answered, or is
# placed again, and against a lookup that does not go on elsewhere.
@pytest.mark.parametrize('end', UploadEnd)
@pytest.mark.parametrize('may_repeat', [False, True])
async def test_call_with_an_early_answer(end, may_repeat):
    sound = RawServer(response=build_response(Framing.LENGTH, _WHOLE))
    call = ServiceCall(
        method='POST', path='/', headers={}, body=_UPLOAD, timeout_s=_LIMIT_S
    )
    early = EarlyServer(answer=_ANSWER, end=end, read_bytes=_READ_BYTES)
    with running_early_server(early):
        async with (
            running_raw_server(sound),
            new_client_session(reuse_connections=False) as session,
        ):
            caller = build_caller(session, [early.url, sound.url])
            send = (
                caller.send_idempotent
                if may_repeat
                else caller.send_non_idempotent
            )
            answer = await send('stock', call)
    assert early.answers == 1
    if may_repeat:
        assert answer.unwrap().body == _WHOLE
    else:
        failure = answer.unwrap_err()
        assert failure.effective_run_state is RunState.UNKNOWN
