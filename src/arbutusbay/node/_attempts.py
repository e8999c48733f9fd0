"""Send one attempt to a backend server and judge what comes back."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from arbutusbay.node._incoming import IncomingRequest
from arbutusbay.platform import (
    AnswerHead,
    AttemptOrders,
    EventSplitter,
    StreamEvent,
    answer_head_from,
    headers_to_client,
    headers_to_engine,
)
from arbutusbay.scheduling import EngineView, Outcome

_CONNECT_S = 0.4
_REFUSAL_BODY_S = 0.1
_STATUS_CLASS = 100
_SUCCESS_CLASS = 2
_SERVER_ERROR_CLASS = 5


@attrs.frozen(kw_only=True)
class Answer:
    """Hold a whole answer of a backend server."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """Say why an attempt gave no answer to pass on.

    ``answer`` is set where the backend server ran the request and failed;
    ``is_mismatch`` where it was not what the attempt expected, and then
    ``instance`` names who answered, if that was told.
    """

    outcome: Outcome
    detail: str
    answer: Answer | None = None
    is_mismatch: bool = False
    instance: str = ''


@attrs.frozen(kw_only=True)
class OpenAnswer:
    """Hold an answer whose body is still to be read."""

    response: aiohttp.ClientResponse
    head: AnswerHead

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return _status_class(self.status) == _SUCCESS_CLASS

    def headers(self) -> CIMultiDict[str]:
        """Return the headers for the client."""
        return headers_to_client(self.response.headers.items())

    async def events(self) -> AsyncIterator[Result[StreamEvent, str]]:
        """Yield whole events; an error ends a stream that was cut."""
        splitter = EventSplitter()
        try:
            async for chunk in self.response.content.iter_any():
                for event in splitter.feed(chunk):
                    yield Ok(event)
        except (aiohttp.ClientError, OSError) as error:
            yield Err(repr(error))
            return
        if splitter.rest:
            yield Err('the stream ended within an event')

    async def whole(self) -> Result[Answer, AttemptFailure]:
        """Return the whole answer, or that it was cut."""
        try:
            body = await self.response.read()
        except (aiohttp.ClientError, OSError) as error:
            return _unknown(f'answer was cut: {error!r}')
        answer = Answer(
            status=self.status,
            headers=self.headers(),
            body=body,
        )
        if _status_class(self.status) == _SERVER_ERROR_CLASS:
            return Err(
                AttemptFailure(
                    outcome=Outcome.RAN_AND_FAILED,
                    detail=f'status {self.status}',
                    answer=answer,
                ),
            )
        return Ok(answer)


@asynccontextmanager
async def open_attempt(
    session: aiohttp.ClientSession,
    view: EngineView,
    incoming: IncomingRequest,
    body: bytes,
    orders: AttemptOrders,
) -> AsyncIterator[Result[OpenAnswer, AttemptFailure]]:
    """Send the request once; leaving early closes the connection."""
    url = URL(f'http://{view.address}{incoming.target}', encoded=True)
    try:
        response = await session.request(
            incoming.method,
            url,
            headers=headers_to_engine(incoming.headers, orders),
            data=body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=_CONNECT_S,
            ),
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        yield _not_sent(repr(error))
        return
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        yield _unknown(f'no answer: {error!r}')
        return
    try:
        yield await _judge_head(incoming, response)
    finally:
        response.close() if _is_unread(response) else response.release()


async def _judge_head(
    incoming: IncomingRequest,
    response: aiohttp.ClientResponse,
) -> Result[OpenAnswer, AttemptFailure]:
    head = answer_head_from(response.headers)
    is_rejected = (
        head.is_not_run or response.status == HTTPStatus.MISDIRECTED_REQUEST
    )
    is_foreign = head.attempt_id != incoming.id
    if is_foreign and (head.attempt_id or not is_rejected):
        response.close()
        return _unknown('the answer belongs to another attempt')
    if is_rejected:
        await _read_rest(response)
        return Err(
            AttemptFailure(
                outcome=Outcome.REJECTED,
                detail=f'status {response.status}, not run',
                is_mismatch=response.status == HTTPStatus.MISDIRECTED_REQUEST,
                instance=head.instance,
            ),
        )
    is_success = _status_class(response.status) == _SUCCESS_CLASS
    if is_success and not head.is_stamped:
        response.close()
        return _unknown('the answer has no stamp')
    if head.is_encoded:
        response.close()
        return _unknown('the answer is encoded')
    return Ok(OpenAnswer(response=response, head=head))


def _status_class(status: int) -> int:
    return status // _STATUS_CLASS


async def _read_rest(response: aiohttp.ClientResponse) -> None:
    """Read a refusal's body, so that the connection can be used again."""
    try:
        async with asyncio.timeout(_REFUSAL_BODY_S):
            await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        response.close()


def _is_unread(response: aiohttp.ClientResponse) -> bool:
    return not response.content.is_eof()


def _unknown(detail: str) -> Err[AttemptFailure]:
    return Err(AttemptFailure(outcome=Outcome.UNKNOWN, detail=detail))


def _not_sent(detail: str) -> Err[AttemptFailure]:
    return Err(AttemptFailure(outcome=Outcome.NOT_SENT, detail=detail))
