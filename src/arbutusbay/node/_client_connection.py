"""Look at the connection of a client in the kernel.

Bytes and the close of a connection may lie there unread for long: the event
loop is behind, or the VM was suspended.
"""

import asyncio
import socket
import struct
from types import MappingProxyType
from typing import Any

import attrs
from aiohttp import ClientConnectionResetError, web

from arbutusbay.client_ends import ClientEnd, HalfClosedError
from arbutusbay.logs import get_logger

_LOG = get_logger('client')
# The state is the first byte, the age of the latest data the twelfth integer
# after the eight leading bytes.
_TCP_INFO_FORMAT = '=B51xI'
_ESTABLISHED = 1
_CLOSE_WAIT = 8
_ENDS_BY_STATE = MappingProxyType(
    {_ESTABLISHED: None, _CLOSE_WAIT: ClientEnd.SENDING_SIDE_SHUT}
)
_MILLISECONDS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ConnectionLook:
    """Hold the state of a connection in the kernel.

    ``client_end`` is how the client ended its side, also if bytes that it sent
    before are still unread, None if it did not. ``last_received_age_s`` is the
    time since its latest bytes arrived.
    """

    client_end: ClientEnd | None
    last_received_age_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the client has ended nothing."""
        return self.client_end is None


_CLOSED_CONNECTION = ConnectionLook(client_end=ClientEnd.CLOSED)
_UNKNOWN_CONNECTION = ConnectionLook(client_end=None)


def look_at_connection(
    transport: asyncio.BaseTransport | None,
) -> ConnectionLook:
    """Return the present state of a client's TCP connection."""
    if transport is None or transport.is_closing():
        return _CLOSED_CONNECTION
    connection = transport.get_extra_info('socket')
    try:
        look = parse_tcp_info(_read_tcp_info(connection))
        if look.is_open:
            return attrs.evolve(look, client_end=_peek_end(connection))
        return look
    except (OSError, struct.error) as error:
        _LOG.warning(
            'client connection is unknown', fields={'error': repr(error)}
        )
        return _UNKNOWN_CONNECTION


def check_client(request: web.BaseRequest) -> None:
    """Raise an exception if the client has ended its side.

    Raises ``HalfClosedError`` if it may still wait for its response, and
    ``ClientConnectionResetError`` if it can't.
    """
    look = look_at_connection(request.transport)
    match look.client_end:
        case ClientEnd.CLOSED:
            raise ClientConnectionResetError('client left before the attempt')
        case ClientEnd.SENDING_SIDE_SHUT:
            if not has_unread_bytes(request.transport):
                request.protocol.record_end()
            raise HalfClosedError('client ended its stream before the attempt')


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes have arrived that the event loop has not read."""
    try:
        return bool(_peek(transport.get_extra_info('socket')))
    except BlockingIOError:
        return False
    except OSError as error:
        _LOG.info('client connection is broken', fields={'error': repr(error)})
        return False


def parse_tcp_info(raw_bytes: bytes) -> ConnectionLook:
    """Decode the fields that are used of the kernel's ``struct tcp_info``.

    Raises ``struct.error`` if ``raw_bytes`` is too short.
    """
    state, age_ms = struct.unpack_from(_TCP_INFO_FORMAT, raw_bytes)
    return ConnectionLook(
        client_end=_ENDS_BY_STATE.get(state, ClientEnd.CLOSED),
        last_received_age_s=age_ms / _MILLISECONDS_PER_S,
    )


def _read_tcp_info(connection: Any) -> bytes:
    return connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, struct.calcsize(_TCP_INFO_FORMAT)
    )


def _peek_end(connection: Any) -> ClientEnd | None:
    """Return which end is next to read, None if bytes are or nothing is.

    Where processes are simulated, the state in ``struct tcp_info`` may be a
    constant.
    """
    try:
        return None if _peek(connection) else ClientEnd.SENDING_SIDE_SHUT
    except BlockingIOError:
        return None
    except ConnectionError:
        return ClientEnd.CLOSED


def _peek(connection: Any) -> bytes:
    """Return the next byte and leave it there.

    The descriptor is only borrowed, as the sockets of uvloop don't read.
    """
    borrowed = socket.socket(
        connection.family,
        connection.type,
        connection.proto,
        fileno=connection.fileno(),
    )
    try:
        return borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    finally:
        borrowed.detach()
