"""Send one attempt of a request to a backend server.

The response is validated, and failures are classified by whether the server
may have executed the request.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from arbutusbay.client_connections import is_ended_here
from arbutusbay.clock import milliseconds, now_s
from arbutusbay.errors import NOT_RUN_STATUSES, require_executed
from arbutusbay.held_bytes import UNBOUNDED_BODIES
from arbutusbay.logs import get_logger
from arbutusbay.node._http_client import (
    ConnectionResponse,
    RecordingConnection,
)
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.own_pauses import OwnPauses
from arbutusbay.platform import (
    AttemptHeaders,
    ResponseHead,
    ServerSentEvent,
    ServerSentEventParser,
    build_backend_headers,
    build_client_headers,
    parse_response_head,
)
from arbutusbay.responses import BodyEnd, WholeBody, body_end, read_body
from arbutusbay.scheduling import (
    AttemptOutcome,
    EngineView,
    ResponseProgress,
)
from arbutusbay.turns import Turn

_LOG = get_logger('attempt')
_CONNECT_TIMEOUT_S = 0.4
_DRAIN_TIMEOUT_S = 0.1
_MAX_DRAINED_BYTES = 65_536
_MAX_BODY_BYTES = 8_388_608
_PIECE_BYTES = 16_384
_STATUS_CLASS_SIZE = 100
_SUCCESS_CLASS = 2
_SERVER_ERROR_CLASS = 5


@attrs.frozen(kw_only=True)
class BufferedResponse:
    """Represent a whole response of a backend server that ran a request.

    A refusal that is proved to belong to the request is an ``AttemptFailure``.
    Any other response may be to a request that ran, so its ``status`` must not
    be one of ``NOT_RUN_STATUSES``.
    """

    status: int = attrs.field(validator=require_executed)
    headers: CIMultiDict[str]
    body: WholeBody


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """Describe a failed attempt.

    ``error_response`` holds the response if the backend server executed the
    request and reported a server error. ``is_expectation_mismatch`` is set if
    the server rejected the attempt because its instance id or weights version
    differs from the expected one; ``reported_instance`` is then the id it
    reported, empty if none. ``response_head`` holds the headers of a response
    that belongs to the attempt, or of a refusal that may belong to another one
    of this server, None if there was none. ``progress`` is how far the
    response had come, ``is_connection_lost`` means that it broke there.
    ``body_end`` is what would have shown the end of its body, None without a
    head. ``is_ended_here`` is set if this VM ended the attempt.
    """

    outcome: AttemptOutcome
    detail: str
    error_response: BufferedResponse | None = None
    is_expectation_mismatch: bool = False
    reported_instance: str = ''
    response_head: ResponseHead | None = None
    progress: ResponseProgress = ResponseProgress.NOT_STARTED
    is_connection_lost: bool = False
    body_end: BodyEnd | None = None
    is_ended_here: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the backend server may have executed the request."""
        return self.outcome not in {
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.REJECTED,
        }


@attrs.frozen(kw_only=True)
class BrokenStream:
    """Hold why a stream ended early, and whether its connection was lost."""

    detail: str
    is_connection_lost: bool


@attrs.frozen(kw_only=True)
class OpenResponse:
    """Represent a response whose headers are read but not its body."""

    response: aiohttp.ClientResponse
    parsed_headers: ResponseHead

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return self.response.status

    @property
    def content_type(self) -> str:
        """Return the media type of the body."""
        return self.response.content_type

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return _status_class(self.status) == _SUCCESS_CLASS

    @property
    def is_unproved_refusal(self) -> bool:
        """Return whether the status says 'not run' but nothing proves it."""
        return self.status in NOT_RUN_STATUSES

    @property
    def is_failure(self) -> bool:
        """Return whether the server failed to execute the request."""
        is_error = _status_class(self.status) == _SERVER_ERROR_CLASS
        return is_error or self.is_unproved_refusal

    def headers(self) -> CIMultiDict[str]:
        """Return the headers to forward to the client."""
        return build_client_headers(self.response.headers.items())

    @property
    def body_end(self) -> BodyEnd:
        """Return what shows where the body ends."""
        return body_end(self.response)

    @property
    def connection(self) -> RecordingConnection:
        """Return the connection that brings the body."""
        return self.response.used_connection

    @property
    def is_close_delimited(self) -> bool:
        """Return whether the body ends when the connection closes."""
        return self.body_end is BodyEnd.CONNECTION

    async def events(
        self,
    ) -> AsyncIterator[Result[ServerSentEvent, BrokenStream]]:
        """Yield complete events; the last one is an error if the stream broke.

        The stream broke if the connection failed, or ended within an event.
        """
        parser = ServerSentEventParser()
        try:
            async for received in self._parse_events(parser):
                yield received
                if isinstance(received, Err):
                    return
        except (aiohttp.ClientError, OSError) as error:
            yield _broken_stream(
                repr(error), is_connection_lost=not is_ended_here(error)
            )
            return
        rest = parser.take_blank_rest()
        if rest is not None:
            yield Ok(rest)
        elif parser.buffer:
            yield _broken_stream('stream ended in the middle of an event')

    async def read_response(self) -> Result[BufferedResponse, AttemptFailure]:
        """Read the body and return the response, or the failure.

        Fails if the body is incomplete or too long, the status is 5xx, or it
        is one by which the client would repeat a request that may have run.
        """
        match await read_body(self.response, _MAX_BODY_BYTES):
            case Err(cut):
                return _without_whole_response(
                    str(cut),
                    ResponseProgress.STARTING,
                    cut.end,
                    is_connection_lost=not cut.is_too_long,
                )
            case Ok(body):
                pass
        if self.is_unproved_refusal:
            detail = f'status {self.status}, no proof of a refusal'
            return _execution_failure(detail, body.end)
        answer = BufferedResponse(
            status=self.status,
            headers=self.headers(),
            body=body,
        )
        if self.is_failure:
            return _execution_failure(f'status {self.status}', body.end, answer)
        return Ok(answer)

    async def _parse_events(
        self, parser: ServerSentEventParser
    ) -> AsyncIterator[Result[ServerSentEvent, BrokenStream]]:
        """Yield events until the body ends, or an error if they don't."""
        with UNBOUNDED_BODIES.share() as share, Turn() as turn:
            async for chunk in self.response.content.iter_chunked(_PIECE_BYTES):
                turn.begin()
                for event in parser.parse_chunk(chunk):
                    yield Ok(event)
                    await turn.end_if_long()
                if parser.is_overflowing():
                    yield _endless_events('without an event or its end')
                elif not share.hold(len(parser.buffer)):
                    yield _endless_events('beyond the memory for all bodies')


@asynccontextmanager
async def open_attempt(
    session: aiohttp.ClientSession,
    server: EngineView,
    incoming: IncomingRequest,
    body: bytes,
    attempt_headers: AttemptHeaders,
    own_pauses: OwnPauses,
) -> AsyncIterator[Result[OpenResponse, AttemptFailure]]:
    """Send the request once and yield the response, or the failure.

    A connection that was not made in time counts only if this VM ran
    meanwhile. The connection is closed if the context exits before the whole
    body was received, and is otherwise returned to the pool.
    """
    try:
        response = await _send_unless_paused(
            session, server, incoming, body, attempt_headers, own_pauses
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        yield _not_sent(repr(error))
        return
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        yield _without_whole_response(
            f'no response: {error!r}',
            ResponseProgress.NOT_STARTED,
            is_connection_lost=not is_ended_here(error),
        )
        return
    try:
        yield await _validate_response(incoming, response)
    finally:
        response.close() if _has_unread_body(response) else response.release()


async def _send_unless_paused(
    session: aiohttp.ClientSession,
    server: EngineView,
    incoming: IncomingRequest,
    body: bytes,
    attempt_headers: AttemptHeaders,
    own_pauses: OwnPauses,
) -> ConnectionResponse:
    """Send the request; connect once more if this VM paused as it connected.

    Nothing was sent then. Raises the errors of aiohttp.
    """
    started_s = now_s()
    try:
        return await _send(session, server, incoming, body, attempt_headers)
    except aiohttp.ConnectionTimeoutError:
        if not own_pauses.has_paused_since(started_s, now_s()):
            raise
    _LOG.info(
        'connects again after a pause of this VM',
        fields={
            'request_id': incoming.attempt_id,
            'server': server.id,
            'waited_ms': milliseconds(now_s() - started_s),
        },
    )
    return await _send(session, server, incoming, body, attempt_headers)


async def _send(
    session: aiohttp.ClientSession,
    server: EngineView,
    incoming: IncomingRequest,
    body: bytes,
    attempt_headers: AttemptHeaders,
) -> ConnectionResponse:
    url = URL(f'http://{server.address}{incoming.target}', encoded=True)
    return await session.request(
        incoming.method,
        url,
        headers=build_backend_headers(incoming.headers, attempt_headers),
        data=body or None,
        allow_redirects=False,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
        ),
    )


async def _validate_response(
    incoming: IncomingRequest,
    response: ConnectionResponse,
) -> Result[OpenResponse, AttemptFailure]:
    head = parse_response_head(response.headers)
    if head.is_not_executed or _is_mismatch(response):
        return await _validate_refusal(incoming, response, head)
    if head.attempt_id != incoming.attempt_id:
        response.close_connection()
        return _unknown_outcome('response lacks the id of this attempt')
    is_success = _status_class(response.status) == _SUCCESS_CLASS
    if is_success and not head.has_response_stamp:
        response.close()
        return _unknown_outcome('response has no Response-Stamp header')
    if head.has_content_encoding:
        response.close()
        return _unknown_outcome('response has a Content-Encoding header')
    return Ok(OpenResponse(response=response, parsed_headers=head))


async def _validate_refusal(
    incoming: IncomingRequest,
    response: ConnectionResponse,
    head: ResponseHead,
) -> Err[AttemptFailure]:
    """Return that the attempt was rejected if that is proved."""
    history = response.connection_history
    if not history.proves_refusal(incoming.attempt_id, head.attempt_id):
        response.close_connection()
        return Err(
            AttemptFailure(
                outcome=AttemptOutcome.UNKNOWN,
                detail=f'status {response.status}, maybe to another attempt',
                response_head=head,
            ),
        )
    history.record_refusal(incoming.attempt_id)
    # After a mismatch the same server may get the same id again, which must
    # not be on a connection where a refusal bore it.
    if _is_mismatch(response) or history.is_full:
        response.close_connection()
    else:
        await _drain_body(response)
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.REJECTED,
            detail=f'status {response.status}, rejected without running',
            is_expectation_mismatch=_is_mismatch(response),
            reported_instance=head.instance,
            response_head=head,
        ),
    )


def _is_mismatch(response: aiohttp.ClientResponse) -> bool:
    return response.status == HTTPStatus.MISDIRECTED_REQUEST


def _status_class(status: int) -> int:
    return status // _STATUS_CLASS_SIZE


async def _drain_body(response: aiohttp.ClientResponse) -> None:
    """Drain the body of a rejection so that the connection can be reused.

    The connection is closed if that fails or takes too long.
    """
    try:
        async with asyncio.timeout(_DRAIN_TIMEOUT_S):
            body = await read_body(response, _MAX_DRAINED_BYTES)
    except TimeoutError:
        response.close()
        return
    if body.is_err():
        response.close()


def _has_unread_body(response: aiohttp.ClientResponse) -> bool:
    return not response.content.is_eof()


def _execution_failure(
    detail: str, end: BodyEnd, answer: BufferedResponse | None = None
) -> Err[AttemptFailure]:
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.RAN_AND_FAILED,
            detail=detail,
            error_response=answer,
            body_end=end,
        )
    )


def _unknown_outcome(detail: str) -> Err[AttemptFailure]:
    return Err(AttemptFailure(outcome=AttemptOutcome.UNKNOWN, detail=detail))


def _broken_stream(
    detail: str, *, is_connection_lost: bool = True
) -> Err[BrokenStream]:
    return Err(
        BrokenStream(detail=detail, is_connection_lost=is_connection_lost)
    )


def _endless_events(cause: str) -> Err[BrokenStream]:
    return _broken_stream(f'bytes {cause}', is_connection_lost=False)


def _without_whole_response(
    detail: str,
    progress: ResponseProgress,
    end: BodyEnd | None = None,
    *,
    is_connection_lost: bool,
) -> Err[AttemptFailure]:
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.UNKNOWN,
            detail=detail,
            progress=progress,
            is_connection_lost=is_connection_lost,
            body_end=end,
        )
    )


def _not_sent(detail: str) -> Err[AttemptFailure]:
    return Err(AttemptFailure(outcome=AttemptOutcome.NOT_SENT, detail=detail))
