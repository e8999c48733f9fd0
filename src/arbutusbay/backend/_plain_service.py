"""Adapt plain HTTP services to one typed call.

Source: ordinary HTTP. The idempotency key travels in the header
``Idempotency-Key`` and the answer may be of any type.
"""

import asyncio
from collections.abc import Mapping

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure, RunState

_CONNECT_TIMEOUT_S = 1.0
KEY_HEADER = 'Idempotency-Key'


@attrs.frozen(kw_only=True)
class ServiceCall:
    """Hold one call: method, path with query, headers and body."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """Hold the service's whole answer."""

    status: int
    content_type: str
    body: bytes


async def call_service(
    session: aiohttp.ClientSession,
    url: str,
    call: ServiceCall,
) -> Result[ServiceAnswer, Failure]:
    """Send ``call`` once and return the whole answer.

    The failure's run state is ``NOT_RUN`` only when no connection was
    made, so that no byte can have reached the service.
    """
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_s,
        sock_connect=_CONNECT_TIMEOUT_S,
    )
    try:
        async with session.request(
            call.method,
            url.rstrip('/') + call.path,
            headers=call.headers,
            data=call.body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
    except aiohttp.ClientConnectorError as error:
        return _failed(ErrorKind.NO_BACKEND_SERVER, error, RunState.NOT_RUN)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _failed(ErrorKind.OUTCOME_UNKNOWN, error, RunState.UNKNOWN)
    return Ok(
        ServiceAnswer(
            status=response.status,
            content_type=response.content_type,
            body=body,
        ),
    )


def _failed(
    kind: ErrorKind,
    error: Exception,
    run_state: RunState,
) -> Err[Failure]:
    return Err(
        Failure(
            kind=kind,
            detail=f'service: {type(error).__name__}',
            run_state=run_state,
        ),
    )
