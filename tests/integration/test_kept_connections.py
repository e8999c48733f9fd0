"""Check when the daemon closes connections that clients keep open.

A connection may be closed while no request is under way on it. A request that
has arrived gets an answer, also if the daemon has not read it yet.
"""

import asyncio
import contextlib
import functools
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator

import attrs
import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from tests.fleet_builders import (
    PLAIN_HOST,
    build_configuration,
    build_raw_request,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)

_SHORT_IDLE_MS = 1000
_LONG_IDLE_MS = 15_000
_ANSWER_TIMEOUT_S = 6.0
_NOTICE_S = 2.6
_CLIENTS = 40
_LARGE_EVENTS = 40
_LARGE_EVENT_BYTES = 500_000
_SLOW_READ_BYTES = 400_000
_SLOW_READ_S = 0.02


def build_limits(idle_timeout_ms: int) -> dict[str, int]:
    """Return the limits of a configuration with another idle timeout."""
    limits = build_configuration()['limits']
    return {**limits, 'idle_timeout_ms': idle_timeout_ms}


@attrs.define(kw_only=True)
class KeptConnection:
    """Send requests one after the other on one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, attempt_id: str, path: str = '/look/1') -> None:
        """Send a request to a plain service."""
        self.writer.write(raw_request(attempt_id, path))

    async def receive(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of an answer, 0 if there is none."""
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                head = await self.reader.readuntil(b'\r\n\r\n')
                headers = parse_headers(head)
                await self.reader.readexactly(int(headers['content-length']))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, {}
        return int(head.split()[1]), headers

    async def request(self, attempt_id: str, path: str = '/look/1') -> int:
        """Send a request and return the status of its answer."""
        self.send(attempt_id, path)
        status, _ = await self.receive()
        return status

    async def is_closed_within(self, limit_s: float) -> bool:
        """Return whether the daemon closes the connection in time."""
        try:
            async with asyncio.timeout(limit_s):
                return not await self.reader.read(1)
        except TimeoutError:
            return False


def raw_request(attempt_id: str, path: str) -> bytes:
    """Return a request without a body as bytes."""
    headers = build_request_headers(attempt_id, host=PLAIN_HOST)
    lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
    return f'GET {path} HTTP/1.1\r\n{"".join(lines)}\r\n'.encode()


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of an answer by their names in lower case."""
    lines = head.decode().split('\r\n')[1:-2]
    pairs = [line.partition(':') for line in lines]
    return {name.lower(): text.strip() for name, _, text in pairs}


@contextlib.asynccontextmanager
async def kept_connection(node: FleetNode) -> AsyncIterator[KeptConnection]:
    """Open a connection to the daemon for the block."""
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    try:
        yield KeptConnection(reader=reader, writer=writer)
    finally:
        writer.close()


async def start_node(fleet: Fleet, http, idle_timeout_ms: int) -> FleetNode:
    """Start one VM with plain servers and an idle timeout."""
    node = await start_single_node(fleet, engines=0)
    await wait_until_ready([node], http)
    await configure(fleet, http, node, 2, idle_timeout_ms)
    return node


async def configure(
    fleet: Fleet, http, node: FleetNode, version: int, idle_timeout_ms: int
) -> None:
    """Change the idle timeout and wait until the VM has applied it."""
    fleet.configure(
        build_configuration(version, limits=build_limits(idle_timeout_ms))
    )
    await wait_for_condition(
        functools.partial(_has_applied, http, node, version),
        'configuration applied',
    )


async def _has_applied(http, node: FleetNode, version: int) -> bool:
    async with http.get(f'{node.control_url}/debug/state') as response:
        return (await response.json())['config_version'] == version


# Guards against connections that keep the idle timeout of their opening, while
# clients use them for as long as the one in force allows.
async def test_raised_idle_timeout_holds_for_open_connections(fleet, http):
    node = await start_node(fleet, http, _SHORT_IDLE_MS)
    async with kept_connection(node) as connection:
        assert await connection.request('a1') == 200
        await configure(fleet, http, node, 3, _LONG_IDLE_MS)
        assert not await connection.is_closed_within(3.0)
        assert await connection.request('a2') == 200


# Guards against idle connections that outlast a lowered limit.
async def test_lowered_idle_timeout_holds_for_open_connections(fleet, http):
    node = await start_node(fleet, http, _LONG_IDLE_MS)
    async with kept_connection(node) as connection:
        assert await connection.request('a1') == 200
        await configure(fleet, http, node, 3, _SHORT_IDLE_MS)
        assert not await connection.is_closed_within(0.3)
        assert await connection.request('a2') == 200
        assert not await connection.is_closed_within(0.8)
        assert await connection.is_closed_within(2.0)


# Guards against an idle timeout that closes a connection whose next request
# lies unread in the kernel.
@pytest.mark.parametrize('sent_after_s', [0.5, 0.8, 1.5])
async def test_request_that_arrives_while_the_vm_is_suspended_is_answered(
    fleet, http, sent_after_s
):
    node = await start_node(fleet, http, _SHORT_IDLE_MS)
    async with kept_connection(node) as connection:
        assert await connection.request('a1') == 200
        await asyncio.sleep(0.4)
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(sent_after_s - 0.4)
        connection.send('a2')
        await asyncio.sleep(1.2)
        node.process.send_signal(signal.SIGCONT)
        status, _ = await connection.receive()
    assert status == 200


# Guards against a request that arrives in two parts, around the idle timeout.
async def test_request_that_is_arriving_is_answered(fleet, http):
    node = await start_node(fleet, http, _SHORT_IDLE_MS)
    async with kept_connection(node) as connection:
        assert await connection.request('a1') == 200
        await asyncio.sleep(0.8)
        raw = raw_request('a2', '/look/1')
        connection.writer.write(raw[:20])
        await asyncio.sleep(1.5)
        connection.writer.write(raw[20:])
        status, _ = await connection.receive()
    assert status == 200


# Guards against a connection that is held open with a head that never ends.
async def test_head_that_never_ends_does_not_keep_a_connection(fleet, http):
    node = await start_node(fleet, http, _SHORT_IDLE_MS)
    started_s = time.monotonic()
    async with kept_connection(node) as connection:
        connection.writer.write(b'GET / HTTP/1.1\r\nX: ')
        while not await connection.is_closed_within(0.1):
            connection.writer.write(b'x')
            assert time.monotonic() - started_s < 8


# Guards against a planned stop that closes a connection whose next request
# lies unread in the kernel.
async def test_request_that_arrives_as_a_stop_closes_connections_is_answered(
    fleet, http
):
    node = await start_node(fleet, http, _LONG_IDLE_MS)
    async with kept_connection(node) as connection:
        assert await connection.request('a1') == 200
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_NOTICE_S - 0.3)
        node.process.send_signal(signal.SIGSTOP)
        connection.send('a2')
        await asyncio.sleep(1.0)
        node.process.send_signal(signal.SIGCONT)
        status, headers = await connection.receive()
    assert status == 503
    assert headers['connection'] == 'close'


# Guards against a planned stop that cuts one of many kept connections which
# are in use all the time.
async def test_stop_answers_all_requests_on_kept_connections(fleet, http):
    node = await start_node(fleet, http, _LONG_IDLE_MS)
    stopped = asyncio.Event()
    tasks = [
        asyncio.create_task(_request_until_closed(node, number, stopped))
        for number in range(_CLIENTS)
    ]
    await asyncio.sleep(1.0)
    node.process.send_signal(signal.SIGTERM)
    stopped.set()
    outcomes = Counter(await asyncio.gather(*tasks))
    assert outcomes == {'closed after an answer': _CLIENTS}
    assert await node.process.wait() == 0


async def _request_until_closed(
    node: FleetNode, client: int, stopped: asyncio.Event
) -> str:
    """Send requests until an answer closes the connection."""
    async with kept_connection(node) as connection:
        for number in range(10_000):
            connection.send(f'c{client}-{number}')
            status, headers = await connection.receive()
            if status not in {200, 503}:
                return f'request {number} got {status}'
            if headers.get('connection') == 'close':
                assert stopped.is_set()
                return 'closed after an answer'
            await asyncio.sleep(0.01 * (client % 10))
    return 'never closed'


# Guards against a planned stop that ends the process before a client that
# reads slowly has its whole answer.
async def test_stop_waits_until_a_slow_client_has_its_answer(fleet, http):
    node = await start_single_node(
        fleet, engines=1, events=_LARGE_EVENTS, padding_bytes=_LARGE_EVENT_BYTES
    )
    await wait_until_ready([node], http)
    async with kept_connection(node) as connection:
        connection.writer.write(build_raw_request('/ask/1', 'slow', b'x'))
        await wait_for_condition(
            lambda: fleet.engines[0].running, 'stream runs'
        )
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_NOTICE_S + 0.4)
        received = bytearray()
        while chunk := await connection.reader.read(_SLOW_READ_BYTES):
            received += chunk
            await asyncio.sleep(_SLOW_READ_S)
    assert received.count(b'id: ') == _LARGE_EVENTS
    assert received.endswith(b'0\r\n\r\n')
