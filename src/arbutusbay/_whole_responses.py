"""Make a call and return its whole response, or why there is none."""

import asyncio
from contextlib import AbstractAsyncContextManager

import aiohttp
import attrs
from multidict import CIMultiDictProxy
from result import Err, Ok, Result

from arbutusbay._response_body import BodyEnd, CutBody, read_body

PendingCall = AbstractAsyncContextManager[aiohttp.ClientResponse]


@attrs.frozen(kw_only=True)
class WholeResponse:
    """Hold a response that was received to its end."""

    status: int
    content_type: str
    headers: CIMultiDictProxy[str]
    body: bytes
    end: BodyEnd


@attrs.frozen(kw_only=True)
class NoResponse:
    """Describe why there is no whole response.

    ``is_sent`` is false if no connection was made. ``detail`` names the error,
    ``cut`` is the body if it was cut short.
    """

    is_sent: bool
    detail: str
    cut: CutBody | None = None

    @property
    def is_too_long(self) -> bool:
        """Return whether a response was longer than its limit."""
        return self.cut is not None and self.cut.is_too_long


async def fetch_whole(
    call: PendingCall, limit_bytes: int
) -> Result[WholeResponse, NoResponse]:
    """Make ``call``, a request of aiohttp that was not awaited yet.

    Its body may have ``limit_bytes``.
    """
    try:
        async with call as response:
            body = await read_body(response, limit_bytes)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        return Err(NoResponse(is_sent=False, detail=repr(error)))
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Err(NoResponse(is_sent=True, detail=repr(error)))
    match body:
        case Err(cut):
            return _without_response(cut)
        case Ok(whole):
            return Ok(
                WholeResponse(
                    status=response.status,
                    content_type=response.content_type,
                    headers=response.headers,
                    body=whole.content,
                    end=whole.end,
                )
            )


async def fetch_message(
    call: PendingCall, limit_bytes: int
) -> Result[WholeResponse, NoResponse]:
    """Make ``call`` to a process of our own, as ``fetch_whole`` does.

    These always give a length or chunks: where only the end of the connection
    shows that of the body, a part of the response is missing.
    """
    match await fetch_whole(call, limit_bytes):
        case Ok(response) if response.end is BodyEnd.CONNECTION:
            return _without_response(
                CutBody(
                    end=response.end,
                    received_bytes=len(response.body),
                    detail='neither a length nor chunks',
                )
            )
        case fetched:
            return fetched


def _without_response(cut: CutBody) -> Err[NoResponse]:
    return Err(NoResponse(is_sent=True, detail=str(cut), cut=cut))
