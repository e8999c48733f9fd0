"""Queue requests and assign them to engines.

A request is assigned only when an engine has capacity for it, so that the
choice uses the latest state of the engines.
"""

import asyncio
import time
import uuid
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.planned_stop import draining_failure
from arbutusbay.policy import (
    CostBased,
    EngineChoice,
    EngineState,
    FewestInFlight,
    InFlightAttempt,
    Job,
    Policy,
    PolicyName,
    PoolView,
    PrefixRendezvous,
    QueuedJob,
    RoundRobin,
    choose_engine,
    has_capacity,
    median_piece_s,
)
from arbutusbay.router._shared_state import PoolState, RouterState
from arbutusbay.router._start_decision import (
    JobRefusal,
    find_unservable_jobs,
    log_refusal,
    no_backend_server,
)
from arbutusbay.router._stop_decision import refuse_job_for_stop

_MAX_CANDIDATES = 16
_MAX_MOVES_WITHOUT_PLACE = 4
_RETRY_INTERVAL_S = 0.02
_DECISION_INTERVAL_S = 0.1
_MAX_TURN_S = 0.2
_SERVICE_TIME_SMOOTHING = 0.2
_MIN_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class JobContext:
    """Hold what the placement of a job depends on besides the job itself.

    ``depths`` maps engine names to the number of leading prompt blocks that
    are cached there. ``excluded`` holds the engines on which the job failed.
    ``weights_version`` is set once output was relayed, because only the same
    weights can resume the stream.
    """

    depths: Mapping[str, int]
    affinity_key: str
    excluded: frozenset[str] = frozenset()
    weights_version: str = ''


@attrs.frozen(kw_only=True)
class Placement:
    """Record the assignment of one attempt to an engine.

    It lasts until ``Dispatcher.release`` is called.

    ``depth`` is the number of leading prompt blocks that the engine has
    cached, ``predicted_s`` the predicted time to first token in seconds and
    ``placed_at_s`` the time of the assignment on the monotonic clock.
    """

    attempt: str
    engine: EngineState
    depth: int
    predicted_s: float
    placed_at_s: float


@attrs.define(kw_only=True)
class PendingPlacement:
    """Hold the context of a queued job and the future for its placement.

    ``refusal`` is why the future was cancelled.
    """

    context: JobContext
    placed: asyncio.Future[Placement]
    refusal: Failure | None = None


class Dispatcher:
    """Assign the jobs of all pools to engines."""

    def __init__(self, *, shared_state: RouterState) -> None:
        """Create a dispatcher for the engines and queues in the state."""
        self.shared_state = shared_state
        self.retry_timers: dict[str, asyncio.TimerHandle] = {}
        self.next_decisions_s: dict[str, float] = {}

    async def place(
        self,
        job: Job,
        context: JobContext,
    ) -> Result[Placement, Failure]:
        """Wait for an engine and return the placement on it.

        Fails immediately with ``NO_BACKEND_SERVER`` if no engine with the
        right weights is ready, or with ``OVERLOADED`` if the queue is full
        or the job is predicted to start too late. So it does while the job
        waits, once no engine is left or a late start shows. Fails with
        ``DEADLINE_EXCEEDED`` if the job is still queued at its deadline.

        The caller must release every placement that it receives.
        """
        match self._admit(job, context):
            case Err() as refused:
                return refused
        waiting = _new_queued_job(job, context)
        pool = self.shared_state.pool_state(job.pool)
        pool.queue.push(waiting)
        self.place_waiting(job.pool)
        try:
            return await self._wait_for_placement(waiting)
        except asyncio.CancelledError:
            self._cancel(pool, waiting)
            raise

    def request_move(
        self, job: Job, context: JobContext, *, may_move: bool
    ) -> QueuedJob:
        """Look for a place for a job that runs at a silent engine.

        The job goes on there. It comes before the queued ones, but an engine is
        asked to accept few at a time. The future in its data is done once a
        place is reserved and its token withdrawn, never unless it ``may_move``.
        The caller must pass the result to ``withdraw_move``, unless that future
        is done.
        """
        moving = _new_queued_job(job, context)
        if not may_move:
            return moving
        pool = self.shared_state.pool_state(job.pool)
        pool.moving.append(moving)
        self._move_jobs(pool)
        if pool.moving:
            self._retry_later(job.pool)
        return moving

    def withdraw_move(self, moving: QueuedJob) -> Placement | None:
        """Stop looking; return the reserved place, if any, to be released."""
        pool = self.shared_state.pool_state(moving.job.pool)
        if moving in pool.moving:
            pool.moving.remove(moving)
        placed = moving.caller_data.placed
        return placed.result() if placed.done() else None

    def release(
        self,
        placement: Placement,
        *,
        service_s: float | None = None,
    ) -> None:
        """End an attempt's use of its engine and assign waiting jobs.

        ``service_s``, if given, updates the mean service time of the pool.
        """
        engine = placement.engine
        engine.in_flight.pop(placement.attempt, None)
        pool = self.shared_state.pool_state(engine.pool)
        engine.asked.discard(placement.attempt)
        if service_s is not None:
            pool.service_s += _SERVICE_TIME_SMOOTHING * (
                service_s - pool.service_s
            )
        self.place_waiting(engine.pool)

    def place_all_waiting(self) -> None:
        """Assign the waiting jobs of every pool that have capacity now."""
        for name in list(self.shared_state.pools):
            self.place_waiting(name)

    def place_waiting(self, pool_name: str) -> None:
        """Assign the waiting jobs of one pool that have capacity now.

        Schedules another run while jobs remain queued.
        """
        pool = self.shared_state.pool_state(pool_name)
        if _leave_out_pause(pool):
            self.next_decisions_s[pool_name] = (
                time.monotonic() + _DECISION_INTERVAL_S
            )
        _refuse_late_jobs(self.shared_state, pool)
        self._move_jobs(pool)
        is_placed = True
        while is_placed:
            is_placed = self._assign_next(pool)
        pool.starts.record_waiting(len(pool.queue), time.monotonic())
        if time.monotonic() >= self.next_decisions_s.get(pool_name, 0):
            self._refuse_unservable(pool)
        if len(pool.queue) or pool.moving:
            self._retry_later(pool_name)

    def eligible_engines(self, pool: str) -> list[EngineState]:
        """Return the engines that may get new work.

        Leaves out engines in backoff after a failure, unless all of them are.
        """
        moment_s = time.monotonic()
        usable = [
            engine
            for engine in self.shared_state.engines_in_pool(pool)
            if engine.is_usable()
        ]
        preferred = [
            engine for engine in usable if not engine.is_in_backoff(moment_s)
        ]
        return preferred or usable

    def pool_view_for(self, job: Job, context: JobContext) -> PoolView:
        """Return the input for the placement of ``job``.

        Uses engines on which the job already failed only if no other is left.
        """
        pool = self.shared_state.pool_state(job.pool)
        candidates = [
            engine
            for engine in self.eligible_engines(job.pool)
            if engine.can_run_weights(context.weights_version)
        ]
        untried = [
            engine
            for engine in candidates
            if engine.name not in context.excluded
        ]
        engines = untried or candidates
        return PoolView(
            engines=engines,
            depths=context.depths,
            affinity_key=context.affinity_key,
            own_zone=self.shared_state.settings.node.zone,
            router_count=self.shared_state.router_count(),
            prefill_s_per_token=pool.prefill_s_per_token,
            piece_s=median_piece_s(engines),
            service_s=pool.service_s,
            now_s=time.monotonic(),
        )

    def _admit(
        self,
        job: Job,
        context: JobContext,
    ) -> Result[None, Failure]:
        pool = self.shared_state.pool_state(job.pool)
        if not self.pool_view_for(job, context).engines:
            return Err(no_backend_server(job.pool))
        queue_length = self.shared_state.settings.limits.queue_length
        if len(pool.queue) >= queue_length:
            return _refusal(
                ErrorKind.OVERLOADED,
                f'{queue_length} requests wait for pool {job.pool!r}',
                _MIN_RETRY_AFTER_S,
            )
        return Ok(None)

    def _refuse_unservable(self, pool: PoolState) -> None:
        """Refuse the waiting jobs that no engine will start in time."""
        if not len(pool.queue):
            return
        moment_s = time.monotonic()
        self.next_decisions_s[pool.name] = moment_s + _DECISION_INTERVAL_S
        for refusal in find_unservable_jobs(self.shared_state, pool):
            _refuse(pool, refusal)
        pool.starts.record_waiting(len(pool.queue), moment_s)

    async def _wait_for_placement(
        self, waiting: QueuedJob
    ) -> Result[Placement, Failure]:
        job = waiting.job
        timeout_s = max(0.0, job.deadline_s - time.monotonic())
        placed = waiting.caller_data.placed
        await asyncio.wait((placed,), timeout=timeout_s)
        if placed.cancelled():
            return Err(
                waiting.caller_data.refusal
                or draining_failure('in the queue', may_have_run=False)
            )
        if placed.done():
            return Ok(placed.result())
        pool = self.shared_state.pool_state(job.pool)
        pool.queue.discard(waiting)
        return _refusal(
            ErrorKind.DEADLINE_EXCEEDED,
            'no engine had capacity before the deadline of the request',
            _MIN_RETRY_AFTER_S,
        )

    def _cancel(self, pool: PoolState, waiting: QueuedJob) -> None:
        placed = waiting.caller_data.placed
        if placed.done() and not placed.cancelled():
            self.release(placed.result())
            return
        pool.queue.discard(waiting)

    def _move_jobs(self, pool: PoolState) -> None:
        """Reserve places for the jobs that are to be moved.

        Tries only a few that find none, others than the next time.
        """
        without_place: list[QueuedJob] = []
        while pool.moving and len(without_place) < _MAX_MOVES_WITHOUT_PLACE:
            moving = pool.moving.popleft()
            if not self._try_move(pool, moving):
                without_place.append(moving)
        pool.moving.extend(without_place)

    def _try_move(self, pool: PoolState, moving: QueuedJob) -> bool:
        context = moving.caller_data.context
        has_output = bool(context.weights_version)
        if refuse_job_for_stop(
            self.shared_state, moving.job, may_have_run=has_output
        ):
            return False
        view = self.pool_view_for(moving.job, context)
        choice = choose_engine(
            _policy_of(self.shared_state, pool),
            moving.job,
            _view_for_move(moving.job, context, view),
            self.shared_state.rng,
        )
        if choice is None or not self.shared_state.may_repeat(
            has_output=has_output
        ):
            return False
        choice.engine.asked.add(self._assign(moving, choice))
        return True

    def _assign_next(self, pool: PoolState) -> bool:
        candidates = pool.queue.heads(time.monotonic())
        for _, waiting in zip(range(_MAX_CANDIDATES), candidates, strict=False):
            choice = self._choose(pool, waiting)
            if choice is not None:
                pool.queue.remove(waiting, was_placed=True)
                pool.starts.record_place(time.monotonic())
                self._assign(waiting, choice)
                return True
        return False

    def _choose(
        self, pool: PoolState, waiting: QueuedJob
    ) -> EngineChoice | None:
        return choose_engine(
            _policy_of(self.shared_state, pool),
            waiting.job,
            self.pool_view_for(waiting.job, waiting.caller_data.context),
            self.shared_state.rng,
        )

    def _assign(self, waiting: QueuedJob, choice: EngineChoice) -> str:
        job = waiting.job
        attempt = uuid.uuid4().hex
        choice.engine.in_flight[attempt] = InFlightAttempt(
            uncached_tokens=job.uncached_tokens(choice.depth),
            sent_at_s=now_s(),
        )
        choice.engine.record_sent_blocks(job.hashes)
        waiting.caller_data.placed.set_result(
            Placement(
                attempt=attempt,
                engine=choice.engine,
                depth=choice.depth,
                predicted_s=choice.predicted_s,
                placed_at_s=time.monotonic(),
            ),
        )
        return attempt

    def _retry_later(self, pool_name: str) -> None:
        if pool_name in self.retry_timers:
            return
        self.retry_timers[pool_name] = asyncio.get_running_loop().call_later(
            _RETRY_INTERVAL_S, self._on_retry_timer, pool_name
        )

    def _on_retry_timer(self, pool_name: str) -> None:
        self.retry_timers.pop(pool_name, None)
        self.place_waiting(pool_name)


def _policy_of(shared_state: RouterState, pool: PoolState) -> Policy:
    match shared_state.settings.policy:
        case PolicyName.ROUND_ROBIN:
            pool.placement_number += 1
            return RoundRobin(placement_number=pool.placement_number)
        case PolicyName.FEWEST_IN_FLIGHT:
            return FewestInFlight()
        case PolicyName.RENDEZVOUS:
            return PrefixRendezvous()
        case _:
            return CostBased()


def _refuse_late_jobs(shared_state: RouterState, pool: PoolState) -> None:
    """Refuse the waiting jobs for which a stop leaves no time."""
    for waiting in tuple(pool.queue.waiting):
        if refuse_job_for_stop(shared_state, waiting.job, may_have_run=False):
            pool.queue.discard(waiting)
            waiting.caller_data.placed.cancel()


def _leave_out_pause(pool: PoolState) -> bool:
    """Leave a pause of this process out of the rate of places.

    Return whether there was one. What came free meanwhile is read in the next
    turns.
    """
    moment_s = time.monotonic()
    turn_s = moment_s - pool.starts.updated_s
    if not pool.starts.has_waiting or turn_s <= _MAX_TURN_S:
        return False
    pool.starts.skip_to(moment_s)
    return True


def _refuse(pool: PoolState, refusal: JobRefusal) -> None:
    waiting = refusal.waiting
    pool.queue.discard(waiting)
    waiting.caller_data.refusal = refusal.failure
    waiting.caller_data.placed.cancel()
    log_refusal(refusal)


def _view_for_move(job: Job, context: JobContext, view: PoolView) -> PoolView:
    """Leave out engines that a job might wait for, or return from."""
    engines = [
        engine
        for engine in view.engines
        if engine.name not in context.excluded
        and has_capacity(job, view, engine)
        and engine.is_dependable(view.now_s)
        and engine.may_be_asked(view.now_s)
    ]
    return attrs.evolve(view, engines=engines)


def _new_queued_job(job: Job, context: JobContext) -> QueuedJob:
    placed = asyncio.get_running_loop().create_future()
    return QueuedJob(
        job=job,
        caller_data=PendingPlacement(context=context, placed=placed),
    )


def _refusal(
    kind: ErrorKind,
    detail: str,
    retry_after_s: float,
) -> Err[Failure]:
    return Err(
        Failure(
            kind=kind,
            detail=detail,
            retry_after_s=retry_after_s,
            run_state=RunState.NOT_RUN,
        ),
    )
