"""Queue requests and bind them to engines as late as possible."""

import asyncio
import time
import uuid
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.policy import (
    Choice,
    CostBased,
    EngineState,
    FewestInFlight,
    InFlight,
    Job,
    Policy,
    PolicyName,
    PoolView,
    PrefixRendezvous,
    RoundRobin,
    Waiting,
    choose_engine,
    engine_window,
    median_piece_s,
)
from arbutusbay.router._blackboard import PoolState, RouterBoard

_MAX_TRIES = 16
_REPUMP_S = 0.02
_SMOOTHING = 0.1
_MIN_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class JobContext:
    """Hold what placement knows of a job besides the job itself.

    ``depths`` maps engines to cached blocks; ``excluded`` names engines
    that failed it; ``weights_version`` is set once text was relayed.
    """

    depths: Mapping[str, int]
    affinity_key: str
    excluded: frozenset[str] = frozenset()
    weights_version: str = ''


@attrs.frozen(kw_only=True)
class Placement:
    """Bind one attempt to an engine until it is released."""

    attempt: str
    engine: EngineState
    depth: int
    predicted_s: float
    placed_s: float


@attrs.frozen(kw_only=True)
class Ticket:
    """Hold a queued job's context and the future of its placement."""

    context: JobContext
    placed: asyncio.Future[Placement]


class Dispatcher:
    """Place the jobs of all pools."""

    def __init__(self, *, board: RouterBoard) -> None:
        """Read engines and queues from ``board``."""
        self.board = board
        self.repump: dict[str, asyncio.TimerHandle] = {}

    async def place(
        self,
        job: Job,
        context: JobContext,
    ) -> Result[Placement, Failure]:
        """Return a placement, or refuse at once or at the deadline.

        The caller must release every placement it gets.
        """
        match self._admit(job, context):
            case Err() as refused:
                return refused
        loop = asyncio.get_running_loop()
        ticket = Ticket(context=context, placed=loop.create_future())
        waiting = Waiting(job=job, ticket=ticket)
        pool = self.board.pool_state(job.pool)
        pool.queue.push(waiting)
        self.pump(job.pool)
        try:
            return await self._wait(waiting)
        except asyncio.CancelledError:
            self._withdraw(pool, waiting)
            raise

    def release(
        self,
        placement: Placement,
        *,
        service_s: float | None = None,
    ) -> None:
        """Give the attempt's place back; ``service_s`` teaches the pool."""
        engine = placement.engine
        engine.in_flight.pop(placement.attempt, None)
        pool = self.board.pool_state(engine.pool)
        if service_s is not None:
            pool.service_s += _SMOOTHING * (service_s - pool.service_s)
        self.pump(engine.pool)

    def pump_all(self) -> None:
        """Place what can be placed in every pool."""
        for name in list(self.board.pools):
            self.pump(name)

    def pump(self, pool_name: str) -> None:
        """Place the waiting jobs of one pool that have room now."""
        pool = self.board.pool_state(pool_name)
        has_placed = True
        while has_placed:
            has_placed = self._place_next(pool)
        if len(pool.queue) and pool_name not in self.repump:
            loop = asyncio.get_running_loop()
            self.repump[pool_name] = loop.call_later(
                _REPUMP_S,
                self._pump_again,
                pool_name,
            )

    def predicted_wait_s(self, job: Job) -> float:
        """Return the seconds that ``job`` would wait in the queue now."""
        pool = self.board.pool_state(job.pool)
        engines = self.usable_engines(job.pool)
        routers = self.board.router_count()
        places = sum(engine_window(engine, routers) for engine in engines)
        if not places:
            return 0.0
        ahead = pool.queue.work_ahead(job)
        jobs_ahead = ahead / max(1, job.cost_tokens)
        return jobs_ahead * pool.service_s / places

    def usable_engines(self, pool: str) -> list[EngineState]:
        """Return the engines that may get new work.

        Engines that failed lately are left out while there are others.
        """
        now_s = time.monotonic()
        usable = [
            engine
            for engine in self.board.engines_of(pool)
            if engine.is_usable()
        ]
        preferred = [
            engine for engine in usable if not engine.is_avoided(now_s)
        ]
        return preferred or usable

    def view_for(self, job: Job, context: JobContext) -> PoolView:
        """Return what the placement of ``job`` may look at."""
        pool = self.board.pool_state(job.pool)
        candidates = [
            engine
            for engine in self.usable_engines(job.pool)
            if engine.may_run(context.weights_version)
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
            own_zone=self.board.settings.node.zone,
            routers=self.board.router_count(),
            prefill_s=pool.prefill_s,
            piece_s=median_piece_s(engines),
            service_s=pool.service_s,
            now_s=time.monotonic(),
        )

    def _admit(
        self,
        job: Job,
        context: JobContext,
    ) -> Result[None, Failure]:
        pool = self.board.pool_state(job.pool)
        if not self.view_for(job, context).engines:
            return _refused(
                ErrorKind.NO_BACKEND_SERVER,
                f'no backend server of pool {job.pool!r} is ready',
                _MIN_RETRY_AFTER_S,
            )
        wait_s = self.predicted_wait_s(job) if len(pool.queue) else 0.0
        is_full = len(pool.queue) >= self.board.settings.limits.queue_length
        if is_full or wait_s > job.deadline_s - time.monotonic():
            return _refused(
                ErrorKind.OVERLOADED,
                f'pool {job.pool!r} is about {wait_s:.1f} s behind',
                max(_MIN_RETRY_AFTER_S, wait_s),
            )
        return Ok(None)

    async def _wait(self, waiting: Waiting) -> Result[Placement, Failure]:
        job = waiting.job
        timeout_s = max(0.0, job.deadline_s - time.monotonic())
        placed = waiting.ticket.placed
        await asyncio.wait((placed,), timeout=timeout_s)
        if placed.done():
            return Ok(placed.result())
        pool = self.board.pool_state(job.pool)
        pool.queue.remove(waiting, started=False)
        return _refused(
            ErrorKind.DEADLINE_EXCEEDED,
            'no engine took the request before its deadline',
            max(_MIN_RETRY_AFTER_S, self.predicted_wait_s(job)),
        )

    def _withdraw(self, pool: PoolState, waiting: Waiting) -> None:
        placed = waiting.ticket.placed
        if placed.done() and not placed.cancelled():
            self.release(placed.result())
            return
        pool.queue.remove(waiting, started=False)

    def _place_next(self, pool: PoolState) -> bool:
        now_s = time.monotonic()
        candidates = pool.queue.candidates(now_s)
        for _, waiting in zip(range(_MAX_TRIES), candidates, strict=False):
            choice = self._choose(pool, waiting)
            if choice is not None:
                pool.queue.remove(waiting, started=True)
                self._bind(waiting, choice)
                return True
        return False

    def _choose(self, pool: PoolState, waiting: Waiting) -> Choice | None:
        return choose_engine(
            self._policy(pool),
            waiting.job,
            self.view_for(waiting.job, waiting.ticket.context),
            self.board.rng,
        )

    def _policy(self, pool: PoolState) -> Policy:
        match self.board.settings.policy:
            case PolicyName.ROUND_ROBIN:
                pool.turn += 1
                return RoundRobin(turn=pool.turn)
            case PolicyName.FEWEST_IN_FLIGHT:
                return FewestInFlight()
            case PolicyName.RENDEZVOUS:
                return PrefixRendezvous()
            case _:
                return CostBased()

    def _bind(self, waiting: Waiting, choice: Choice) -> None:
        now_s = time.monotonic()
        job = waiting.job
        attempt = uuid.uuid4().hex
        choice.engine.in_flight[attempt] = InFlight(
            uncached_tokens=job.uncached_tokens(choice.depth),
            sent_at_s=now_s,
        )
        choice.engine.remember(job.hashes)
        waiting.ticket.placed.set_result(
            Placement(
                attempt=attempt,
                engine=choice.engine,
                depth=choice.depth,
                predicted_s=choice.predicted_s,
                placed_s=now_s,
            ),
        )

    def _pump_again(self, pool_name: str) -> None:
        self.repump.pop(pool_name, None)
        self.pump(pool_name)


def _refused(
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
