"""Test that the listening sockets of the daemon are closed again."""

import asyncio
import contextlib
import json
import os
import socket
from types import SimpleNamespace

import aiohttp
import attrs
import pytest
from aiohttp import web

from arbutusbay.node import _idle_connections
from arbutusbay.node._idle_connections import IdleConnections
from arbutusbay.node._listeners import open_listeners
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from arbutusbay.platform import Endpoint, decode_operator_record
from tests.fleet_builders import build_configuration, build_vm_settings
from tests.fleet_fakes import FakeClock

_FRONTEND_PORT = 7101
_READINESS_PORT = 7102
_PEER_PORT = 7103
_HOST = f'127.91.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}'


def _build_settings():
    return attrs.evolve(
        build_vm_settings(),
        ip=_HOST,
        frontend=Endpoint(host=_HOST, port=_FRONTEND_PORT),
        readiness_endpoint=Endpoint(host=_HOST, port=_READINESS_PORT),
        peer_ports=(_PEER_PORT, _PEER_PORT),
    )


def _build_components(settings):
    handler = SimpleNamespace(handle_request=None)
    node_state = NodeState(settings=settings)
    return SimpleNamespace(
        node_state=node_state,
        frontend=handler,
        control_api=handler,
        relay_api=handler,
        peer_channel=PeerChannel(node_state=node_state, own_vm=None),
    )


def _bind_again(kind: socket.SocketKind, port: int) -> socket.socket:
    rebound = socket.socket(socket.AF_INET, kind)
    rebound.bind((_HOST, port))
    return rebound


# Guards against sockets that take connections which nobody answers, after an
# address of this or another listener could not be bound.
@pytest.mark.parametrize(
    ('kind', 'port'),
    [
        (socket.SOCK_DGRAM, _PEER_PORT),
        (socket.SOCK_STREAM, _PEER_PORT),
        (socket.SOCK_STREAM, _READINESS_PORT),
    ],
)
async def test_failed_bind_leaves_no_socket_open(kind, port):
    settings = _build_settings()
    with _bind_again(kind, port) as occupied:
        if kind is socket.SOCK_STREAM:
            occupied.listen()
        with pytest.raises(OSError, match='in use'):
            await open_listeners(settings, _build_components(settings))
    for freed in (_FRONTEND_PORT, _READINESS_PORT, _PEER_PORT):
        _bind_again(socket.SOCK_STREAM, freed).close()


# Guards against a socket for datagrams that outlives the listeners.
async def test_close_closes_the_socket_for_datagrams():
    settings = _build_settings()
    components = _build_components(settings)
    listeners = await open_listeners(settings, components)
    transport = components.peer_channel.transport
    listeners.close()
    assert transport.is_closing()
    _bind_again(socket.SOCK_STREAM, _FRONTEND_PORT).close()


def _configure(components, **limits: int) -> None:
    document = build_configuration(limits=limits)
    components.node_state.catalog.configuration = decode_operator_record(
        'config', json.dumps(document).encode()
    ).unwrap()


async def _connect(
    client_server,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and wait until the server has accepted it."""
    reader, writer = await asyncio.open_connection(_HOST, _FRONTEND_PORT)
    async with asyncio.timeout(2):
        while not client_server.connections:
            await asyncio.sleep(0)
    return reader, writer


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(0.2):
            return not await reader.read(1)
    except TimeoutError:
        return False


@pytest.fixture
def clock(monkeypatch):
    """Replace the clock that ages of connections are read from."""
    fake_clock = FakeClock()
    monkeypatch.setattr(_idle_connections, 'now_s', fake_clock)
    return fake_clock


# Guards against closing an idle connection that the configuration lets a
# client use again: the limit was decoded, and a fixed one applied. The one in
# force counts, for connections that are open already, too.
async def test_idle_connections_are_kept_as_long_as_configured(clock):
    settings = _build_settings()
    components = _build_components(settings)
    with contextlib.closing(
        await open_listeners(settings, components)
    ) as listeners:
        idle_connections = IdleConnections(server=listeners.client_server)
        reader, writer = await _connect(listeners.client_server)
        idle_connections.apply_timeout()
        clock.moment_s += 14.9
        idle_connections.apply_timeout()
        assert not await _is_closed(reader)
        _configure(components, idle_timeout_ms=40_000)
        clock.moment_s += 25
        idle_connections.apply_timeout()
        assert not await _is_closed(reader)
        clock.moment_s += 0.2
        idle_connections.apply_timeout()
        assert await _is_closed(reader)
        writer.close()


# Guards against open connections that refuse headers which the configuration
# allows by now: they are closed while unused, all others stay.
@pytest.mark.parametrize(
    ('max_header_bytes', 'is_closed'),
    [(200_000, True), (40_000, False), (8000, False)],
)
async def test_connection_with_an_outdated_header_limit_is_closed(
    clock, max_header_bytes, is_closed
):
    settings = _build_settings()
    components = _build_components(settings)
    with contextlib.closing(
        await open_listeners(settings, components)
    ) as listeners:
        idle_connections = IdleConnections(server=listeners.client_server)
        reader, writer = await _connect(listeners.client_server)
        idle_connections.apply_timeout()
        _configure(components, max_header_bytes=max_header_bytes)
        idle_connections.apply_timeout()
        assert await _is_closed(reader) == is_closed
        writer.close()


# Guards against a check after a pause that closes what it has not seen before.
async def test_connection_is_closed_only_if_two_checks_find_it_unused(clock):
    settings = _build_settings()
    components = _build_components(settings)
    with contextlib.closing(
        await open_listeners(settings, components)
    ) as listeners:
        idle_connections = IdleConnections(server=listeners.client_server)
        reader, writer = await _connect(listeners.client_server)
        clock.moment_s += 100
        idle_connections.apply_timeout()
        assert not await _is_closed(reader)
        _configure(components, idle_timeout_ms=1000)
        clock.moment_s += 1.1
        idle_connections.apply_timeout()
        assert await _is_closed(reader)
        writer.close()


# Guards against requests that the loop has not read, or has read but not begun,
# when the connection is checked.
@pytest.mark.parametrize('turns', range(6))
async def test_request_that_has_not_begun_is_answered(clock, turns):
    settings = _build_settings()
    components = _build_components(settings)
    components.frontend = SimpleNamespace(handle_request=_answer_empty)
    with contextlib.closing(
        await open_listeners(settings, components)
    ) as listeners:
        idle_connections = IdleConnections(server=listeners.client_server)
        reader, writer = await asyncio.open_connection(_HOST, _FRONTEND_PORT)
        await asyncio.sleep(0.1)
        idle_connections.apply_timeout()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        for _ in range(turns):
            await asyncio.sleep(0)
        for _ in range(2):
            clock.moment_s += 16
            idle_connections.apply_timeout()
        async with asyncio.timeout(2):
            answer = await reader.read(100)
        writer.close()
        assert answer.startswith(b'HTTP/1.1 200')


async def _answer_empty(request: web.BaseRequest) -> web.Response:
    return web.Response()


# Guards against heads without end, in lines that are short enough each: the
# memory of a VM is that of all its clients.
async def test_head_without_end_is_refused():
    settings = _build_settings()
    components = _build_components(settings)
    with contextlib.closing(await open_listeners(settings, components)):
        reader, writer = await asyncio.open_connection(_HOST, _FRONTEND_PORT)
        writer.write(b'GET / HTTP/1.1\r\n')
        for number in range(30):
            writer.write(b'X-%d: %s\r\n' % (number, b'x' * 10_000))
        async with asyncio.timeout(2):
            answer = await reader.read(100)
        writer.close()
        assert answer.startswith(b'HTTP/1.1 431')


# Guards against refusing a header line that the configuration allows.
async def test_header_line_may_be_as_long_as_configured():
    settings = _build_settings()
    components = _build_components(settings)
    components.frontend = SimpleNamespace(handle_request=_answer_empty)
    _configure(components, max_header_bytes=40_000)
    with contextlib.closing(await open_listeners(settings, components)):
        async with aiohttp.ClientSession() as session:
            response = await session.get(
                f'http://{_HOST}:{_FRONTEND_PORT}/',
                headers={'X': 'x' * 30_000},
            )
            assert response.status == 200
