"""Build responses as bytes, and end connections in the middle of them."""

import asyncio
import enum
import socket
import struct
from collections.abc import Mapping
from types import MappingProxyType

import attrs
from aiohttp import web

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_TRANSIT_S = 0.002
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class Ending(enum.StrEnum):
    """List the ways in which a server ends its connection."""

    CLOSED = 'closed'
    RESET = 'reset'


class Framing(enum.StrEnum):
    """List what shows where a body ends."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    OLD_CONNECTION = 'old_connection'


def build_response(
    framing: Framing,
    body: bytes,
    *,
    headers: Mapping[str, str] = _NO_HEADERS,
    interim: bytes = b'',
    status: str = '200',
) -> bytes:
    """Return a whole response with ``status``, after ``interim`` ones."""
    version = '1.0' if framing is Framing.OLD_CONNECTION else '1.1'
    lines = [f'HTTP/{version} {status} OK']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    match framing:
        case Framing.LENGTH:
            lines.append(f'Content-Length: {len(body)}')
        case Framing.CHUNKS:
            lines.append('Transfer-Encoding: chunked')
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    head = '\r\n'.join((*lines, '', ''))
    return interim + head.encode() + body


def end_transport(transport: asyncio.Transport, ending: Ending) -> None:
    """Close a connection after all that was written, or reset it."""
    if ending is Ending.CLOSED:
        transport.close()
        return
    transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    transport.abort()


@attrs.frozen(kw_only=True)
class PartialResponse:
    """Describe a response whose last ``missing_bytes`` are not sent.

    The connection ends there. One that ``is_early`` is sent before the upload
    of its request is read; ``ends_side`` ends the sending side before the
    connection.
    """

    framing: Framing
    content_type: str
    body: bytes
    ending: Ending
    missing_bytes: int = 0
    interim: bytes = b''
    status: str = '200'
    is_early: bool = False
    ends_side: bool = False

    def build(self, headers: Mapping[str, str]) -> bytes:
        """Return what is sent, with ``headers`` and the content type."""
        whole = build_response(
            self.framing,
            self.body,
            headers={**headers, 'Content-Type': self.content_type},
            interim=self.interim,
            status=self.status,
        )
        return whole[: max(0, len(whole) - self.missing_bytes)]


async def send_partial(
    request: web.Request, partial: PartialResponse, headers: Mapping[str, str]
) -> web.StreamResponse:
    """Send the part of a response, then end its connection."""
    request.transport.write(partial.build(headers))
    # What was written reaches the caller before a reset.
    await asyncio.sleep(_TRANSIT_S)
    if partial.ends_side:
        request.transport.write_eof()
        await asyncio.sleep(_TRANSIT_S)
    end_transport(request.transport, partial.ending)
    return web.Response()
