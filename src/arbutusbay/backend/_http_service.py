"""Provide a typed call to HTTP services that are not engines.

The idempotency key is sent in the header ``Idempotency-Key``; the response
may have any content type.
"""

from collections.abc import Mapping

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.errors import (
    NOT_RUN_STATUSES,
    ErrorKind,
    Failure,
    RunState,
    require_executed,
)
from arbutusbay.responses import NoResponse, fetch_whole

_CONNECT_TIMEOUT_S = 1.0
_MAX_BODY_BYTES = 8_388_608
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'


@attrs.frozen(kw_only=True)
class ServiceCall:
    """Describe one request.

    ``path`` includes the query; ``timeout_s`` limits the whole call.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """Hold the complete response of a service to a call that may have run.

    ``status`` is none of ``NOT_RUN_STATUSES``: a service does not prove that.
    """

    status: int = attrs.field(validator=require_executed)
    content_type: str
    body: bytes


async def call_service(
    session: aiohttp.ClientSession,
    url: str,
    call: ServiceCall,
) -> Result[ServiceResponse, Failure]:
    """Send ``call`` once to the service at ``url`` and return its response.

    The failure is ``NO_BACKEND_SERVER`` with the run state ``NOT_RUN`` if
    no connection was made, so that no byte can have reached the service.
    Otherwise it is ``OUTCOME_UNKNOWN``, also for a response that is not whole
    and for one that says 'not run' by its status alone.
    """
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_s,
        sock_connect=_CONNECT_TIMEOUT_S,
    )
    pending = session.request(
        call.method,
        url.rstrip('/') + call.path,
        headers=call.headers,
        data=call.body,
        timeout=timeout,
        allow_redirects=False,
    )
    match await fetch_whole(pending, _MAX_BODY_BYTES):
        case Err(missing):
            return _failure(missing)
        case Ok(response):
            return accept_response(
                response.status, response.content_type, response.body
            )


def accept_response(
    status: int, content_type: str, body: bytes
) -> Result[ServiceResponse, Failure]:
    """Return the response, or a failure if it must not reach a client."""
    if status in NOT_RUN_STATUSES:
        return Err(
            Failure(
                kind=ErrorKind.OUTCOME_UNKNOWN,
                detail=f'service: status {status}, though it may have run',
            ),
        )
    return Ok(
        ServiceResponse(status=status, content_type=content_type, body=body)
    )


def _failure(missing: NoResponse) -> Err[Failure]:
    kind, run_state = (
        (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        if missing.is_sent
        else (ErrorKind.NO_BACKEND_SERVER, RunState.NOT_RUN)
    )
    return Err(
        Failure(
            kind=kind,
            detail=f'service: {missing.detail}',
            run_state=run_state,
        ),
    )
