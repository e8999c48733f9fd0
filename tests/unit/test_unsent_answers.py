"""Check that a connection is in use until its client has its answer."""

import asyncio
import contextlib
import json
import os
import re
import socket
from types import SimpleNamespace

import attrs
import pytest
from aiohttp import web

from arbutusbay.clock import now_s
from arbutusbay.http import new_application
from arbutusbay.node import _idle_connections
from arbutusbay.node._idle_connections import IdleConnections
from arbutusbay.node._listeners import open_listeners
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from arbutusbay.platform import Endpoint, decode_operator_record
from arbutusbay.planned_stop import plan_stop
from tests.fleet_builders import build_configuration, build_vm_settings
from tests.fleet_fakes import FakeClock
from tests.http_servers import serving

_HOST = f'127.92.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}'
_FRONTEND_PORT = 7101
_OTHER_PORTS = (7102, 7103)
_IDLE_S = 15.0
_CHECK_S = 0.5
_GRACE_S = 8.0
_HANDED_ON_S = 0.3
_RECEIVE_BUFFER_BYTES = 65_536
_ANSWER = bytes(2_000_000)
_STEPS = 4
_STEP_BYTES = 300_000
_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_HEAD_END = b'\r\n\r\n'
_LENGTH = re.compile(rb'Content-Length: ([0-9]+)')
_READ_BYTES = 65_536
_LIMIT_S = 5


def _build_components():
    settings = attrs.evolve(
        build_vm_settings(),
        ip=_HOST,
        frontend=Endpoint(host=_HOST, port=_FRONTEND_PORT),
        readiness_endpoint=Endpoint(host=_HOST, port=_OTHER_PORTS[0]),
        peer_ports=(_OTHER_PORTS[1], _OTHER_PORTS[1]),
    )
    node_state = NodeState(settings=settings)
    document = build_configuration()
    node_state.catalog.configuration = decode_operator_record(
        'config', json.dumps(document).encode()
    ).unwrap()
    unused = SimpleNamespace(handle_request=None)
    return SimpleNamespace(
        node_state=node_state,
        frontend=SimpleNamespace(handle_request=_answer),
        control_api=unused,
        relay_api=unused,
        peer_channel=PeerChannel(node_state=node_state, own_vm=None),
    )


async def _answer(request: web.BaseRequest) -> web.Response:
    """Answer as the frontend does, which counts a connection as busy."""
    response = web.Response(body=_ANSWER)
    if request.protocol.node_state.is_stopping:
        response.force_close()
    await response.prepare(request)
    await response.write_eof()
    request.protocol.node_state.busy_connections.discard(request.protocol)
    return response


async def _connect_with_small_window(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, port))
    return await asyncio.open_connection(sock=connection, limit=_READ_BYTES)


@attrs.frozen(kw_only=True)
class SlowClient:
    """Hold a client that has sent a request and has read little so far."""

    idle_connections: IdleConnections
    clock: FakeClock
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def check_after(self, duration_s: float) -> None:
        """Let the VM look for unused connections ``duration_s`` later."""
        self.clock.moment_s += duration_s
        self.idle_connections.apply_timeout()

    def request_again(self) -> None:
        """Send a second request on the connection."""
        self.writer.write(_REQUEST)

    async def read(self, size: int) -> bytes:
        """Read ``size`` bytes, or all that arrive until the connection ends.

        Raises ``OSError`` if it is reset.
        """
        received = bytearray()
        async with asyncio.timeout(_LIMIT_S):
            while len(received) < size:
                chunk = await self.reader.read(size - len(received))
                if not chunk:
                    break
                received += chunk
        return bytes(received)

    async def read_answer(self) -> bytes:
        """Read one whole answer and return its body."""
        head = await self.reader.readuntil(_HEAD_END)
        length = int(_LENGTH.search(head)[1])
        return await self.read(length)


@pytest.fixture
async def client(request, monkeypatch):
    """Yield a client whose answer has been handed to the transport.

    With a true parameter the VM was stopping before.
    """
    clock = FakeClock()
    monkeypatch.setattr(_idle_connections, 'now_s', clock)
    components = _build_components()
    settings = components.node_state.settings
    if getattr(request, 'param', False):
        components.node_state.stop = plan_stop(now_s(), _GRACE_S)
    with contextlib.closing(
        await open_listeners(settings, components)
    ) as listeners:
        reader, writer = await _connect_with_small_window(_HOST, _FRONTEND_PORT)
        writer.write(_REQUEST)
        await asyncio.sleep(_HANDED_ON_S)
        yield SlowClient(
            idle_connections=IdleConnections(server=listeners.client_server),
            clock=clock,
            reader=reader,
            writer=writer,
        )
        writer.close()


# Guards against an answer that is lost by a reset: its connection counted as
# unused since the kernel had the answer, and was closed as the client, which
# was still reading, sent its next request.
async def test_idle_timeout_begins_once_the_client_has_its_answer(client):
    client.check_after(_CHECK_S)
    for _ in range(_STEPS):
        assert len(await client.read(_STEP_BYTES)) == _STEP_BYTES
        client.check_after(_IDLE_S / 2)
    client.request_again()
    rest_bytes = 2 * len(_ANSWER) - _STEPS * _STEP_BYTES
    assert len(await client.read(rest_bytes)) == rest_bytes


# Guards against the same reset in a planned stop.
async def test_stop_closes_no_connection_whose_answer_is_on_its_way(client):
    for _ in range(_STEPS):
        client.idle_connections.close_unused()
        await asyncio.sleep(0)
    assert not client.idle_connections.are_all_unused()
    client.request_again()
    for _ in range(2):
        assert await client.read_answer() == _ANSWER


# Guards against clients that never read and keep their connections for ever.
async def test_connection_of_a_client_that_stops_to_read_is_closed(client):
    for _ in range(3):
        client.check_after(_CHECK_S)
    client.check_after(_IDLE_S)
    assert await client.read_answer() == _ANSWER
    assert not await client.read(1)


# Guards against an answer that is lost by a reset: the VM announced that it
# would close the connection, and did before the client had read that.
@pytest.mark.parametrize('client', [True], indirect=True)
async def test_announced_close_waits_until_the_client_has_its_answer(client):
    client.request_again()
    assert await client.read_answer() == _ANSWER


async def _answer_at_own_edge(request: web.Request) -> web.Response:
    return web.Response(body=_ANSWER)


# Guards against the same reset as a process of our own edge stops.
async def test_stop_of_our_edge_waits_until_the_client_has_its_answer():
    application = new_application()
    application.router.add_get('/', _answer_at_own_edge)
    async with serving(application, limit_s=_LIMIT_S) as port:
        reader, writer = await _connect_with_small_window('127.0.0.1', port)
        writer.write(_REQUEST)
        await asyncio.sleep(_HANDED_ON_S)
    writer.write(_REQUEST)
    head = await reader.readuntil(_HEAD_END)
    assert b'200 OK' in head
    assert await reader.readexactly(len(_ANSWER)) == _ANSWER
    writer.close()
