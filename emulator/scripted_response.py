"""Send responses that a test scripts instead of an engine's own."""

import asyncio
from collections.abc import Mapping, Sequence
from http import HTTPStatus

import attrs
from aiohttp import web

from emulator.raw_response import PartialResponse, send_partial

_TRANSIT_S = 0.05
_FILLING_PIECES = 1500
_FILLING_PIECE_BYTES = 65_536
_FILLING_INTERVAL_S = 0.005
_TRICKLE_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class ScriptedResponse:
    """Describe a response that an engine sends instead of its own.

    The connection is reset after the body if the response ``is_cut``. One that
    is ``is_close_delimited`` has neither a length nor chunks. Behind the body
    ``filling`` is sent again and again until the caller closes, in large pieces
    or, if the response ``is_trickling``, one at a time. One that ``has_length``
    gives that of its body. A server wants no request for ``pause_s``.
    """

    status: int = HTTPStatus.OK
    content_type: str = 'text/event-stream'
    body: bytes = b''
    is_cut: bool = False
    is_close_delimited: bool = False
    filling: bytes = b''
    is_trickling: bool = False
    has_length: bool = False
    pause_s: float | None = None


async def read_unless_early(
    request: web.Request,
    scripted: Sequence[ScriptedResponse | PartialResponse],
) -> bytes:
    """Return the body, nothing if the next response does not wait for it."""
    match scripted:
        case [PartialResponse(is_early=True), *_]:
            return b''
    return await request.read()


async def send_scripted(
    request: web.Request,
    scripted: ScriptedResponse | PartialResponse,
    headers: Mapping[str, str],
) -> web.StreamResponse:
    """Send ``scripted`` with ``headers`` and its content type."""
    if isinstance(scripted, PartialResponse):
        return await send_partial(request, scripted, headers)
    fields = {**headers, 'Content-Type': scripted.content_type}
    if scripted.pause_s is not None:
        fields['Retry-After'] = str(scripted.pause_s)
    if scripted.is_close_delimited:
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join((f'HTTP/1.1 {scripted.status} -', *lines))
        request.transport.write(f'{head}\r\n\r\n'.encode())
        request.transport.write(scripted.body)
        request.transport.close()
        return web.Response()
    response = web.StreamResponse(status=scripted.status, headers=fields)
    if scripted.has_length:
        response.content_length = len(scripted.body)
    await response.prepare(request)
    await response.write(scripted.body)
    if scripted.filling:
        await _fill(response, scripted)
    if scripted.is_cut:
        # What was written reaches the caller before the reset.
        await asyncio.sleep(_TRANSIT_S)
        request.transport.abort()
    return response


async def _fill(
    response: web.StreamResponse, scripted: ScriptedResponse
) -> None:
    """Send the filling until the caller closes, large pieces at 13 MB/s."""
    filling = scripted.filling
    piece = filling
    interval_s = _TRICKLE_INTERVAL_S
    if not scripted.is_trickling:
        piece = filling * (_FILLING_PIECE_BYTES // len(filling) + 1)
        interval_s = _FILLING_INTERVAL_S
    for _ in range(_FILLING_PIECES):
        await response.write(piece)
        await asyncio.sleep(interval_s)
