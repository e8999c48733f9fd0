"""Send a response piece by piece, so that its end and a cut can be told apart.

What shows the end of a response is decided here, for both edges.
"""

import os
import socket
import struct

import attrs
from aiohttp import HttpVersion11, hdrs, web

from arbutusbay._flow_handler import flow_of
from arbutusbay._reader_flow import ReaderFlow
from arbutusbay._response_body import EMPTY_STATUSES, BodyEnd

_PIECE_BYTES = 16_384
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_FLUSH_ON_CLOSE = struct.pack('ii', 0, 0)


def shown_end(request: web.BaseRequest, status: int) -> BodyEnd:
    """Return what shows the client where a streamed response ends."""
    if request.method == hdrs.METH_HEAD or status in EMPTY_STATUSES:
        return BodyEnd.LENGTH
    if request.version >= HttpVersion11:
        return BodyEnd.CHUNKS
    return BodyEnd.CONNECTION


@attrs.define(kw_only=True)
class ResponseStream:
    """Represent a response whose head is out, and what shows its ``end``.

    ``flow`` is how the client takes it, None if that is unknown.
    """

    request: web.BaseRequest
    response: web.StreamResponse
    end: BodyEnd
    flow: ReaderFlow | None = None

    @property
    def waited_s(self) -> float:
        """Return for how long the client was awaited."""
        return 0.0 if self.flow is None else self.flow.waited_s

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.end is not BodyEnd.LENGTH

    async def write(self, raw_bytes: bytes) -> None:
        """Send a part of the body, if there is one, and await the client."""
        if not self.has_body:
            return
        if len(raw_bytes) <= _PIECE_BYTES:
            await self._write_piece(raw_bytes)
            return
        for start in range(0, len(raw_bytes), _PIECE_BYTES):
            await self._write_piece(raw_bytes[start : start + _PIECE_BYTES])

    async def complete(self) -> None:
        """End the response so that the client sees that it is complete."""
        if self.end is BodyEnd.CONNECTION:
            _set_reset_on_close(self.request, is_reset=False)
        await self.response.write_eof()

    def cut(self) -> None:
        """Abort the connection: the client sees that the response broke."""
        abort_connection(self.request)

    async def _write_piece(self, piece: bytes) -> None:
        await self.response.write(piece)
        if self.flow is not None:
            await self.flow.wait()


async def begin_stream(
    request: web.BaseRequest, response: web.StreamResponse
) -> ResponseStream:
    """Send the head of ``response``, whose body is sent in parts.

    Where only the close of the connection shows the end, the head announces
    that close, and until the end the connection is reset, whatever closes it.
    """
    end = shown_end(request, response.status)
    if end is BodyEnd.CONNECTION:
        response.force_close()
        response.headers[hdrs.CONNECTION] = 'close'
        _set_reset_on_close(request, is_reset=True)
    flow = flow_of(request)
    if flow is not None:
        flow.waited_s = 0.0
    await response.prepare(request)
    return ResponseStream(
        request=request, response=response, end=end, flow=flow
    )


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the connection without ending the body.

    The client can then see that the response is incomplete.
    """
    transport = request.transport
    if transport is not None:
        transport.abort()


def is_connection_open(request: web.BaseRequest) -> bool:
    """Return whether a response can still be written."""
    transport = request.transport
    return transport is not None and not transport.is_closing()


def _set_reset_on_close(request: web.BaseRequest, *, is_reset: bool) -> None:
    """Set whether a close of the connection resets it, also by the kernel."""
    if not is_connection_open(request):
        return
    descriptor = request.transport.get_extra_info('socket').fileno()
    with socket.socket(fileno=os.dup(descriptor)) as connection:
        connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE if is_reset else _FLUSH_ON_CLOSE,
        )
