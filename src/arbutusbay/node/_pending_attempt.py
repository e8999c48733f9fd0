"""Send an attempt while the one before it may still go on."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from result import Err, Ok, Result

from arbutusbay.node._attempts import AttemptFailure, OpenResponse
from arbutusbay.node._http_client import ON_REQUEST_SENT
from arbutusbay.node._placement import Placement
from arbutusbay.scheduling import AttemptOutcome

_MAX_HEADLESS_S = 1.0

Opened = Result[OpenResponse, AttemptFailure]

_HEADLESS = AttemptFailure(
    outcome=AttemptOutcome.WITHDRAWN,
    detail='no response to a move in time',
    is_ended_here=True,
)


class PendingAttempt:
    """Hold an attempt that is sent, and that nothing has taken over yet.

    Its connection is opened and closed in a task of its own. ``opened``
    resolves to its response with an unread body.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        sending: AbstractAsyncContextManager[Opened],
    ) -> None:
        """Send the attempt at ``placement`` by entering ``sending``."""
        self.placement = placement
        self.opened: asyncio.Future[Opened] = (
            asyncio.get_running_loop().create_future()
        )
        self.is_decided = asyncio.Event()
        self.has_ended = asyncio.Event()
        self.task = asyncio.create_task(self._send(sending))
        self.task.add_done_callback(self._handle_end)

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have begun to work on the request.

        A server begins with the first part of its response.
        """
        if not self.opened.done():
            return False
        match self.opened.result():
            case Err(failure):
                return failure.may_have_run
        return True

    async def find_refusal(
        self, may_continue_with: Callable[[OpenResponse], bool]
    ) -> AttemptFailure | None:
        """Return why the server does not go on, None once it has accepted.

        Only the head of its response shows that. A server that has the request
        for too long without one may be silent as well. Raises what the sending
        did.
        """
        await self.is_decided.wait()
        if not self.opened.done():
            return _HEADLESS
        match self.opened.result():
            case Ok(answer) if may_continue_with(answer):
                return None
            case Ok(answer):
                return unfit_response(answer)
            case Err(failure):
                return failure

    @asynccontextmanager
    async def take_over(self) -> AsyncIterator[Opened]:
        """Yield the response of the attempt, which ends with the context."""
        try:
            yield await asyncio.shield(self.opened)
        finally:
            self.close()

    def close(self) -> None:
        """End the attempt; its connection is closed unless it is complete."""
        self.has_ended.set()
        if not self.opened.done():
            self.task.cancel()

    async def _send(self, sending: AbstractAsyncContextManager[Opened]) -> None:
        ON_REQUEST_SENT.set(self._record_sent)
        async with sending as opened:
            self.opened.set_result(opened)
            self.is_decided.set()
            await self.has_ended.wait()

    def _record_sent(self) -> None:
        asyncio.get_running_loop().call_later(
            _MAX_HEADLESS_S, self.is_decided.set
        )

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        """Pass on what ended the task before there was a response."""
        if self.opened.done():
            return
        if task.cancelled():
            self.opened.cancel()
        else:
            self.opened.set_exception(task.exception())
        self.is_decided.set()


def unfit_response(answer: OpenResponse) -> AttemptFailure:
    """Return the failure of an attempt whose response can't be passed on."""
    return AttemptFailure(
        outcome=AttemptOutcome.RAN_AND_FAILED,
        detail=f'status {answer.status} and {answer.content_type} '
        'do not continue the response',
    )
