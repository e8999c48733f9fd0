"""Run one completion: choose an engine, relay its stream, retry and resume."""

import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from urllib.parse import urlsplit

import attrs
from result import Err, Ok, Result

from arbutusbay.backend import (
    EngineClient,
    EngineIdentity,
    GenerationEnd,
    GenerationEvent,
    GenerationRequest,
    GenerationStart,
    Priority,
    TextPiece,
)
from arbutusbay.clock import now_s
from arbutusbay.engine_ends import EngineProcess
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.policy import EngineState
from arbutusbay.router._attempt_monitor import AttemptMonitor
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._event_reader import EngineEvent, EventReader
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._prompt_quarantine import refuse_job, segment_keys_of
from arbutusbay.router._run_progress import (
    CompletionRequest,
    RunProgress,
    StopReason,
    first_piece_time_left_s,
    next_piece_deadline_s,
)
from arbutusbay.router._shared_state import RouterState
from arbutusbay.router._silence_handler import (
    SilenceHandler,
    log_failed_attempt,
    log_stop,
)
from arbutusbay.router._stop_decision import refuse_job_for_stop
from arbutusbay.state import Urgency

_DEFAULT_PORT = 80

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
        self.session = session
        self.request = request
        self.progress = RunProgress()
        self.silence_handler = SilenceHandler(
            shared_state=shared_state,
            dispatcher=dispatcher,
            request=request,
            progress=self.progress,
        )

    async def relay(self) -> AsyncIterator[RelayEvent]:
        """Yield the pieces of output, then the end or one failure.

        After the first piece, any failure is reported as ``STREAM_BROKEN``.
        Before it, a broken stream is reported as ``OUTCOME_UNKNOWN``.
        """
        try:
            async with aclosing(self._relay_attempts()) as events:
                async for event in events:
                    yield event
        finally:
            self.silence_handler.release_reserved()

    async def _relay_attempts(self) -> AsyncIterator[RelayEvent]:
        progress = self.progress
        while True:
            match await self._place():
                case Err(failure):
                    yield Err(self._reported_failure(failure))
                    return
                case Ok(placement):
                    pass
            self._count_attempt()
            async with aclosing(self._run_attempt(placement)) as events:
                async for event in events:
                    yield event
            if progress.finished:
                return
            is_moved = self.silence_handler.reserved is not None
            if not is_moved and not await self._may_retry(placement):
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
        reserved = self.silence_handler.take_reserved()
        placed = Ok(reserved) if reserved else await self._place_in_queue()
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
            self.shared_state, job, may_have_run=bool(self.progress.excluded)
        )

    async def _place_in_queue(self) -> Result[Placement, Failure]:
        context = attrs.evolve(
            self.request.context,
            excluded=self.progress.excluded,
            weights_version=self.progress.weights_version,
        )
        deadline_s = next_piece_deadline_s(self.request.job, self.progress)
        job = attrs.evolve(self.request.job, deadline_s=deadline_s)
        return await self.dispatcher.place(job, context)

    async def _run_attempt(
        self, placement: Placement
    ) -> AsyncIterator[RelayEvent]:
        service_s = None
        try:
            async with aclosing(self._relay_attempt(placement)) as events:
                async for event in events:
                    yield event
            if self.progress.finished:
                service_s = time.monotonic() - placement.placed_at_s
        finally:
            self.dispatcher.release(placement, service_s=service_s)

    async def _relay_attempt(
        self,
        placement: Placement,
    ) -> AsyncIterator[RelayEvent]:
        client = EngineClient(session=self.session, url=placement.engine.url)
        monitor = AttemptMonitor(
            shared_state=self.shared_state,
            placement=placement,
            job=self.request.job,
        )
        reader = EventReader(
            events=client.generate(
                _build_generation(self.request, self.progress, placement)
            )
        )
        async with aclosing(reader):
            while True:
                event = await self._next_event(reader, monitor)
                if event is None:
                    return
                self._process_event(event, placement, monitor)
                if isinstance(event.ok(), TextPiece | GenerationEnd):
                    yield event

    async def _next_event(
        self, reader: EventReader, monitor: AttemptMonitor
    ) -> EngineEvent | None:
        """Return the next event; None after the last or if there is no more.

        Silence alone ends nothing: the attempt goes on until another engine has
        a place for it, or its time is over.
        """
        monitor.start_waiting()
        limit_s = first_piece_time_left_s(self.request.job, self.progress)
        if await reader.wait(min(limit_s, monitor.max_silence_s())):
            event = reader.take()
        elif limit_s < monitor.max_silence_s():
            self.silence_handler.give_up(monitor.placement)
            event = None
        else:
            event = await self.silence_handler.outlast(
                reader, monitor.placement
            )
        monitor.stop_waiting()
        return event

    def _process_event(
        self,
        event: Result[GenerationEvent, Failure],
        placement: Placement,
        monitor: AttemptMonitor,
    ) -> None:
        match event:
            case Ok(EngineIdentity() as identity):
                monitor.update_identity(identity)
            case Ok(GenerationStart() as start):
                self._record_start(start)
            case Ok(TextPiece()):
                monitor.record_piece()
                self._record_piece(placement)
            case Ok(GenerationEnd()):
                self.progress.finished = True
                placement.engine.record_success()
                self._record_sound_response()
            case Err(failure):
                self._record_failure(placement, failure)

    def _record_sound_response(self) -> None:
        self.shared_state.quarantine.record_answer(
            segment_keys_of(self.request.job),
            request_id=self.request.job.id,
            started_s=self.progress.first_piece_s or now_s(),
            now_s=now_s(),
        )

    def _record_piece(self, placement: Placement) -> None:
        progress = self.progress
        if progress.first_piece_s is None:
            progress.first_piece_s = now_s()
        progress.last_piece_at_s = time.monotonic()
        progress.relayed_pieces += 1
        progress.unproductive_attempts = 0
        progress.weights_version = placement.engine.weights_version

    def _record_start(self, start: GenerationStart) -> None:
        progress = self.progress
        progress.has_started = True
        if progress.attempts == 1:
            progress.prompt_tokens = start.prompt_tokens
            progress.cached_tokens = start.cached_tokens
        self.metrics.count_prompt_tokens(start, is_repeat=progress.attempts > 1)

    def _record_failure(self, placement: Placement, failure: Failure) -> None:
        progress = self.progress
        progress.last_failure = failure
        if failure.kind is not ErrorKind.NO_BACKEND_SERVER:
            placement.engine.record_failure()
        if failure.effective_run_state is not RunState.NOT_RUN:
            progress.excluded |= {placement.engine.name}
        log_failed_attempt(self.request, progress, placement, failure)

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
            _process_of(placement.engine),
            segment_keys_of(self.request.job),
            is_starting=progress.has_started,
        )

    async def _may_retry(self, placement: Placement) -> bool:
        reason = await self._find_reason_to_stop(placement)
        if reason is not None:
            log_stop(self.request, self.progress, placement, reason)
        return reason is None

    async def _find_reason_to_stop(
        self, placement: Placement
    ) -> StopReason | None:
        """Return why no attempt may follow, None if one may.

        That one has its token of the retry budget.
        """
        has_ended = await self._has_engine_ended(placement)
        if has_ended and not self.shared_state.quarantine.may_retry(
            segment_keys_of(self.request.job), now_s()
        ):
            return StopReason.PROMPT
        failure = self.progress.last_failure
        if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
            return StopReason.DEADLINE
        if not self.progress.has_attempts_left(
            self.shared_state.settings.limits.max_attempts
        ):
            return StopReason.ATTEMPTS
        may_have_run = failure.effective_run_state is not RunState.NOT_RUN
        if may_have_run and not self.request.idempotent:
            return StopReason.RUNS_ONCE
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
        if failure.kind is ErrorKind.STREAM_BROKEN:
            return attrs.evolve(
                failure,
                kind=ErrorKind.OUTCOME_UNKNOWN,
                run_state=RunState.UNKNOWN,
            )
        if bool(self.progress.excluded):
            return attrs.evolve(failure, run_state=RunState.UNKNOWN)
        return failure


def _process_of(engine: EngineState) -> EngineProcess:
    address = urlsplit(engine.url)
    return EngineProcess(
        incarnation=f'{engine.name}@{engine.incarnation}',
        host=address.hostname or '',
        port=address.port or _DEFAULT_PORT,
    )


def _build_generation(
    request: CompletionRequest, progress: RunProgress, placement: Placement
) -> GenerationRequest:
    job = request.job
    pool = request.pool
    engine = placement.engine
    is_urgent = job.urgency is Urgency.URGENT
    return GenerationRequest(
        attempt=placement.attempt,
        team=job.team,
        model=pool.model,
        adapter=pool.adapter,
        weights_version=engine.weights_version
        or progress.weights_version
        or pool.weights_version,
        incarnation=engine.incarnation if placement.depth else '',
        prompt=request.prompt,
        max_tokens=job.max_tokens,
        priority=Priority.URGENT if is_urgent else Priority.NORMAL,
        resume_from=progress.relayed_pieces,
    )
