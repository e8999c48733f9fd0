"""Choose the engine that runs a request.

The functions are pure: they depend only on their arguments.
"""

import enum
import random
import statistics
from collections.abc import Mapping, Sequence
from types import MappingProxyType

import attrs

from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.policy._engine_state import EngineState
from arbutusbay.policy._job import Job
from arbutusbay.state import Urgency

_CROSS_ZONE_LATENCY_S = 0.002
_TIE_MARGIN_S = 0.003
_TIE_RATIO = 0.05
_MAX_DEFERRAL_S = 0.3
_AFFINITY_DISCOUNTS = (2.0, 1.0)
_RECOMPUTATION_WEIGHT = 3.0
_SLOW_THRESHOLD_FACTOR = 2.0
_SLOW_SERVICE_WEIGHT = 0.5
_MIN_WINDOW_ATTEMPTS = 2
_WINDOW_FACTOR = 1.5
_SHORT_JOB_RESERVE_RATIO = 0.25
_MAX_PREFILL_BACKLOG_TOKENS = MappingProxyType(
    {
        Urgency.URGENT: 3072,
        Urgency.NORMAL: 1536,
    }
)


class PolicyName(enum.StrEnum):
    """List the placement policies that settings can select."""

    COST = 'cost'
    ROUND_ROBIN = 'round_robin'
    FEWEST_IN_FLIGHT = 'fewest_in_flight'
    RENDEZVOUS = 'rendezvous'


@attrs.frozen(kw_only=True)
class CostBased:
    """Choose the engine with the lowest predicted cost in seconds."""


@attrs.frozen(kw_only=True)
class RoundRobin:
    """Choose engines in rotation; ``placement_number`` counts placements."""

    placement_number: int


@attrs.frozen(kw_only=True)
class FewestInFlight:
    """Choose the engine with the fewest attempts in flight.

    Counts the attempts of this router only.
    """


@attrs.frozen(kw_only=True)
class PrefixRendezvous:
    """Choose the first engine in rendezvous order of the affinity key."""


Policy = CostBased | RoundRobin | FewestInFlight | PrefixRendezvous


@attrs.frozen(kw_only=True)
class PoolView:
    """Hold a snapshot of a pool as input for the placement of one job.

    ``depths`` maps engine names to the number of leading blocks of the job's
    prompt that are cached there. ``prefill_s_per_token`` is the seconds to
    prefill one uncached token, ``piece_s`` the median seconds between two
    consecutive pieces of a streamed response and ``service_s`` the mean seconds
    that a request runs. ``router_count`` counts the routers that share the
    pool, and ``now_s`` is in seconds on the monotonic clock.
    """

    engines: Sequence[EngineState]
    depths: Mapping[str, int]
    affinity_key: str
    own_zone: str
    router_count: int
    prefill_s_per_token: float
    piece_s: float
    service_s: float
    now_s: float


@attrs.frozen(kw_only=True)
class EngineChoice:
    """Hold the chosen engine and the predictions behind the choice.

    ``depth`` is the number of cached prompt blocks; ``predicted_s`` is the
    predicted time to first token in seconds.
    """

    engine: EngineState
    depth: int
    predicted_s: float


def choose_engine(
    policy: Policy,
    job: Job,
    view: PoolView,
    rng: random.Random,
) -> EngineChoice | None:
    """Return the engine to run ``job`` now, or None to keep it queued.

    ``rng`` breaks ties.
    """
    if not view.engines:
        return None
    match policy:
        case CostBased():
            return _choose_by_cost(job, view, rng)
        case RoundRobin(placement_number=placement_number):
            ordered = sorted(view.engines, key=lambda engine: engine.name)
            return _build_choice(
                job, view, ordered[placement_number % len(ordered)]
            )
        case FewestInFlight():
            fewest = min(
                view.engines,
                key=lambda engine: (len(engine.in_flight), rng.random()),
            )
            return _build_choice(job, view, fewest)
        case PrefixRendezvous():
            return _build_choice(job, view, _in_rendezvous_order(view)[0])


def predicted_first_token_s(
    job: Job,
    view: PoolView,
    engine: EngineState,
) -> float:
    """Return the predicted time to first token on ``engine`` in seconds."""
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    work_s = (
        engine.prefill_backlog_tokens() + uncached
    ) * view.prefill_s_per_token
    slow_factor = _slow_factor(view, engine)
    network_s = 0 if engine.zone == view.own_zone else _CROSS_ZONE_LATENCY_S
    waiting_s = work_s + view.piece_s + _slot_wait_s(view, engine)
    return waiting_s * slow_factor + network_s


def engine_window(engine: EngineState, router_count: int) -> int:
    """Return how many attempts this router may have in flight on ``engine``.

    Each router has an equal share of the engine's slots. Its window is 1.5
    times the share, but at least two. While the engine's queue is longer than
    half its slots, the window is only the share, but at least one.
    """
    share = engine.slots / max(1, router_count)
    if engine.waiting > engine.slots // 2:
        return max(1, int(share))
    return max(_MIN_WINDOW_ATTEMPTS, int(share * _WINDOW_FACTOR))


def has_capacity(job: Job, view: PoolView, engine: EngineState) -> bool:
    """Return whether ``engine`` has capacity for ``job`` now.

    The prefill backlog has a lower limit for normal than for urgent jobs, so
    that urgent jobs find capacity. Long jobs leave part of each window free for
    short jobs, but may always have one attempt in flight; otherwise they could
    never run in a window of one.
    """
    backlog = engine.prefill_backlog_tokens()
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    limit = _MAX_PREFILL_BACKLOG_TOKENS[job.urgency]
    if backlog and backlog + uncached > limit:
        return False
    window = engine_window(engine, view.router_count)
    if not job.is_long:
        return len(engine.in_flight) < window
    reserve = max(1, int(window * _SHORT_JOB_RESERVE_RATIO))
    return len(engine.in_flight) < max(1, window - reserve)


def median_piece_s(engines: Sequence[EngineState]) -> float:
    """Return the median seconds between pieces over ``engines``.

    Skips engines without a measurement; 0 if there is none at all.
    """
    seen = [engine.piece_s for engine in engines if engine.piece_s]
    return statistics.median_low(seen) if seen else 0.0


def _choose_by_cost(
    job: Job,
    view: PoolView,
    rng: random.Random,
) -> EngineChoice | None:
    free = [
        engine for engine in view.engines if has_capacity(job, view, engine)
    ]
    if not free:
        return None
    ranked = [
        engine.name
        for engine in _in_rendezvous_order(view)
        if _slow_factor(view, engine) < _SLOW_THRESHOLD_FACTOR
    ]
    discounts = dict(zip(ranked, _AFFINITY_DISCOUNTS, strict=False))
    costs = {
        engine.name: _cost_s(job, view, engine, discounts)
        for engine in view.engines
    }
    free_names = {engine.name for engine in free}
    for engine in view.engines:
        if engine.name not in free_names:
            costs[engine.name] += _window_wait_s(view, engine)
    best_s = min(costs.values())
    best_free_s = min(costs[engine.name] for engine in free)
    if not _is_tied(best_free_s, best_s) and _may_defer(job, view):
        return None
    tied = [
        engine for engine in free if _is_tied(costs[engine.name], best_free_s)
    ]
    return _build_choice(job, view, rng.choice(tied))


def _is_tied(cost_s: float, best_s: float) -> bool:
    return cost_s <= best_s + max(_TIE_MARGIN_S, abs(best_s) * _TIE_RATIO)


def _may_defer(job: Job, view: PoolView) -> bool:
    """Return whether ``job`` may still wait for a cheaper engine.

    The cheaper engine has no capacity for the job at present.
    """
    return view.now_s - job.arrived_s < _MAX_DEFERRAL_S


def _cost_s(
    job: Job,
    view: PoolView,
    engine: EngineState,
    discounts: Mapping[str, float],
) -> float:
    """Return the predicted time to first token plus penalties, in seconds.

    One penalty is for the uncached tokens, reduced by the engine's entry in
    ``discounts``; the other is for the longer service of a slow engine.
    """
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    weight = _RECOMPUTATION_WEIGHT - discounts.get(engine.name, 0)
    cost_s = predicted_first_token_s(job, view, engine)
    cost_s += weight * uncached * view.prefill_s_per_token
    slow_factor = _slow_factor(view, engine)
    if slow_factor >= _SLOW_THRESHOLD_FACTOR:
        cost_s += _SLOW_SERVICE_WEIGHT * (slow_factor - 1) * view.service_s
    return cost_s


def _window_wait_s(view: PoolView, engine: EngineState) -> float:
    """Return the expected wait until an attempt in the window ends."""
    return view.service_s / engine_window(engine, view.router_count)


def _slow_factor(view: PoolView, engine: EngineState) -> float:
    return engine.slow_factor(view.piece_s, view.now_s)


def _slot_wait_s(view: PoolView, engine: EngineState) -> float:
    """Return the expected wait for a slot, 0 if the slots are unknown."""
    if not engine.slots:
        return 0.0
    reported = engine.running + engine.waiting
    occupied = max(
        reported + len(engine.attempts_since_report()),
        # A report can be older than its arrival and miss these attempts.
        len(engine.in_flight),
    )
    excess = occupied - engine.slots + 1
    return max(0, excess) * view.service_s / engine.slots


def _in_rendezvous_order(view: PoolView) -> list[EngineState]:
    by_name = {engine.name: engine for engine in view.engines}
    return [
        by_name[name]
        for name in rank_by_rendezvous_hash(view.affinity_key, by_name)
    ]


def _build_choice(
    job: Job, view: PoolView, engine: EngineState
) -> EngineChoice:
    return EngineChoice(
        engine=engine,
        depth=view.depths.get(engine.name, 0),
        predicted_s=predicted_first_token_s(job, view, engine),
    )
