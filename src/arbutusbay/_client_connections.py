"""Open HTTP client sessions whose connections show what was lost on them.

A connection that is reset, or ended within an upload, fails an incomplete body.
One on which more than a response has come is closed, and so is one that brings
bytes without end which are no part of a body.
"""

import asyncio
import functools
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from arbutusbay.logs import get_logger
from arbutusbay.unsent_bytes import count_unsent_bytes

_LOG = get_logger('client_connection')
_UNLIMITED_CONNECTIONS = 0
_MAX_OVERHEAD_BYTES = 65_536
_PIECE_BYTES = 16_384
_MAX_STATUS = 599


class UnusableBytesError(aiohttp.ClientPayloadError):
    """Report a server that sent what is no response."""


class StrictConnection(ResponseHandler):
    """Refuse reuse after unexpected data and fail bodies cut by a reset.

    ``is_answered`` is set once the head of the response to the last request has
    come, ``is_early`` if the server had not taken all of the request by then.
    ``received_bytes`` counts all that came since that request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self.is_answered = False
        self.is_early = False
        self.received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Expect the response to another request."""
        self.is_answered = False
        self.is_early = False
        self.received_bytes = 0
        super().set_response_params(**options)

    def data_received(self, received: bytes) -> None:
        """Parse what the server sent, unless it is no part of a response.

        It is parsed in pieces, so that bytes behind the limit cost nothing.
        Nothing received means that a paused parser goes on.
        """
        for piece in _pieces(received):
            if piece and self.is_answered and self._is_body_complete():
                self._end_connection('bytes behind a response')
            if self.transport is None or self.transport.is_closing():
                return
            self.received_bytes += len(piece)
            super().data_received(piece)
            self._limit_overhead()

    def feed_data(
        self, message: tuple[RawResponseMessage, Any], size: int = 0
    ) -> None:
        """Keep the response to the request; others belong to none.

        Nothing waits for an interim response, or for another protocol. A status
        beyond the five classes is none.
        """
        status = message[0].code
        if self.is_answered or _is_interim(status):
            return
        if not HTTPStatus.OK <= status <= _MAX_STATUS:
            self._end_connection(f'status {status}')
            return
        self.is_answered = True
        self.is_early = count_unsent_bytes(self.transport) > 0
        super().feed_data(message, size)

    def hold_back(self) -> None:
        """Read no more for now, unless the response has come whole."""
        if self.transport is None or self._is_body_complete():
            return
        self._pause_reading_for_buffer()

    def go_on(self) -> None:
        """Read on after ``hold_back``."""
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        return super().is_connected() and not self.should_close

    def close(self) -> None:
        """Close the connection at once, also if the server reads nothing.

        What it has not been sent is the rest of a request that has ended.
        """
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        super().close()

    def eof_received(self) -> None:
        """Fail an incomplete body that the server began within the upload.

        A server that is lost while it reads ends its side as one does whose
        body is complete; the reset follows. The rest of the upload may still
        have found room in its receive buffer.
        """
        payload = self._payload
        if self.is_early and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    'the response began before all of the request had arrived'
                ),
            )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete body if the connection was lost with an error.

        A body that ends when the connection closes could otherwise pass for
        complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    'connection lost while reading the body'
                ),
            )
        super().connection_lost(exc)

    def _limit_overhead(self) -> None:
        """End the connection if too little of what it brings is a body.

        Heads, interim responses and the framing of a body are none. While the
        parser is paused, it has not parsed all that came.
        """
        if self._reading_paused:
            return
        has_body = self.is_answered and self._payload is not None
        body_bytes = self._payload.total_bytes if has_body else 0
        overhead_bytes = self.received_bytes - body_bytes
        if overhead_bytes > _MAX_OVERHEAD_BYTES + body_bytes:
            self._end_connection('bytes without a body')

    def _is_body_complete(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def _end_connection(self, cause: str) -> None:
        """Abort the connection and fail the response that is incomplete."""
        transport = self.transport
        if transport is None:
            return
        _LOG.warning(
            'connection ended',
            fields={
                'server': transport.get_extra_info('peername'),
                'cause': cause,
                'bytes': self.received_bytes,
            },
        )
        error = UnusableBytesError(cause)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        transport.abort()


class StrictConnector(aiohttp.TCPConnector):
    """Create connections whose protocol is a ``StrictConnection``."""

    def __init__(
        self,
        *,
        connection_type: type[StrictConnection] = StrictConnection,
        **options: Any,
    ) -> None:
        """Pass ``options`` on to ``aiohttp.TCPConnector``."""
        super().__init__(limit=_UNLIMITED_CONNECTIONS, **options)
        self._factory = functools.partial(connection_type, loop=self._loop)


def is_ended_here(error: BaseException) -> bool:
    """Return whether a connection was ended here, as it brought no response."""
    return isinstance(error, UnusableBytesError)


def _pieces(received: bytes) -> Iterator[bytes]:
    """Yield ``received`` in pieces; a single one if it is empty."""
    for start in range(0, max(1, len(received)), _PIECE_BYTES):
        yield received[start : start + _PIECE_BYTES]


def _is_interim(status: int) -> bool:
    """Return whether the final response follows behind one with ``status``."""
    return (
        HTTPStatus.CONTINUE <= status < HTTPStatus.OK
        and status != HTTPStatus.SWITCHING_PROTOCOLS
    )


def open_client_session(
    connector: StrictConnector, **options: Any
) -> aiohttp.ClientSession:
    """Return a session over ``connector``, which the caller has to close.

    Bodies are left as they came and cookies are dropped. ``options`` are those
    of ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        **options,
    )
