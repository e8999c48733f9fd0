"""Decide which queued completions no engine will start in time."""

import time
from collections.abc import Iterator, Sequence

import attrs

from arbutusbay.admission import (
    ExpectedPlaces,
    StartEstimate,
    may_await_silence,
    retry_after_s,
)
from arbutusbay.clock import milliseconds
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.policy import EngineState, Job, QueuedJob, engine_window
from arbutusbay.router._shared_state import PoolState, RouterState

_LOG = get_logger('dispatcher')
_NO_SERVER_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class JobRefusal:
    """Hold a queued job that is to be refused, and why.

    ``estimate`` is the prediction of its start, None if no engine is left.
    """

    waiting: QueuedJob
    failure: Failure
    estimate: StartEstimate | None = None


def no_backend_server(pool: str) -> Failure:
    """Return the failure of a job that no engine of ``pool`` may run."""
    return Failure(
        kind=ErrorKind.NO_BACKEND_SERVER,
        detail=f'no backend server in pool {pool!r} is ready',
        retry_after_s=_NO_SERVER_RETRY_AFTER_S,
        run_state=RunState.NOT_RUN,
    )


def find_unservable_jobs(
    shared_state: RouterState, pool: PoolState
) -> list[JobRefusal]:
    """Return the queued jobs that won't start in time, as it shows now.

    Whoever would start last is refused first, so that jobs before it are not
    refused for its sake.
    """
    staying = [
        engine
        for engine in shared_state.engines_in_pool(pool.name)
        if not engine.draining and not engine.leaving
    ]
    without_engine = [
        JobRefusal(waiting=waiting, failure=no_backend_server(pool.name))
        for waiting in pool.queue.waiting
        if not _has_engine(waiting, staying)
    ]
    if without_engine:
        return without_engine
    return list(_late_jobs(shared_state, pool))


def log_refusal(refusal: JobRefusal) -> None:
    """Log that a job was refused while it waited."""
    job = refusal.waiting.job
    moment_s = time.monotonic()
    _LOG.info(
        'refused in the queue',
        fields={
            'request_id': job.id,
            'decision': refusal.failure.kind.value,
            'detail': refusal.failure.detail,
            'waited_ms': milliseconds(moment_s - job.arrived_s),
            'left_ms': milliseconds(job.deadline_s - moment_s),
            **(refusal.estimate.log_fields() if refusal.estimate else {}),
        },
    )


def _has_engine(waiting: QueuedJob, engines: Sequence[EngineState]) -> bool:
    weights_version = waiting.caller_data.context.weights_version
    if not weights_version:
        return bool(engines)
    return any(engine.can_run_weights(weights_version) for engine in engines)


def _late_jobs(
    shared_state: RouterState, pool: PoolState
) -> Iterator[JobRefusal]:
    """Yield the jobs whose predicted start is too late.

    A stream that has output can't be refused: it goes on to its deadline.
    """
    moment_s = time.monotonic()
    expected = _expected_places(shared_state, pool)
    rates = {
        awaits_silence: pool.starts.rate(
            moment_s, expected, awaits_silence=awaits_silence
        )
        for awaits_silence in (False, True)
    }
    ahead = 0
    for waiting in pool.queue.in_start_order(moment_s):
        rate = rates[_awaits_silence(waiting.job, moment_s)]
        estimate = pool.starts.predict(ahead=ahead, now_s=moment_s, rate=rate)
        has_output = bool(waiting.caller_data.context.weights_version)
        starts_s = moment_s + (ahead + 1) / rate.sound_mean
        if has_output or starts_s <= _latest_start_s(pool, waiting):
            ahead += 1
            continue
        yield JobRefusal(
            waiting=waiting,
            failure=_starts_too_late(shared_state, waiting.job, estimate),
            estimate=estimate,
        )


def _awaits_silence(job: Job, moment_s: float) -> bool:
    return may_await_silence(
        arrived_s=job.arrived_s, deadline_s=job.deadline_s, now_s=moment_s
    )


def _expected_places(
    shared_state: RouterState, pool: PoolState
) -> ExpectedPlaces | None:
    """Return the places that the usable engines give, None without any."""
    router_count = shared_state.router_count()
    places = sum(
        engine_window(engine, router_count)
        for engine in shared_state.engines_in_pool(pool.name)
        if engine.is_usable()
    )
    if not places:
        return None
    return ExpectedPlaces(places=places, within_s=pool.service_s)


def _latest_start_s(pool: PoolState, waiting: QueuedJob) -> float:
    """Return when the job must start for its first piece to be in time."""
    job = waiting.job
    depth = max(waiting.caller_data.context.depths.values(), default=0)
    prefill_s = job.uncached_tokens(depth) * pool.prefill_s_per_token
    return job.deadline_s - prefill_s


def _starts_too_late(
    shared_state: RouterState, job: Job, estimate: StartEstimate
) -> Failure:
    return Failure(
        kind=ErrorKind.OVERLOADED,
        detail=(
            f'pool {job.pool!r} has a queue of about {estimate.delay_s:.1f} s'
        ),
        retry_after_s=retry_after_s(
            estimate,
            remaining_s=job.deadline_s - estimate.predicted_s,
            spread=shared_state.rng.random(),
        ),
        run_state=RunState.NOT_RUN,
    )
