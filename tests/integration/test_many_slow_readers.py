"""Check that clients and engines that read slowly hold up nobody else.

Many clients take nothing of their streams, or many engines nothing of their
uploads, at a VM with the memory of the smallest one.
"""

import asyncio
import contextlib
import socket
import time

import attrs
import pytest

from tests.background_tasks import running
from tests.fleet_builders import (
    MODEL,
    build_configuration,
    build_raw_request,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import count_runs, request_service
from tests.integration.test_fleet_backends import resident_bytes
from tests.raw_clients import parse_bytes

_READERS = 200
_UPLOADS = 50
_MEMORY_BYTES = 80_000_000
_QUICK_S = 1.0
_QUICK_PAUSE_S = 0.05
_SLOW_S = 3.0
_LIMIT_S = 40.0
_RECEIVE_BUFFER_BYTES = 4096
_READ_BYTES = 65_536
_EVENTS = 20
_EVENT_S = 0.1
_PADDING_BYTES = 20_000
_UPLOAD = b'u' * 95_000
_DEADLINE = b'Deadline-Ms: 5000'
_LONG_DEADLINE = b'Deadline-Ms: 60000'


@attrs.define(kw_only=True)
class Watch:
    """Hold the slowest quick request and the most memory of a VM."""

    slowest_s: float = 0.0
    peak_bytes: int = 0
    statuses: set[int] = attrs.field(factory=set)

    async def ask_again_and_again(self, http, node) -> None:
        """Send quick requests until cancelled."""
        number = 0
        while True:
            number += 1
            began_s = time.monotonic()
            status, _, _ = await request_service(
                http, node, f'quick-{number}', '/look/1', 'GET'
            )
            self.statuses.add(status)
            self.slowest_s = max(self.slowest_s, time.monotonic() - began_s)
            self.peak_bytes = max(self.peak_bytes, resident_bytes(node))
            await asyncio.sleep(_QUICK_PAUSE_S)


async def read_late(node, attempt_id: str, body: bytes, wait_s: float) -> bytes:
    """Send a request, take nothing for a while and then all of its answer."""
    loop = asyncio.get_running_loop()
    request = build_raw_request('/ask/1', attempt_id, body).replace(
        _DEADLINE, _LONG_DEADLINE
    )
    received = []
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        await loop.sock_connect(connection, (node.ip, node.port))
        await loop.sock_sendall(
            connection,
            request.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n', 1),
        )
        await asyncio.sleep(wait_s)
        with contextlib.suppress(ConnectionError):
            while chunk := await loop.sock_recv(connection, _READ_BYTES):
                received.append(chunk)
    return b''.join(received)


@pytest.fixture
async def node(fleet, http):
    """Yield a VM before four engines with places for all requests."""
    configuration = build_configuration(2)
    engine = configuration['services'][0]
    engine['max_connections'] = _READERS
    engine['engine'] = {
        'slots': _READERS,
        'kv_capacity_tokens': 10_000_000,
        'models': [{'name': MODEL}],
    }
    started = await start_single_node(fleet, engines=4, plain=1, slots=_READERS)
    fleet.configure(configuration)
    await wait_until_ready([started], http)
    await asyncio.sleep(2)
    return started


async def watch_beside(http, node, requests) -> tuple[Watch, list[bytes]]:
    """Return what quick requests met beside ``requests``, and their answers."""
    watch = Watch()
    async with (
        running(watch.ask_again_and_again(http, node)),
        asyncio.timeout(_LIMIT_S),
    ):
        answers = await asyncio.gather(*requests)
    return watch, answers


def count_whole(answers: list[bytes]) -> int:
    """Return how many answers are whole successes."""
    parsed = [parse_bytes(answer) for answer in answers if answer]
    return sum(answer.status == 200 and answer.is_complete for answer in parsed)


# Guards against readers that fill the memory of the VM, delay others, or cost
# their engines a second run.
async def test_slow_readers_of_streams(fleet, http, node):
    for engine in fleet.engines[:4]:
        engine.options = attrs.evolve(
            engine.options,
            events=_EVENTS,
            event_s=_EVENT_S,
            padding_bytes=_PADDING_BYTES,
        )
    watch, answers = await watch_beside(
        http,
        node,
        [
            read_late(node, f'slow-{number}', b'{}', _SLOW_S)
            for number in range(_READERS)
        ],
    )
    runs = [count_runs(fleet, f'slow-{number}') for number in range(_READERS)]
    found = (watch, count_whole(answers), sum(runs))
    assert watch.statuses == {200}, found
    assert watch.peak_bytes < _MEMORY_BYTES, found
    assert watch.slowest_s < _QUICK_S, found
    assert count_whole(answers) == _READERS, found
    assert max(runs) == 1, found


# Guards against the same by engines that read their uploads late.
async def test_slow_engines_that_read_uploads(fleet, http, node):
    for engine in fleet.engines[:4]:
        engine.options = attrs.evolve(engine.options, queue_s=_SLOW_S)
    watch, answers = await watch_beside(
        http,
        node,
        [
            read_late(node, f'upload-{number}', _UPLOAD, 0)
            for number in range(_UPLOADS)
        ],
    )
    runs = [count_runs(fleet, f'upload-{number}') for number in range(_UPLOADS)]
    found = (watch, count_whole(answers), sum(runs))
    assert watch.statuses == {200}, found
    assert watch.peak_bytes < _MEMORY_BYTES, found
    assert watch.slowest_s < _QUICK_S, found
    assert count_whole(answers) == _UPLOADS, found
