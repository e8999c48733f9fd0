"""Check bounds that the mends of lost answers have to keep."""

import asyncio
import os
import socket
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from arbutusbay.http import new_application
from arbutusbay.node import _attempts
from arbutusbay.node._follower import follower_timings_from_bounds
from arbutusbay.node._http_client import create_client_session
from arbutusbay.node._relay_messages import encoding_parameters
from arbutusbay.own_pauses import OwnPauses
from arbutusbay.planned_stop import plan_stop
from arbutusbay.spread import PayloadHistory
from tests.http_servers import serving

_GRACE_S = 8.0
_CHECKS_S = (100.0, 100.2, 110.2)
_SIGNAL_S = 110.35
_LONG_LINE_BYTES = 8190
_KEYS = 260
_PAYLOAD_BYTES = 1024
_MAX_CONNECTS = 5
_LIMIT_S = 14
_LINGER_S = 10.5
_ANSWER = bytes(2_000_000)
_UPLOAD = bytes(12_000_000)
_DEADLINE_S = 0.5
_OLD_LIMIT_S = 4.5
_RECEIVE_BUFFER_BYTES = 65_536
_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
_READ_BYTES = 65_536


# Guards against a source that sends a byte now and then and makes a VM serve
# by a configuration that is too old, as it asks no other source meanwhile.
@pytest.mark.parametrize(('revocation_s', 'apply_s'), [(5, 2), (60, 10)])
def test_source_that_trickles_is_left_within_the_bound(revocation_s, apply_s):
    times = follower_timings_from_bounds(revocation_s, apply_s)
    longest_s = times.hold_s + times.transfer_s
    assert longest_s < min(revocation_s, apply_s)


# Guards against a stop just after a pause of a VM that ends all requests at
# once, though its whole grace period is left.
def test_signal_after_a_long_pause_leaves_requests_their_time():
    pauses = OwnPauses()
    for moment_s in _CHECKS_S:
        pauses.record_check(moment_s)
    stop = plan_stop(pauses.earliest_start_s(_SIGNAL_S), _GRACE_S)
    assert stop.requests_end_s > _SIGNAL_S


# Guards against followers whose request line is refused by each relay, as it
# names too many payloads.
def test_request_line_of_a_follower_is_bounded():
    history = PayloadHistory()
    for number in range(_KEYS):
        history.record(f'k-{number}', number.to_bytes(2) * _PAYLOAD_BYTES)
    named = encoding_parameters(history.newest_digests())
    assert len(named['bases']) < _LONG_LINE_BYTES


class UnreachableEngine:
    """Count connects that are not made in time."""

    def __init__(self) -> None:
        """Start without any."""
        self.connects = 0

    async def connect(self, *arguments) -> None:
        """Time out; fail the test if that was tried too often."""
        self.connects += 1
        if self.connects > _MAX_CONNECTS:
            pytest.fail('connects again and again')
        raise aiohttp.ConnectionTimeoutError


# Guards against an engine out of reach that is tried until the deadline, by a
# VM whose event loop is late all the time, while others could answer.
async def test_late_loop_does_not_repeat_a_connect_for_ever(monkeypatch):
    monkeypatch.setattr(_attempts, '_send', UnreachableEngine().connect)
    always_late = SimpleNamespace(has_paused_since=lambda *moments: True)
    with pytest.raises(aiohttp.ConnectionTimeoutError):
        await _attempts._send_unless_paused(
            None,
            SimpleNamespace(id='e'),
            SimpleNamespace(attempt_id='a'),
            b'',
            None,
            always_late,
        )


async def _answer(request: web.Request) -> web.Response:
    return web.Response(body=_ANSWER)


def _connect_with_small_window(port: int) -> socket.socket:
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.connect(('127.0.0.1', port))
    connection.setblocking(False)
    return connection


# Guards against an answer that is lost by a reset, as the connection lingers
# for a time from its writing, not until a slow client has it.
async def test_slow_client_that_sends_on_gets_all_of_its_last_answer():
    application = new_application()
    application.router.add_get('/', _answer)
    async with serving(application, limit_s=_LIMIT_S) as port:
        reader, writer = await asyncio.open_connection(
            sock=_connect_with_small_window(port), limit=_READ_BYTES
        )
        writer.write(_REQUEST)
        await asyncio.sleep(_LINGER_S)
        writer.write(_REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        assert len(await reader.readexactly(len(_ANSWER))) == len(_ANSWER)
        writer.close()


# Guards against connections to servers that read nothing, which stay open and
# keep their request after the deadline has ended it.
async def test_request_that_was_ended_leaves_no_connection():
    with socket.socket() as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        url = f'http://127.0.0.1:{listener.getsockname()[1]}/'
        async with create_client_session() as session:
            before = len(os.listdir('/proc/self/fd'))
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(_DEADLINE_S):
                    await session.post(url, data=_UPLOAD)
            await asyncio.sleep(_OLD_LIMIT_S)
            assert len(os.listdir('/proc/self/fd')) == before
