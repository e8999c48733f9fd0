"""Read the body of an HTTP response, and show whether it is whole."""

import enum
from contextlib import AbstractContextManager
from http import HTTPStatus

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.client_connections import is_ended_here
from arbutusbay.held_bytes import (
    BOUNDED_BODIES,
    UNBOUNDED_BODIES,
    ByteShare,
)

_CHUNKED = 'chunked'
EMPTY_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class BodyEnd(enum.StrEnum):
    """List what shows where a body ends.

    ``CONNECTION``: it has neither a length nor chunks and goes on until its
    connection is closed. A close in its middle looks the same, a reset does
    not.
    """

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


@attrs.frozen(kw_only=True)
class WholeBody:
    """Hold a body whose end was seen, and what showed it."""

    content: bytes
    end: BodyEnd


@attrs.frozen(kw_only=True)
class CutBody:
    """Describe a body whose end was not seen.

    ``end`` is what would have shown it, ``received_bytes`` what came before.
    It ``is_too_long`` if no more was read because of its limit.
    """

    end: BodyEnd
    received_bytes: int
    detail: str
    is_too_long: bool = False

    def __str__(self) -> str:
        """Return the description as one line."""
        return (
            f'response body is incomplete after {self.received_bytes} bytes '
            f'(end by {self.end.value}): {self.detail}'
        )


def body_end(response: aiohttp.ClientResponse) -> BodyEnd:
    """Return what shows where the body of ``response`` ends."""
    codings = response.headers.get('Transfer-Encoding', '')
    if codings.rpartition(',')[-1].strip().lower() == _CHUNKED:
        return BodyEnd.CHUNKS
    is_empty = response.method == 'HEAD' or response.status in EMPTY_STATUSES
    if is_empty or (not codings and 'Content-Length' in response.headers):
        return BodyEnd.LENGTH
    return BodyEnd.CONNECTION


async def read_body(
    response: aiohttp.ClientResponse,
    limit_bytes: int,
) -> Result[WholeBody, CutBody]:
    """Return the body of ``response``, whole or cut short.

    A body that is reset, broken off, longer than ``limit_bytes`` or than the
    budget of the process allows is cut short; in the last two cases the
    connection is closed. ``response`` must come
    from a session of ``open_client_session``: other connections do not show
    that a body was reset.
    """
    end = body_end(response)
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        with _share_of(end) as share:
            async for chunk in response.content.iter_any():
                size_bytes += len(chunk)
                if size_bytes > limit_bytes or not share.hold(size_bytes):
                    response.close()
                    return _too_long(end, size_bytes, limit_bytes)
                chunks.append(chunk)
    except (aiohttp.ClientError, OSError) as error:
        return Err(
            CutBody(
                end=end,
                received_bytes=size_bytes,
                detail=repr(error),
                is_too_long=is_ended_here(error),
            )
        )
    return Ok(WholeBody(content=b''.join(chunks), end=end))


def _share_of(end: BodyEnd) -> AbstractContextManager[ByteShare]:
    """Hold a body; one with a length is an answer that others don't end."""
    if end is BodyEnd.LENGTH:
        return BOUNDED_BODIES.share(leaves_room=False)
    return UNBOUNDED_BODIES.share()


def _too_long(end: BodyEnd, size_bytes: int, limit_bytes: int) -> Err[CutBody]:
    detail = f'exceeds {limit_bytes} bytes'
    if size_bytes <= limit_bytes:
        detail = 'the bodies of this process take too much memory together'
    return Err(
        CutBody(
            end=end,
            received_bytes=size_bytes,
            detail=detail,
            is_too_long=True,
        )
    )
