"""Decide which connections of clients may be closed now, and close them.

Whole requests may lie in the kernel or in the queue of aiohttp when a timer
fires: the event loop is behind, or the VM was suspended. Answers may lie in the
kernel, too; they are lost if their connection is closed and a request comes.
"""

import asyncio

from aiohttp import web

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._client_connection import has_unread_bytes
from arbutusbay.node._client_protocol import ClientProtocol
from arbutusbay.unsent_bytes import count_unsent_bytes

_LOG = get_logger('client')
_CHECK_INTERVAL_S = 0.5
_MAX_ARRIVAL_S = 3.0


class IdleConnections:
    """Close connections on which no request is under way or arriving."""

    def __init__(self, *, server: web.Server) -> None:
        """Watch the connections of ``server``, all of ``ClientProtocol``."""
        self.server = server

    async def run(self) -> None:
        """Apply the idle timeout that is in force until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.apply_timeout()

    def apply_timeout(self) -> None:
        """Close the connections that were unused for the idle timeout.

        That time begins with the first check that finds a connection unused, so
        that the event loop runs in between, and anew as long as the client
        takes bytes of its answers. A request that has begun to arrive has
        longer, but not for ever.
        """
        for connection in self._open_connections():
            _close_if_unused(connection, connection.idle_timeout_s)

    def close_unused(self) -> None:
        """Close the connections that are still unused at a second call.

        Those stay open whose clients have not got their answers yet.
        """
        for connection in self._open_connections():
            if not count_unsent_bytes(connection.transport):
                _close_if_unused(connection, idle_timeout_s=0)

    def are_all_unused(self) -> bool:
        """Return whether no request is under way, arriving or being answered.

        A connection that is closing may have bytes to send, too.
        """
        return not any(
            connection.has_request
            or connection.has_queued_request
            or connection.is_arriving
            or _is_sending(connection)
            for connection in self._open_connections()
        )

    def count_unsent_bytes(self) -> int:
        """Return how many bytes the clients have not acknowledged yet."""
        return sum(
            count_unsent_bytes(connection.transport)
            for connection in self._open_connections()
        )

    def _open_connections(self) -> list[ClientProtocol]:
        return list(self.server.connections)


def _close_if_unused(connection: ClientProtocol, idle_timeout_s: float) -> None:
    if connection.has_request or connection.has_queued_request:
        return
    connection.record_unsent(count_unsent_bytes(connection.transport))
    moment_s = now_s()
    if connection.unused_since_s is None:
        connection.unused_since_s = moment_s
        return
    unused_s = moment_s - connection.unused_since_s
    if unused_s < idle_timeout_s or _is_closing(connection):
        return
    if not connection.is_arriving:
        if has_unread_bytes(connection.transport):
            connection.record_arrival()
            return
        connection.force_close()
    elif unused_s >= idle_timeout_s + _MAX_ARRIVAL_S:
        _LOG.info(
            'connection closed; its request did not arrive',
            fields={'waited_ms': int(unused_s * 1000)},
        )
        connection.force_close()


def _is_closing(connection: ClientProtocol) -> bool:
    """Return whether a connection is closed as soon as its bytes are sent."""
    transport = connection.transport
    if transport is None or transport.is_closing():
        return True
    is_sending = bool(transport.get_write_buffer_size())
    return is_sending and not connection.takes_requests


def _is_sending(connection: ClientProtocol) -> bool:
    """Return whether the client may lack bytes of an answer."""
    return _is_closing(connection) or bool(
        count_unsent_bytes(connection.transport)
    )
