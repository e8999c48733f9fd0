"""Choose the engine for a request."""

import enum
import random
import statistics
from collections.abc import Mapping, Sequence
from types import MappingProxyType

import attrs

from arbutusbay.hashing import rendezvous_order
from arbutusbay.policy._engine_state import EngineState
from arbutusbay.policy._job import Job
from arbutusbay.state import Urgency

_OTHER_ZONE_S = 0.002
_TIE_S = 0.003
_TIE_RATIO = 0.05
_MAX_HOLD_S = 0.3
_AFFINITY = (2.0, 1.0)
_RECOMPUTATION_WEIGHT = 3.0
_SUSPECT_FACTOR = 2.0
_SLOW_SERVICE_WEIGHT = 0.5
_MIN_WINDOW = 2
_WINDOW_FACTOR = 1.5
_LONG_RESERVE_RATIO = 0.25
_BACKLOG_LIMITS_TOKENS = MappingProxyType(
    {
        Urgency.URGENT: 3072,
        Urgency.NORMAL: 1536,
    }
)


class PolicyName(enum.StrEnum):
    """Name the placement policies that settings can choose."""

    COST = 'cost'
    ROUND_ROBIN = 'round_robin'
    FEWEST_IN_FLIGHT = 'fewest_in_flight'
    RENDEZVOUS = 'rendezvous'


@attrs.frozen(kw_only=True)
class CostBased:
    """Take the lowest predicted time to first token."""


@attrs.frozen(kw_only=True)
class RoundRobin:
    """Take engines in turn; ``turn`` counts placements."""

    turn: int


@attrs.frozen(kw_only=True)
class FewestInFlight:
    """Take the engine with the fewest attempts of this router."""


@attrs.frozen(kw_only=True)
class PrefixRendezvous:
    """Take the first engine in rendezvous order of the prefix."""


Policy = CostBased | RoundRobin | FewestInFlight | PrefixRendezvous


@attrs.frozen(kw_only=True)
class PoolView:
    """Hold what placement needs to know of a pool at one moment.

    ``depths`` maps engines to cached blocks of the job's prompt;
    ``prefill_s`` is seconds per uncached token, ``piece_s`` the median time
    between pieces, ``service_s`` the mean time that a request runs.
    """

    engines: Sequence[EngineState]
    depths: Mapping[str, int]
    affinity_key: str
    own_zone: str
    routers: int
    prefill_s: float
    piece_s: float
    service_s: float
    now_s: float


@attrs.frozen(kw_only=True)
class Choice:
    """Name the chosen engine and what was expected of it."""

    engine: EngineState
    depth: int
    predicted_s: float


def choose_engine(
    policy: Policy,
    job: Job,
    view: PoolView,
    rng: random.Random,
) -> Choice | None:
    """Return where ``job`` goes now, or None when it should wait."""
    if not view.engines:
        return None
    match policy:
        case CostBased():
            return _choose_by_cost(job, view, rng)
        case RoundRobin(turn=turn):
            ordered = sorted(view.engines, key=lambda engine: engine.name)
            return _choice(job, view, ordered[turn % len(ordered)])
        case FewestInFlight():
            fewest = min(
                view.engines,
                key=lambda engine: (len(engine.in_flight), rng.random()),
            )
            return _choice(job, view, fewest)
        case PrefixRendezvous():
            return _choice(job, view, _ranked(view)[0])


def predicted_first_token_s(
    job: Job,
    view: PoolView,
    engine: EngineState,
) -> float:
    """Return the predicted seconds to the first token on ``engine``."""
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    work_s = (engine.backlog_tokens() + uncached) * view.prefill_s
    slow = _slowness(view, engine)
    network_s = 0 if engine.zone == view.own_zone else _OTHER_ZONE_S
    waiting_s = work_s + view.piece_s + _slot_wait_s(view, engine)
    return waiting_s * slow + network_s


def engine_window(engine: EngineState, routers: int) -> int:
    """Return how many attempts this router may have out at ``engine``."""
    share = engine.slots / max(1, routers)
    if engine.waiting > engine.slots // 2:
        return max(1, int(share))
    return max(_MIN_WINDOW, int(share * _WINDOW_FACTOR))


def has_room(job: Job, view: PoolView, engine: EngineState) -> bool:
    """Tell whether the engine takes ``job`` now.

    Prompts that wait for prefill are bounded, more tightly for normal work,
    so that urgent work finds room. Long work leaves the last places of each
    window to short work, but has one place in any window.
    """
    backlog = engine.backlog_tokens()
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    limit = _BACKLOG_LIMITS_TOKENS[job.urgency]
    if backlog and backlog + uncached > limit:
        return False
    window = engine_window(engine, view.routers)
    if not job.is_long:
        return len(engine.in_flight) < window
    reserve = max(1, int(window * _LONG_RESERVE_RATIO))
    return len(engine.in_flight) < max(1, window - reserve)


def median_piece_s(engines: Sequence[EngineState]) -> float:
    """Return the median time between pieces over engines seen so far."""
    seen = [engine.piece_s for engine in engines if engine.piece_s]
    return statistics.median_low(seen) if seen else 0.0


def _choose_by_cost(
    job: Job,
    view: PoolView,
    rng: random.Random,
) -> Choice | None:
    free = [engine for engine in view.engines if has_room(job, view, engine)]
    if not free:
        return None
    ranked = [
        engine.name
        for engine in _ranked(view)
        if _slowness(view, engine) < _SUSPECT_FACTOR
    ]
    discounts = dict(zip(ranked, _AFFINITY, strict=False))
    costs = {
        engine.name: _cost_s(job, view, engine, discounts)
        for engine in view.engines
    }
    free_names = {engine.name for engine in free}
    for engine in view.engines:
        if engine.name not in free_names:
            costs[engine.name] += _place_wait_s(view, engine)
    best_s = min(costs.values())
    best_free_s = min(costs[engine.name] for engine in free)
    if not _is_tied(best_free_s, best_s) and _may_hold(job, view):
        return None
    tied = [
        engine for engine in free if _is_tied(costs[engine.name], best_free_s)
    ]
    return _choice(job, view, rng.choice(tied))


def _is_tied(cost_s: float, best_s: float) -> bool:
    return cost_s <= best_s + max(_TIE_S, abs(best_s) * _TIE_RATIO)


def _may_hold(job: Job, view: PoolView) -> bool:
    """Tell whether ``job`` may wait for an engine better than a free one."""
    return view.now_s - job.arrived_s < _MAX_HOLD_S


def _cost_s(
    job: Job,
    view: PoolView,
    engine: EngineState,
    discounts: Mapping[str, float],
) -> float:
    uncached = job.uncached_tokens(view.depths.get(engine.name, 0))
    weight = _RECOMPUTATION_WEIGHT - discounts.get(engine.name, 0)
    cost_s = predicted_first_token_s(job, view, engine)
    cost_s += weight * uncached * view.prefill_s
    slowness = _slowness(view, engine)
    if slowness >= _SUSPECT_FACTOR:
        cost_s += _SLOW_SERVICE_WEIGHT * (slowness - 1) * view.service_s
    return cost_s


def _place_wait_s(view: PoolView, engine: EngineState) -> float:
    return view.service_s / engine_window(engine, view.routers)


def _slowness(view: PoolView, engine: EngineState) -> float:
    return engine.slow_factor(view.piece_s, view.now_s)


def _slot_wait_s(view: PoolView, engine: EngineState) -> float:
    if not engine.slots:
        return 0.0
    occupied = engine.running + engine.waiting + len(engine.sent_since_report())
    excess = occupied - engine.slots + 1
    return max(0, excess) * view.service_s / engine.slots


def _ranked(view: PoolView) -> list[EngineState]:
    by_name = {engine.name: engine for engine in view.engines}
    return [
        by_name[name] for name in rendezvous_order(view.affinity_key, by_name)
    ]


def _choice(job: Job, view: PoolView, engine: EngineState) -> Choice:
    return Choice(
        engine=engine,
        depth=view.depths.get(engine.name, 0),
        predicted_s=predicted_first_token_s(job, view, engine),
    )
