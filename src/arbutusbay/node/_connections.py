"""Open HTTP connections that notice stray bytes and resets."""

import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_LIMIT_MS = 3000
_IDLE_LIMIT_S = 4.0
_CLIENT_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class CheckedConnection(ResponseHandler):
    """Refuse reuse after stray bytes; a reset never ends a body."""

    def is_connected(self) -> bool:
        """Tell whether the connection may carry another request."""
        return super().is_connected() and not self.should_close

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that ends with the connection if it was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('connection reset'),
            )
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Create checked connections."""

    def __init__(self, **options: Any) -> None:
        """Pass ``options`` to the connector."""
        super().__init__(**options)
        self._factory = functools.partial(CheckedConnection, loop=self._loop)


def socket_with_probes(address_info: Any) -> socket.socket:
    """Return a socket that notices within seconds when its peer is gone."""
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family=family, type=kind, proto=protocol)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_LIMIT_MS,
        ),
    )
    for level, option, setting in options:
        connection.setsockopt(level, option, setting)
    return connection


def new_checked_session() -> aiohttp.ClientSession:
    """Return a session that sends each request once; the caller closes it."""
    connector = CheckedConnector(
        limit=0,
        keepalive_timeout=_IDLE_LIMIT_S,
        socket_factory=socket_with_probes,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_CLIENT_HEADERS,
    )
    session._retry_connection = False  # noqa: SLF001
    return session
