"""Run one completion: choose an engine, relay its stream, retry and resume."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import aclosing

import attrs
from result import Err, Ok, Result

from arbutusbay.backend import (
    GenerationEnd,
    TextPiece,
)
from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.router._attempt import (
    Attempt,
    AttemptOpener,
    engine_process_of,
)
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._event_reader import EngineEvent
from arbutusbay.router._event_recorder import EventRecorder
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._prompt_quarantine import refuse_job, segment_keys_of
from arbutusbay.router._run_progress import (
    CompletionRequest,
    RunProgress,
    StopReason,
    first_piece_time_left_s,
    is_unreached,
    next_piece_deadline_s,
    time_left_s,
)
from arbutusbay.router._shared_state import RouterState
from arbutusbay.router._silence_handler import (
    SilenceHandler,
    log_stop,
)
from arbutusbay.router._stop_decision import refuse_job_for_stop

_REFUSAL_PAUSE_S = 0.1

RelayEvent = Result[TextPiece | GenerationEnd, Failure]


class GenerationRun:
    """Relay the output of one request in order and without duplicates."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        metrics: RouterMetrics,
        session: object,
        request: CompletionRequest,
    ) -> None:
        """Create a run, which starts when ``relay`` is iterated."""
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.request = request
        self.progress = RunProgress()
        self.opener = AttemptOpener(
            shared_state=shared_state,
            dispatcher=dispatcher,
            session=session,
            request=request,
            progress=self.progress,
        )
        self.event_recorder = EventRecorder(
            shared_state=shared_state,
            metrics=metrics,
            request=request,
            progress=self.progress,
        )
        self.silence_handler = SilenceHandler(
            shared_state=shared_state,
            dispatcher=dispatcher,
            opener=self.opener,
            request=request,
            progress=self.progress,
        )

    async def relay(self) -> AsyncIterator[RelayEvent]:
        """Yield the pieces of output, then the end or one failure.

        After the first piece, any failure is reported as ``STREAM_BROKEN``.
        Before it, a broken stream is reported as ``OUTCOME_UNKNOWN``.
        """
        progress = self.progress
        while True:
            match await self._place():
                case Err(failure):
                    yield Err(self._reported_failure(failure))
                    return
                case Ok(placement):
                    pass
            self._count_attempt()
            async with aclosing(self._relay_attempt(placement)) as events:
                async for event in events:
                    yield event
            if progress.finished:
                return
            if not await self._may_retry():
                yield Err(self._reported_failure(progress.last_failure))
                return

    def _count_attempt(self) -> None:
        self.progress.begin_attempt()
        if self.progress.attempts > 1:
            self.metrics.retries.inc({})

    async def _place(self) -> Result[Placement, Failure]:
        """Return a placement, unless the prompt must not be sent.

        A prompt may be quarantined while it waits for an engine, or the router
        be stopped.
        """
        refused = self._refuse()
        if refused is not None:
            return Err(refused)
        placed = await self._place_in_queue()
        refused = self._refuse()
        match placed:
            case Ok(placement) if refused is not None:
                self.dispatcher.release(placement)
                return Err(refused)
        return placed

    def _refuse(self) -> Failure | None:
        """Return a failure if the request must not be sent now."""
        job = self.request.job
        return refuse_job(self.shared_state, job) or refuse_job_for_stop(
            self.shared_state, job, may_have_run=self.progress.may_have_run
        )

    async def _place_in_queue(self) -> Result[Placement, Failure]:
        context = attrs.evolve(
            self.request.context,
            excluded=self.progress.excluded | self.progress.unreached,
            weights_version=self.progress.weights_version,
        )
        deadline_s = next_piece_deadline_s(self.request.job, self.progress)
        job = attrs.evolve(self.request.job, deadline_s=deadline_s)
        return await self.dispatcher.place(job, context)

    async def _relay_attempt(
        self, placement: Placement
    ) -> AsyncIterator[RelayEvent]:
        """Relay an attempt, and those at engines that it is moved to."""
        self.attempt = self.opener.open(placement)
        try:
            event = await self._next_event()
            while event is not None:
                self.event_recorder.record(event, self.attempt)
                if isinstance(event.ok(), TextPiece | GenerationEnd):
                    yield event
                event = await self._next_event()
        finally:
            await self.attempt.aclose(service_s=self._service_s())

    async def _go_on_with(self, accepted: Attempt) -> None:
        left = self.attempt
        self.attempt = accepted
        self._count_attempt()
        await left.aclose()

    def _service_s(self) -> float | None:
        if not self.progress.finished:
            return None
        return time.monotonic() - self.attempt.placement.placed_at_s

    async def _next_event(self) -> EngineEvent | None:
        """Return the next event; None after the last or if there is no more.

        It comes from the engine that has accepted the completion last.
        """
        event = await self._read_event()
        while isinstance(event, Attempt):
            await self._go_on_with(event)
            event = await self._read_event()
        return event

    async def _read_event(self) -> EngineEvent | Attempt | None:
        """Return the next event of the attempt, or the one that replaces it.

        Silence alone ends nothing: the attempt goes on until another engine has
        accepted the completion, or its time is over.
        """
        attempt = self.attempt
        monitor = attempt.monitor
        monitor.start_waiting()
        limit_s = first_piece_time_left_s(self.request.job, self.progress)
        if await attempt.reader.wait(min(limit_s, monitor.max_silence_s())):
            event = attempt.reader.take()
        elif limit_s < monitor.max_silence_s():
            self.silence_handler.give_up(attempt.placement)
            event = None
        else:
            event = await self.silence_handler.outlast(attempt)
        monitor.stop_waiting()
        return event

    async def _has_engine_ended(self, placement: Placement) -> bool:
        """Record a failed attempt; return whether its engine has ended.

        A response that was under way as it broke off is no evidence against
        the prompt.
        """
        progress = self.progress
        if (
            progress.last_failure.effective_run_state is RunState.NOT_RUN
            or progress.is_underway(now_s())
        ):
            return False
        return await self.shared_state.engine_ends.record_break(
            engine_process_of(placement.engine),
            segment_keys_of(self.request.job),
            is_starting=progress.has_started,
        )

    async def _may_retry(self) -> bool:
        placement = self.attempt.placement
        reason = await self._find_reason_to_stop(placement)
        if reason is not None:
            log_stop(self.request, self.progress, placement, reason)
            return False
        if self.progress.is_refused_midway():
            await asyncio.sleep(_REFUSAL_PAUSE_S)
        return True

    async def _find_reason_to_stop(
        self, placement: Placement
    ) -> StopReason | None:
        """Return why no attempt may follow, None if one may.

        That one has its token of the retry budget, unless nothing was sent.
        """
        has_ended = await self._has_engine_ended(placement)
        if has_ended and not self.shared_state.quarantine.may_retry(
            segment_keys_of(self.request.job), now_s()
        ):
            return StopReason.PROMPT
        failure = self.progress.last_failure
        if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
            return StopReason.DEADLINE
        if self.progress.is_refused_midway() and not time_left_s(
            self.request.job, self.progress
        ):
            return StopReason.DEADLINE
        if not self.progress.has_attempts_left(
            self.shared_state.settings.limits.max_attempts
        ):
            return StopReason.ATTEMPTS
        may_have_run = failure.effective_run_state is not RunState.NOT_RUN
        if may_have_run and not self.request.idempotent:
            return StopReason.RUNS_ONCE
        if is_unreached(failure):
            return None
        has_token = self.shared_state.may_repeat(
            has_output=bool(self.progress.relayed_pieces)
        )
        return None if has_token else StopReason.RETRY_BUDGET

    def _reported_failure(self, failure: Failure) -> Failure:
        if self.progress.relayed_pieces:
            return attrs.evolve(
                failure,
                kind=ErrorKind.STREAM_BROKEN,
                run_state=RunState.RAN,
            )
        if is_unreached(failure) and not self.progress.may_have_run:
            return attrs.evolve(failure, kind=ErrorKind.NO_BACKEND_SERVER)
        if failure.kind is ErrorKind.STREAM_BROKEN:
            return attrs.evolve(
                failure,
                kind=ErrorKind.OUTCOME_UNKNOWN,
                run_state=RunState.UNKNOWN,
            )
        if self.progress.may_have_run:
            return attrs.evolve(failure, run_state=RunState.UNKNOWN)
        return failure
