"""Run one completion: choose an engine, relay its stream, retry and resume."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
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
from arbutusbay.logs import get_logger
from arbutusbay.policy import EngineState, Job
from arbutusbay.router._dispatcher import Dispatcher, JobContext, Placement
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._prompt_quarantine import refuse_job, segment_keys_of
from arbutusbay.router._shared_state import RouterState
from arbutusbay.state import Pool, Urgency

_LOG = get_logger('generation')
_PREFILL_SMOOTHING = 0.05
_MIN_PREFILL_SAMPLE_TOKENS = 200
_PIECE_TIMEOUT_S = 2.0
_MIN_FIRST_PIECE_TIMEOUT_S = 3.0
_FIRST_PIECE_TIMEOUT_FACTOR = 5.0
_RESPONSE_START_S = 0.3
_DEFAULT_PORT = 80


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """Hold a validated completion request."""

    job: Job
    prompt: str
    pool: Pool
    idempotent: bool
    context: JobContext


@attrs.define(kw_only=True)
class RunProgress:
    """Track the progress of a run over all its attempts.

    ``relayed_pieces`` counts pieces of output, and ``unproductive_attempts``
    the consecutive attempts that relayed none. ``weights_version`` is the
    version that produced the output. ``excluded`` holds the engines of failed
    attempts that may have run. ``has_started`` and ``first_piece_s`` tell of
    the last attempt whether its response began, and when its first piece came,
    in seconds on the clock of ``now_s``.
    """

    relayed_pieces: int = 0
    attempts: int = 0
    unproductive_attempts: int = 0
    weights_version: str = ''
    excluded: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: bool = False
    last_failure: Failure | None = None
    has_started: bool = False
    first_piece_s: float | None = None

    def begin_attempt(self) -> None:
        """Count an attempt, which has not started yet."""
        self.attempts += 1
        self.unproductive_attempts += 1
        self.has_started = False
        self.first_piece_s = None

    def is_underway(self, moment_s: float) -> bool:
        """Return whether the attempt has gone on after its first piece."""
        return (
            self.first_piece_s is not None
            and moment_s - self.first_piece_s > _RESPONSE_START_S
        )


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
            progress.begin_attempt()
            async with aclosing(self._run_attempt(placement)) as events:
                async for event in events:
                    yield event
            if progress.finished:
                return
            has_ended = await self._has_engine_ended(placement)
            if not self._may_retry(has_ended=has_ended):
                yield Err(self._reported_failure(progress.last_failure))
                return

    async def _place(self) -> Result[Placement, Failure]:
        """Return a placement, unless the prompt must not be sent.

        A prompt may be quarantined while it waits for an engine.
        """
        refused = refuse_job(self.shared_state, self.request.job)
        if refused is not None:
            return Err(refused)
        placed = await self._place_in_queue()
        refused = refuse_job(self.shared_state, self.request.job)
        match placed:
            case Ok(placement) if refused is not None:
                self.dispatcher.release(placement)
                return Err(refused)
        return placed

    async def _place_in_queue(self) -> Result[Placement, Failure]:
        context = attrs.evolve(
            self.request.context,
            excluded=self.progress.excluded,
            weights_version=self.progress.weights_version,
        )
        return await self.dispatcher.place(self.request.job, context)

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
        stream = client.generate(self._build_generation(placement))
        async with aclosing(stream):
            async for event in fail_when_stalled(
                stream, monitor.event_timeout_s
            ):
                self._process_event(event, placement, monitor)
                if isinstance(event.ok(), TextPiece | GenerationEnd):
                    yield event

    def _process_event(
        self,
        event: Result[GenerationEvent, Failure],
        placement: Placement,
        monitor: 'AttemptMonitor',
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
        progress.relayed_pieces += 1
        progress.unproductive_attempts = 0
        progress.weights_version = placement.engine.weights_version

    def _build_generation(self, placement: Placement) -> GenerationRequest:
        job = self.request.job
        pool = self.request.pool
        engine = placement.engine
        is_urgent = job.urgency is Urgency.URGENT
        return GenerationRequest(
            attempt=placement.attempt,
            team=job.team,
            model=pool.model,
            adapter=pool.adapter,
            weights_version=engine.weights_version
            or self.progress.weights_version
            or pool.weights_version,
            incarnation=engine.incarnation if placement.depth else '',
            prompt=self.request.prompt,
            max_tokens=job.max_tokens,
            priority=Priority.URGENT if is_urgent else Priority.NORMAL,
            resume_from=self.progress.relayed_pieces,
        )

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
        _LOG.warning(
            'attempt failed: {}',
            failure.detail,
            fields={
                'request_id': self.request.job.id,
                'engine': placement.engine.name,
                'relayed': progress.relayed_pieces,
            },
        )

    async def _has_engine_ended(self, placement: Placement) -> bool:
        """Record a failed attempt; return whether its engine has ended.

        An engine that broke off a response that was under way says nothing
        about the prompt.
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

    def _may_retry(self, *, has_ended: bool) -> bool:
        progress = self.progress
        if has_ended and not self.shared_state.quarantine.may_retry(
            segment_keys_of(self.request.job), now_s()
        ):
            return False
        if (
            progress.unproductive_attempts
            >= self.shared_state.settings.limits.max_attempts
        ):
            return False
        failure = progress.last_failure
        may_have_run = failure.effective_run_state is not RunState.NOT_RUN
        if may_have_run and not self.request.idempotent:
            return False
        if (
            not self.shared_state.retry_budget.try_withdraw()
            and not progress.relayed_pieces
        ):
            return False
        self.metrics.retries.inc({})
        return True

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
        if self._may_have_run():
            return attrs.evolve(failure, run_state=RunState.UNKNOWN)
        return failure

    def _may_have_run(self) -> bool:
        return bool(self.progress.excluded)


def _process_of(engine: EngineState) -> EngineProcess:
    address = urlsplit(engine.url)
    return EngineProcess(
        incarnation=f'{engine.name}@{engine.incarnation}',
        host=address.hostname or '',
        port=address.port or _DEFAULT_PORT,
    )


async def fail_when_stalled(
    events: AsyncIterator[Result[GenerationEvent, Failure]],
    event_timeout_s: Callable[[], float],
) -> AsyncIterator[Result[GenerationEvent, Failure]]:
    """Yield ``events``, or a failure if the next one takes too long.

    ``event_timeout_s`` returns the timeout for the next event in seconds. The
    failure is a ``STREAM_BROKEN`` and ends the iteration.
    """
    while True:
        limit_s = event_timeout_s()
        try:
            event = await asyncio.wait_for(anext(events), limit_s)
        except StopAsyncIteration:
            return
        except asyncio.TimeoutError:
            yield Err(
                Failure(
                    kind=ErrorKind.STREAM_BROKEN,
                    detail=f'engine sent no event for {limit_s:.1f} s',
                    run_state=RunState.UNKNOWN,
                ),
            )
            return
        yield event


class AttemptMonitor:
    """Time one attempt and update the measurements of its engine and pool."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        placement: Placement,
        job: Job,
    ) -> None:
        """Create a monitor for the attempt of ``placement``."""
        self.shared_state = shared_state
        self.placement = placement
        self.job = job
        self.last_piece_at_s: float | None = None

    def event_timeout_s(self) -> float:
        """Return the timeout for the next event in seconds.

        Before the first piece, the timeout scales with the predicted time to
        first token.
        """
        if self.last_piece_at_s is not None:
            return _PIECE_TIMEOUT_S
        return max(
            _MIN_FIRST_PIECE_TIMEOUT_S,
            _FIRST_PIECE_TIMEOUT_FACTOR * self.placement.predicted_s,
        )

    def update_identity(self, identity: EngineIdentity) -> None:
        """Record the identity that the engine reported in its response."""
        self.placement.engine.update_identity(
            identity.incarnation,
            identity.weights_version,
        )

    def record_piece(self) -> None:
        """Record the arrival of a piece of output."""
        now_s = time.monotonic()
        if self.last_piece_at_s is None:
            self._record_first_token(now_s)
        else:
            self.placement.engine.record_piece_gap(now_s - self.last_piece_at_s)
        self.last_piece_at_s = now_s

    def _record_first_token(self, now_s: float) -> None:
        placement = self.placement
        engine = placement.engine
        attempt = engine.in_flight.get(placement.attempt)
        if attempt is not None:
            attempt.first_token_seen = True
        first_token_s = now_s - placement.placed_at_s
        self._record_prefill_speed(first_token_s)

    def _record_prefill_speed(self, first_token_s: float) -> None:
        uncached = self.job.uncached_tokens(self.placement.depth)
        if (
            uncached < _MIN_PREFILL_SAMPLE_TOKENS
            or self.placement.engine.waiting
        ):
            return
        pool = self.shared_state.pool_state(self.job.pool)
        sample_s = first_token_s / uncached
        pool.prefill_s_per_token += _PREFILL_SMOOTHING * (
            sample_s - pool.prefill_s_per_token
        )
