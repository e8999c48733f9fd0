"""Create HTTP client sessions that detect broken connections.

Their connections keep what they have carried. What ``ON_REQUEST_SENT`` holds
in the context of a request is called once that was sent. TCP keepalive detects
unreachable peers. It has no part where bytes wait for a peer that does not read
them: a sound one may do so for long.
"""

import asyncio
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp

from arbutusbay.client_connections import (
    StrictConnection,
    StrictConnector,
    open_client_session,
)
from arbutusbay.node._connection_history import ConnectionHistory
from arbutusbay.platform import get_attempt_id
from arbutusbay.single_send import disable_repetition

_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_MAX_KEEPALIVE_PROBES = 2
_IDLE_TIMEOUT_S = 4.0
_RECEIVE_BUFFER_BYTES = 131_072
_SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


def _ignore() -> None:
    """Do nothing when a request was sent."""


ON_REQUEST_SENT: ContextVar[Callable[[], None]] = ContextVar(
    'ON_REQUEST_SENT', default=_ignore
)


class RecordingConnection(StrictConnection):
    """Keep what a connection has carried."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self.history = ConnectionHistory()


class ConnectionResponse(aiohttp.ClientResponse):
    """Keep the connection of a response also once it was received whole.

    A complete response returns its connection to the pool. If it turns out
    to belong to another request, that connection must not be used again.
    """

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the response from ``connection``."""
        self.used_connection = connection.protocol
        self.used_connection.history.request_count += 1
        ON_REQUEST_SENT.get()()
        return await super().start(connection)

    @property
    def connection_history(self) -> ConnectionHistory:
        """Return what the connection carried, this response included."""
        return self.used_connection.history

    def close_connection(self) -> None:
        """Close the connection, whoever uses it now."""
        self.close()
        self.used_connection.force_close()
        self.used_connection.close()


class RecordingConnector(StrictConnector):
    """Carry no attempt where one with its id was refused.

    A second refusal there could be a copy of the first one.
    """

    async def connect(
        self, req: aiohttp.ClientRequest, *args: Any, **options: Any
    ) -> aiohttp.connector.Connection:
        """Return a connection on which the id of ``req`` was not refused."""
        attempt_id = get_attempt_id(req.headers)
        for connection, _ in self._conns.get(req.connection_key, ()):
            if attempt_id in connection.history.refused_ids:
                connection.close()
        return await super().connect(req, *args, **options)


def _create_keepalive_socket(address_info: Any) -> socket.socket:
    """Return a TCP socket that fails soon after its peer is unreachable.

    Raises ``OSError`` if the socket can't be created or configured.
    """
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family=family, type=kind, proto=protocol)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_KEEPALIVE_PROBES),
    )
    for level, option, setting in options:
        connection.setsockopt(level, option, setting)
    return connection


def create_client_session(
    *, reuse_connections: bool = True
) -> aiohttp.ClientSession:
    """Return a client session that sends each request at most once.

    Without ``reuse_connections`` each request opens its own connection, so that
    its response can't be that of another. The caller must close the session.
    """
    connector = RecordingConnector(
        connection_type=RecordingConnection,
        keepalive_timeout=_IDLE_TIMEOUT_S if reuse_connections else None,
        force_close=not reuse_connections,
        socket_factory=_create_keepalive_socket,
        use_dns_cache=False,
    )
    session = open_client_session(
        connector,
        response_class=ConnectionResponse,
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
    )
    disable_repetition(session)
    return session
