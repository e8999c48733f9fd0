"""Track the connections of an emulated engine.

An engine can write a refusal again on the connection that carried it.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
from aiohttp import web

from emulator._attempt_presence import AttemptPresence

_ATTEMPT_ID = 'Attempt-Id'
_NOT_EXECUTED = 'Not-Executed'
_REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class CopiedId(enum.StrEnum):
    """Select the id in the copy of a refusal.

    OWN is that of the refused request, NONE no id and FOREIGN the id of no
    request.
    """

    OWN = 'own'
    NONE = 'none'
    FOREIGN = 'foreign'


@attrs.frozen(kw_only=True)
class _Refusal:
    status: int
    attempt_id: str


class EngineConnections:
    """Write the last refusal of a connection before its next response.

    Each refusal is written again once, unless ``copied_id`` is None.
    ``copies_written`` counts the copies, ``paths_by_caller`` lists what each
    connection carried by the address from which it came. ``transports`` are
    those with a request in progress.
    """

    def __init__(self) -> None:
        """Start without this fault."""
        self.copied_id: CopiedId | None = None
        self.copies_written = 0
        self.attempts = AttemptPresence()
        self.transports: set[asyncio.Transport] = set()
        self.paths_by_caller: dict[tuple[str, int], list[str]] = {}
        self._refusals: dict[asyncio.Transport, _Refusal] = {}

    @web.middleware
    async def write_copies(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Write the copy that is due, then handle the request."""
        caller = request.transport.get_extra_info('peername')
        self.paths_by_caller.setdefault(caller, []).append(request.path)
        self._write_again(request.transport)
        response = await handler(request)
        if response.status in _REFUSAL_STATUSES and request.transport:
            self._refusals[request.transport] = _Refusal(
                status=response.status,
                attempt_id=request.headers.get(_ATTEMPT_ID, ''),
            )
        return response

    def _write_again(self, transport: asyncio.Transport) -> None:
        refusal = self._refusals.pop(transport, None)
        if refusal is None or self.copied_id is None:
            return
        ids = {
            CopiedId.OWN: refusal.attempt_id,
            CopiedId.NONE: '',
            CopiedId.FOREIGN: 'of-somebody-else',
        }
        attempt_id = ids[self.copied_id]
        lines = [
            f'HTTP/1.1 {refusal.status} Refused',
            'Content-Length: 0',
            f'{_NOT_EXECUTED}: 1',
        ]
        if attempt_id:
            lines.append(f'{_ATTEMPT_ID}: {attempt_id}')
        self.copies_written += 1
        transport.write('\r\n'.join((*lines, '', '')).encode())
