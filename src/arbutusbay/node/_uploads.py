"""Read the bodies of client requests within their limits."""

from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.held_bytes import ByteShare
from arbutusbay.node._client_stream import invite_body
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._request_limit import limit_upload
from arbutusbay.node._stop_decision import refuse_for_stop

_RETRY_AFTER_S = 0.5


async def read_upload(
    node_state: NodeState,
    request: web.BaseRequest,
    incoming: IncomingRequest,
    share: ByteShare,
) -> Result[bytes, Failure]:
    """Return the body, which is held in ``share``.

    Fails if it is too long, too slow, or finds no room beside other bodies.
    """
    try:
        async with limit_upload(node_state, incoming):
            return await _read_body(
                request, share, node_state.client_limits.max_body_bytes
            )
    except TimeoutError:
        return Err(
            refuse_for_stop(node_state, incoming, point='upload')
            or Failure(
                kind=ErrorKind.UPLOAD_TIMEOUT,
                detail='request body did not arrive before the deadline',
            ),
        )


async def _read_body(
    request: web.BaseRequest, share: ByteShare, limit_bytes: int
) -> Result[bytes, Failure]:
    if not request.can_read_body:
        return Ok(b'')
    invite_body(request)
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return Err(
                Failure(
                    kind=ErrorKind.BODY_TOO_LARGE,
                    detail=f'request body exceeds {limit_bytes} bytes',
                ),
            )
        if not share.hold(size_bytes):
            return Err(
                Failure(
                    kind=ErrorKind.OVERLOADED,
                    detail='no memory for the body beside the others',
                    retry_after_s=_RETRY_AFTER_S,
                ),
            )
        chunks.append(chunk)
    return Ok(b''.join(chunks))
