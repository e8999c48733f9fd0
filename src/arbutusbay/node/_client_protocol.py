"""Serve one connection of a client and track whether it is in use."""

import asyncio
from typing import Any

from aiohttp import web

from arbutusbay.node._node_state import NodeState

# aiohttp closes idle connections without a look at what has arrived on them;
# see ``IdleConnections``.
_AIOHTTP_IDLE_TIMEOUT_S = 86_400.0


class ClientProtocol(web.RequestHandler):
    """Track the requests on a connection, also those that have not begun.

    ``is_arriving`` tells that bytes came since the last request, which may be
    a whole one that aiohttp has queued. ``unused_since_s`` is when a check
    first found the connection without a request, or without one that has
    arrived; it is in seconds on the node's clock and None before such a check.
    """

    def __init__(
        self, server: web.Server, *, node_state: NodeState, **options: Any
    ) -> None:
        """Serve a connection with the ``options`` of aiohttp."""
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_AIOHTTP_IDLE_TIMEOUT_S,
            **options,
        )
        self.node_state = node_state
        self.is_arriving = False
        self.unused_since_s: float | None = None

    @property
    def has_request(self) -> bool:
        """Return whether a request is being handled."""
        return self in self.node_state.busy_connections

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of a request."""
        if not self.has_request:
            self.record_arrival()
        super().data_received(chunk)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop to count the connection as busy, whatever became of it."""
        self.node_state.busy_connections.discard(self)
        super().connection_lost(exc)

    def record_arrival(self) -> None:
        """Record that bytes of a request have arrived."""
        if not self.is_arriving:
            self.is_arriving = True
            self.unused_since_s = None

    def begin_request(self) -> None:
        """Record that the next request leaves the queue of aiohttp."""
        self.node_state.busy_connections.add(self)
        self.is_arriving = False
        self.unused_since_s = None
