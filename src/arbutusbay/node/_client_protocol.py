"""Serve one connection of a client and track whether it is in use."""

import asyncio

from aiohttp import web

from arbutusbay.client_ends import ClientHandler
from arbutusbay.fleet import ClientLimits
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState

# aiohttp closes idle connections without a look at what has arrived on them;
# see ``IdleConnections``.
_AIOHTTP_IDLE_TIMEOUT_S = 86_400.0
_MIN_HEADER_LINE_BYTES = 131_072
_MAX_HEADERS = 256
_HEAD_TO_LINE_RATIO = 2
_HEAD_TOO_LONG = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_LOG = get_logger('client')


class ClientProtocol(ClientHandler):
    """Track the requests on a connection, also those that have not begun.

    ``is_arriving`` means that bytes came since the last request, which may be
    a whole one that aiohttp has queued. ``unused_since_s`` is when a check
    first found the connection without a request, or without one that has
    arrived; it is in seconds on the node's clock and None before such a check.
    ``unsent_bytes`` is how much of its answers the client lacked at the latest
    check. ``arriving_bytes`` counts what came between two requests, which is a
    head that is not whole yet. ``last_end_s`` is when the last request ended,
    on the same clock; None before that.
    """

    def __init__(self, server: web.Server, *, node_state: NodeState) -> None:
        """Parse headers of any length that later limits are likely to allow.

        The parser keeps its limit, while that of the configuration may rise.
        """
        line_bytes = _max_header_line_bytes(node_state.client_limits)
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_AIOHTTP_IDLE_TIMEOUT_S,
            max_line_size=line_bytes,
            max_field_size=line_bytes,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )
        self.node_state = node_state
        self.is_arriving = False
        self.unused_since_s: float | None = None
        self.unsent_bytes = 0
        self.arriving_bytes = 0
        self.last_end_s: float | None = None

    @property
    def has_request(self) -> bool:
        """Return whether a request is being handled."""
        return self in self.node_state.busy_connections

    @property
    def idle_timeout_s(self) -> float:
        """Return for how long the connection may be unused.

        It is useless if the limits now allow longer headers than it parses.
        """
        limits = self.node_state.client_limits
        if _max_header_line_bytes(limits) > self.max_line_size:
            return 0
        return limits.idle_timeout_s

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of a request, up to the longest head."""
        if self.takes_requests and not self.has_request:
            self.record_arrival()
        self.arriving_bytes += len(chunk)
        was_body_due = self.is_body_due
        super().data_received(chunk)
        if was_body_due or self.has_request or self.has_queued_request:
            self.arriving_bytes = 0
        elif self.arriving_bytes > _HEAD_TO_LINE_RATIO * self.max_line_size:
            self._refuse_head()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop to count the connection as busy, whatever became of it."""
        self.node_state.busy_connections.discard(self)
        super().connection_lost(exc)

    def record_arrival(self) -> None:
        """Record that bytes of a request have arrived."""
        if not self.is_arriving:
            self.is_arriving = True
            self.unused_since_s = None

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record what the client lacks; it uses the connection as it reads."""
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.unused_since_s = None

    def begin_request(self) -> None:
        """Record that the next request leaves the queue of aiohttp."""
        self.node_state.busy_connections.add(self)
        self.is_arriving = False
        self.unused_since_s = None

    def _refuse_head(self) -> None:
        if not self.takes_requests or self.transport is None:
            return
        _LOG.info(
            'head of a request too long',
            fields={'received_bytes': self.arriving_bytes},
        )
        self.transport.write(_HEAD_TOO_LONG)
        self.force_close()


def _max_header_line_bytes(limits: ClientLimits) -> int:
    return max(_MIN_HEADER_LINE_BYTES, limits.max_header_bytes)
