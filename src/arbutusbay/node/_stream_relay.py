"""Relay a stream of events to a client.

If an attempt fails midway and the route is resumable, the stream is resumed
on another attempt from the last relayed event.
"""

import attrs
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import Failure
from arbutusbay.node._attempts import (
    AttemptFailure,
    BrokenStream,
    BufferedResponse,
    OpenResponse,
)
from arbutusbay.node._client_stream import (
    ClientExchange,
    ClientStream,
    CutReason,
    StreamCompleted,
    StreamEnd,
)
from arbutusbay.node._monitored_attempt import (
    MonitoredAttempt,
    aborted_attempt_failure,
)
from arbutusbay.node._pending_attempt import unfit_response
from arbutusbay.node._placement import Placement, ResumePoint
from arbutusbay.node._request_executor import RequestExecutor
from arbutusbay.node._request_limit import limit_request
from arbutusbay.node._stop_decision import is_too_late_to_send
from arbutusbay.platform import ServerSentEvent
from arbutusbay.scheduling import (
    AttemptOutcome,
    ResponseProgress,
    RetryAction,
)

_RESPONSE_START_S = 0.3

_EMPTY_STREAM = BrokenStream(
    detail='connection closed before the first event', is_connection_lost=True
)


@attrs.frozen(kw_only=True)
class UnfinishedStream:
    """Hold why a stream did not come to its end.

    ``answer`` is sent if no head of a stream is out; otherwise the stream is
    cut for ``reason``.
    """

    reason: CutReason
    detail: str
    answer: BufferedResponse | Failure


StreamResult = StreamEnd | BufferedResponse | Failure


@attrs.define(kw_only=True)
class StreamProgress:
    """Track how far the stream of one attempt has come.

    ``started_s`` is the time of its first event, None before that. It
    ``is_in_place`` unless it resumes a stream and no number of an event has
    shown yet where it goes on.
    """

    is_in_place: bool
    started_s: float | None = None

    def is_underway(self, moment_s: float) -> bool:
        """Return whether the stream has gone on after its first event."""
        return (
            self.started_s is not None
            and moment_s - self.started_s > _RESPONSE_START_S
        )


class StreamRelay:
    """Relay one stream to a client, each numbered event exactly once.

    A stream is resumed only on an engine that runs the weights version of
    the last relayed event.
    """

    def __init__(
        self, *, executor: RequestExecutor, exchange: ClientExchange
    ) -> None:
        """Relay the stream that ``executor`` obtains to ``exchange``."""
        self.executor = executor
        self.exchange = exchange
        executor.resume_point = ResumePoint(
            event_id=executor.incoming.parsed_headers.last_event_id
        )
        executor.mover.may_continue_with = self._may_continue_with

    async def relay(self) -> StreamResult:
        """Relay until the stream ends, fails or exceeds its deadline.

        Once the head of a stream is out, the result is a ``StreamEnd``. Before
        that, a failure is returned as a ``BufferedResponse`` or a ``Failure``,
        which the caller sends.
        """
        try:
            async with limit_request(
                self.executor.dependencies.node_state, self.executor.incoming
            ):
                relayed = await self._relay_attempts()
        except TimeoutError:
            relayed = self._deadline_result()
        match relayed, self.exchange.stream:
            case UnfinishedStream(), ClientStream() as stream:
                return stream.cut(relayed.reason, relayed.detail)
            case UnfinishedStream(), _:
                return relayed.answer
        return relayed

    def _may_continue_with(self, answer: OpenResponse) -> bool:
        """Return whether ``answer`` may follow what the client received."""
        stream = self.exchange.stream
        if stream is None:
            return answer.is_success
        return stream.can_continue_with(answer)

    async def _relay_attempts(self) -> StreamCompleted | UnfinishedStream:
        while True:
            match await self.executor.place():
                case Err(refused):
                    return self._placement_failure_result(refused)
                case Ok(placement):
                    pass
            match await self._relay_attempt(placement):
                case Ok(relayed):
                    return relayed
                case Err(failure):
                    pass
            action = await self.executor.record_failed_attempt(
                placement, failure
            )
            if action is RetryAction.RETURN_FAILURE:
                return self._attempt_failure_result(failure)

    async def _relay_attempt(
        self,
        placement: Placement,
    ) -> Result[StreamCompleted | UnfinishedStream, AttemptFailure]:
        monitored = None
        try:
            async with (
                self.executor.monitor_attempt(placement) as monitored,
                self.executor.send_attempt(placement) as opened,
            ):
                return await self._relay_response(monitored, opened)
        except TimeoutError:
            return aborted_attempt_failure(monitored)

    async def _relay_response(
        self,
        monitored: MonitoredAttempt,
        opened: Result[OpenResponse, AttemptFailure],
    ) -> Result[StreamCompleted | UnfinishedStream, AttemptFailure]:
        match opened:
            case Err() as failed:
                return failed
            case Ok(answer):
                pass
        stream = self.exchange.stream
        if stream is not None and not stream.can_continue_with(answer):
            return Err(unfit_response(answer))
        if not answer.is_success:
            return (await answer.read_response()).map(_answer_instead)
        with self.exchange.reading_from(answer):
            return await self._relay_events(monitored, answer)

    async def _relay_events(
        self,
        monitored: MonitoredAttempt,
        answer: OpenResponse,
    ) -> Result[StreamCompleted, AttemptFailure]:
        progress = StreamProgress(is_in_place=self.exchange.stream is None)
        version = answer.parsed_headers.weights_version
        async for received in answer.events():
            match received:
                case Err(broken):
                    return _stream_failure(broken, progress, answer)
                case Ok(event):
                    pass
            if monitored.is_ending:
                # Its next attempt resumes after the last event that went out.
                return aborted_attempt_failure(monitored)
            if not self._is_expected(event, progress):
                return _stream_failure(self._event_gap(event), progress, answer)
            # An event names its weights only where they change.
            if event.weights_version is not None:
                version = event.weights_version
            self._advance(event, version)
            if not event.is_comment:
                self.executor.last_event_s = now_s()
                self._record_event(monitored, progress)
            await self._send_event(monitored, answer, event)
        return await self._end_events(monitored, answer, progress)

    async def _end_events(
        self,
        monitored: MonitoredAttempt,
        answer: OpenResponse,
        progress: StreamProgress,
    ) -> Result[StreamCompleted, AttemptFailure]:
        """End the stream to the client behind the last event."""
        if progress.started_s is None and answer.is_close_delimited:
            return _stream_failure(_EMPTY_STREAM, progress, answer)
        if not monitored.keep():
            return aborted_attempt_failure(monitored)
        self.executor.dependencies.feedback.record_success(
            monitored.view,
            self.executor.incoming.route,
            monitored.attempt.sent_s,
        )
        self._record_sound_response(monitored, answer, progress)
        self.executor.mover.drop(monitored)
        # The engine has nothing left to send; the client may read slowly.
        monitored.is_relaying = True
        stream = await self._stream(answer)
        return Ok(await stream.complete(answer.body_end))

    async def _send_event(
        self,
        monitored: MonitoredAttempt,
        answer: OpenResponse,
        event: ServerSentEvent,
    ) -> None:
        """Pass an event on; the client is awaited meanwhile.

        A comment does not show that the engine goes on with its work.
        """
        began_s = now_s()
        monitored.is_relaying = True
        await (await self._stream(answer)).write_event(event)
        if event.is_comment:
            monitored.end_relaying(now_s() - began_s)
        else:
            monitored.record_event(now_s())

    def _event_gap(self, event: ServerSentEvent) -> BrokenStream:
        return BrokenStream(
            detail=f'received event {event.event_id} after event '
            f'{self.executor.resume_point.event_id}',
            is_connection_lost=False,
        )

    def _record_sound_response(
        self,
        monitored: MonitoredAttempt,
        answer: OpenResponse,
        progress: StreamProgress,
    ) -> None:
        """Record a stream that ended as sound, if it had any event.

        A stream that ends with its connection may have lost its engine.
        """
        if progress.started_s is None:
            return
        self.executor.evidence.record_sound_response(
            monitored.view,
            progress.started_s,
            is_end_certain=not answer.is_close_delimited
            or progress.is_underway(now_s()),
        )

    def _record_event(
        self, monitored: MonitoredAttempt, progress: StreamProgress
    ) -> None:
        """Record that the engine goes on.

        The first event updates the estimate of the prefill time.
        """
        self.executor.mover.drop(monitored)
        if progress.started_s is not None:
            return
        progress.started_s = now_s()
        monitored.view.occupancy.record_first_event(monitored.attempt)
        self.executor.dependencies.dispatcher.record_first_event(
            monitored.attempt, monitored.view
        )

    async def _stream(self, answer: OpenResponse) -> ClientStream:
        """Return the stream to the client, which ``answer`` may start."""
        return self.exchange.stream or await self.exchange.start_stream(
            answer,
            closes=self.executor.dependencies.node_state.is_stopping,
        )

    def _advance(self, event: ServerSentEvent, version: int | None) -> None:
        """Move the point to resume at behind an event that goes out now."""
        point = self.executor.resume_point
        if event.is_comment:
            self.executor.resume_point = attrs.evolve(
                point, weights_version=version
            )
            return
        self.executor.resume_point = ResumePoint(
            event_id=point.event_id
            if event.event_id is None
            else event.event_id,
            weights_version=version,
            is_certain=bool(event.event_id),
        )

    def _is_expected(
        self, event: ServerSentEvent, progress: StreamProgress
    ) -> bool:
        if event.event_id is None:
            return event.is_comment or progress.is_in_place
        progress.is_in_place = True
        last_event_id = self.executor.resume_point.event_id
        return not last_event_id or event.event_id == last_event_id + 1

    def _deadline_result(self) -> UnfinishedStream:
        failure = self.executor.deadline_failure()
        if self.executor.dependencies.node_state.is_ending:
            return UnfinishedStream(
                reason=CutReason.SHUTDOWN,
                detail=failure.detail,
                answer=failure,
            )
        return UnfinishedStream(
            reason=CutReason.DEADLINE,
            detail='the time of the route ran out',
            answer=failure,
        )

    def _placement_failure_result(self, failure: Failure) -> UnfinishedStream:
        is_too_late = is_too_late_to_send(
            self.executor.dependencies.node_state, self.executor.incoming
        )
        return UnfinishedStream(
            reason=CutReason.SHUTDOWN
            if is_too_late
            else CutReason.NO_REPLACEMENT,
            detail=failure.detail,
            answer=failure,
        )

    def _attempt_failure_result(
        self, failure: AttemptFailure
    ) -> UnfinishedStream:
        return UnfinishedStream(
            reason=CutReason.SILENT
            if failure.is_ended_here
            else CutReason.BROKEN,
            detail=failure.detail,
            answer=self.executor.attempt_history.final_failure(failure),
        )


def _answer_instead(answer: BufferedResponse) -> UnfinishedStream:
    """Return that the engine answered with something else than a stream."""
    return UnfinishedStream(
        reason=CutReason.BROKEN,
        detail=f'status {answer.status}',
        answer=answer,
    )


def _stream_failure(
    broken: BrokenStream, progress: StreamProgress, answer: OpenResponse
) -> Err[AttemptFailure]:
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.UNKNOWN,
            detail=broken.detail,
            is_connection_lost=broken.is_connection_lost,
            progress=ResponseProgress.UNDERWAY
            if progress.is_underway(now_s())
            else ResponseProgress.STARTING,
            body_end=answer.body_end,
        )
    )
