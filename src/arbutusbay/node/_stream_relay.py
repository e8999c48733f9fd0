"""Relay a stream of events to a client.

If an attempt fails midway and the route is resumable, the stream is resumed
on another attempt from the last relayed event.
"""

import asyncio
import enum

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import Failure
from arbutusbay.logs import get_logger
from arbutusbay.node._attempts import (
    AttemptFailure,
    BrokenStream,
    BufferedResponse,
    OpenResponse,
)
from arbutusbay.node._placement import Placement, ResumePoint
from arbutusbay.node._request_executor import RequestExecutor
from arbutusbay.node._stall_detector import (
    MonitoredAttempt,
    aborted_attempt_failure,
)
from arbutusbay.platform import ServerSentEvent
from arbutusbay.scheduling import (
    AttemptOutcome,
    ResponseProgress,
    RetryAction,
)

_LOG = get_logger('stream')
_RESPONSE_START_S = 0.3


_EMPTY_STREAM = BrokenStream(
    detail='connection closed before the first event', is_connection_lost=True
)


@attrs.frozen(kw_only=True)
class StreamCompleted:
    """Report that the stream was relayed to its end."""


class CutReason(enum.StrEnum):
    """Name why a stream ended after its response had started.

    ``DEADLINE``: the time of the route ran out. ``BROKEN``: the engine broke
    off, and the stream may not be resumed. ``SILENT``: this VM ended the
    attempt, and did not send another one. ``NO_REPLACEMENT``: no engine was
    found to resume it.
    """

    DEADLINE = 'deadline'
    BROKEN = 'broken'
    SILENT = 'silent'
    NO_REPLACEMENT = 'no_replacement'


@attrs.frozen(kw_only=True)
class StreamAborted:
    """Report that a stream failed after its response had started.

    The status is already sent, so the caller must abort the connection.
    """

    reason: CutReason
    detail: str


StreamResult = StreamCompleted | StreamAborted | BufferedResponse | Failure


@attrs.define(kw_only=True)
class StreamTiming:
    """Measure the timing of the events relayed to the client.

    Times ending in ``_s`` are in seconds on the clock of ``now_s``, except
    ``longest_gap_s``, which is a duration. ``first_event_s`` is None until the
    first event.
    """

    event_count: int = 0
    first_event_s: float | None = None
    latest_event_s: float = 0.0
    longest_gap_s: float = 0.0
    longest_gap_end_s: float = 0.0

    def record_event(self) -> None:
        """Record that an event was relayed now."""
        moment_s = now_s()
        if self.first_event_s is None:
            self.first_event_s = moment_s
        else:
            gap_s = moment_s - self.latest_event_s
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.longest_gap_end_s = moment_s
        self.latest_event_s = moment_s
        self.event_count += 1


@attrs.define(kw_only=True)
class StreamProgress:
    """Track how far the stream of one attempt has come.

    ``started_s`` is the time of its first event, None before that.
    ``has_earlier_events`` tells that an attempt before had events.
    """

    has_earlier_events: bool
    started_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no attempt had an event."""
        return self.started_s is None and not self.has_earlier_events

    def record_event(self, moment_s: float) -> None:
        """Record an event of this attempt."""
        if self.started_s is None:
            self.started_s = moment_s

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
        self, *, executor: RequestExecutor, request: web.BaseRequest
    ) -> None:
        """Relay the stream that ``executor`` obtains for ``request``."""
        self.executor = executor
        self.request = request
        self.response: web.StreamResponse | None = None
        executor.resume_point = ResumePoint(
            event_id=executor.incoming.parsed_headers.last_event_id
        )
        self.event_timing = StreamTiming()

    async def relay(self) -> StreamResult:
        """Relay until the stream ends, fails or exceeds its deadline.

        Returns ``StreamAborted`` if it failed once the response had started.
        Before that, a failure is returned as a ``BufferedResponse`` or a
        ``Failure``, which the caller sends.
        """
        try:
            async with asyncio.timeout(
                max(0, self.executor.incoming.remaining_s()),
            ):
                return await self._relay_attempts()
        except TimeoutError:
            if self.response is not None:
                return StreamAborted(
                    reason=CutReason.DEADLINE,
                    detail='the time of the route ran out',
                )
            return self.executor.deadline_failure()

    async def _relay_attempts(self) -> StreamResult:
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
    ) -> Result[StreamResult, AttemptFailure]:
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
    ) -> Result[StreamResult, AttemptFailure]:
        match opened:
            case Err() as failed:
                return failed
            case Ok(answer):
                pass
        if not answer.is_success:
            return await answer.read_response()
        return await self._relay_events(monitored, answer)

    async def _relay_events(
        self,
        monitored: MonitoredAttempt,
        answer: OpenResponse,
    ) -> Result[StreamResult, AttemptFailure]:
        progress = StreamProgress(
            has_earlier_events=bool(self.executor.resume_point.event_id)
        )
        version = answer.parsed_headers.weights_version
        async for received in answer.events():
            match received:
                case Err(broken):
                    return _stream_failure(broken, progress)
                case Ok(event):
                    pass
            if monitored.is_ending:
                # Its next attempt resumes after the last event that went out.
                return aborted_attempt_failure(monitored)
            if not self._is_expected(event):
                return _stream_failure(self._event_gap(event), progress)
            if progress.started_s is None:
                self._record_start(monitored)
            progress.record_event(now_s())
            # An event names its weights only where they change.
            if event.weights_version is not None:
                version = event.weights_version
            self._advance(event, version)
            monitored.is_relaying = True
            await self._write_event(answer, event)
            monitored.record_event(now_s())
        if progress.is_empty and answer.is_close_delimited:
            return _stream_failure(_EMPTY_STREAM, progress)
        monitored.view.record_success(now_s())
        self._record_sound_response(monitored, answer, progress)
        return await self._finish_response(answer)

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

    def _record_start(self, monitored: MonitoredAttempt) -> None:
        """Update the prefill time estimate from the first event."""
        monitored.view.occupancy.record_first_event(monitored.attempt)
        self.executor.dependencies.dispatcher.record_first_event(
            monitored.attempt, monitored.view
        )

    async def _finish_response(
        self,
        answer: OpenResponse,
    ) -> Result[StreamResult, AttemptFailure]:
        if self.response is None:
            self.response = await self._start_response(answer)
        await self.response.write_eof()
        return Ok(StreamCompleted())

    async def _write_event(
        self, answer: OpenResponse, event: ServerSentEvent
    ) -> None:
        if self.response is None:
            self.response = await self._start_response(answer)
        await self.response.write(event.raw_bytes)
        self.event_timing.record_event()

    async def _start_response(self, answer: OpenResponse) -> web.StreamResponse:
        response = web.StreamResponse(
            status=answer.status,
            headers=answer.headers(),
        )
        if self.executor.dependencies.node_state.is_stopping:
            response.force_close()
        response.enable_chunked_encoding()
        await response.prepare(self.request)
        return response

    def _advance(self, event: ServerSentEvent, version: int | None) -> None:
        """Move the point to resume at behind an event that goes out now."""
        event_id = event.event_id
        if event_id is None:
            event_id = self.executor.resume_point.event_id
        self.executor.resume_point = ResumePoint(
            event_id=event_id, weights_version=version
        )

    def _is_expected(self, event: ServerSentEvent) -> bool:
        last_event_id = self.executor.resume_point.event_id
        if event.event_id is None or not last_event_id:
            return True
        return event.event_id == last_event_id + 1

    def _placement_failure_result(self, failure: Failure) -> StreamResult:
        if self.response is not None:
            return StreamAborted(
                reason=CutReason.NO_REPLACEMENT, detail=failure.detail
            )
        return failure

    def _attempt_failure_result(self, failure: AttemptFailure) -> StreamResult:
        if self.response is not None:
            return StreamAborted(
                reason=CutReason.SILENT
                if failure.is_ended_here
                else CutReason.BROKEN,
                detail=failure.detail,
            )
        match self.executor.final_result(failure):
            case Ok(answer):
                return answer
            case Err(refusal):
                return refusal


def _stream_failure(
    broken: BrokenStream, progress: StreamProgress
) -> Err[AttemptFailure]:
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.UNKNOWN,
            detail=broken.detail,
            is_connection_lost=broken.is_connection_lost,
            progress=ResponseProgress.UNDERWAY
            if progress.is_underway(now_s())
            else ResponseProgress.STARTING,
        )
    )
