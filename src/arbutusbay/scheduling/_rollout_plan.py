"""Plan the rollout of new weights to the engines of a service.

A weights load pauses the streams of its engine for longer than clients
accept. Each load is therefore announced in advance: new streams are then
placed on other engines, and running streams have time to finish.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.scheduling._engine_view import EngineView
from arbutusbay.scheduling._prompt_length_partition import rank_engines

_ENGINES_PER_PARALLEL_LOAD = 3
WEIGHTS_LOAD_NOTICE_S = 0.35
_RENEWAL_MARGIN_S = 0.15
_MAX_WAIT_FOR_STARTS_S = 0.5


@attrs.frozen(kw_only=True)
class WeightsLoad:
    """Describe the load of a weights version into an engine."""

    engine: EngineView
    model: str
    version: int


@attrs.frozen(kw_only=True)
class RolloutState:
    """Hold the state of a rollout.

    ``announced_at_s`` maps engine ids to the time when the engine's load was
    announced, in seconds on the clock of ``now_s``. ``loading_engines`` holds
    the ids of engines whose load is in progress, ``deferred_engines`` the ids
    of engines whose load failed recently and that are skipped for now.
    """

    announced_at_s: Mapping[str, float]
    loading_engines: Collection[str]
    deferred_engines: Collection[str]
    now_s: float


@attrs.frozen(kw_only=True)
class LoadSchedule:
    """Hold the loads to start, to announce and to withdraw now."""

    start: Sequence[WeightsLoad]
    announcements: Sequence[WeightsLoad]
    withdrawals: Sequence[WeightsLoad]


def outdated_engines(
    engines: Collection[EngineView],
    model: str,
    version: int,
) -> list[EngineView]:
    """Return engines that stay and run an older version of ``model``."""
    return [
        engine
        for engine in engines
        if model in engine.weights
        and engine.weights[model] < version
        and not engine.is_departing
    ]


def max_parallel_loads(engine_count: int) -> int:
    """Return how many engines of a service may load weights concurrently."""
    return max(1, engine_count // _ENGINES_PER_PARALLEL_LOAD)


def schedule_loads(
    engines: Sequence[EngineView],
    model: str,
    version: int,
    state: RolloutState,
) -> LoadSchedule:
    """Return the loads to start and to announce now.

    Concurrent loads are spread over the ranking of the engines, so that only
    a few of the engines that serve the same prompt length load at once. A load
    is announced once a place for it is expected to come free: VMs avoid its
    engine from the announced time on. One that can't begin then is announced
    anew, and withdrawn once others come first, as after a newer version was
    named.
    """
    limit = max_parallel_loads(len(engines))
    outdated = outdated_engines(_in_load_order(engines, limit), model, version)
    waiting = [
        engine
        for engine in outdated
        if engine.id not in state.loading_engines
        and engine.id not in state.deferred_engines
    ]
    free_slots = max(0, limit - len(state.loading_engines))
    start = [
        engine for engine in waiting[:free_slots] if _can_start(engine, state)
    ]
    next_slots = free_slots + _count_ending(engines, state)
    announcements = [
        engine
        for engine in waiting[:next_slots]
        if engine.id not in state.announced_at_s
    ]
    announcements += [
        engine
        for engine in waiting[free_slots:limit]
        if _must_announce_anew(engine, state)
    ]
    withdrawals = [
        engine
        for engine in waiting[limit:]
        if engine.id in state.announced_at_s
    ]
    return LoadSchedule(
        start=_loads(start, model, version),
        announcements=_loads(announcements, model, version),
        withdrawals=_loads(withdrawals, model, version),
    )


def _count_ending(engines: Sequence[EngineView], state: RolloutState) -> int:
    """Return how many loads are expected to end within a notice period."""
    return sum(
        engine.planned_load is not None
        and engine.planned_load.finish_s - state.now_s <= WEIGHTS_LOAD_NOTICE_S
        for engine in engines
        if engine.id in state.loading_engines
    )


def _must_announce_anew(engine: EngineView, state: RolloutState) -> bool:
    """Return whether a load without a place is to be announced again.

    It is before the time comes that was announced, as other VMs would avoid
    the engine from then on and expect the new weights later.
    """
    announced = engine.planned_load
    return (
        engine.id in state.announced_at_s
        and announced is not None
        and announced.start_s <= state.now_s + _RENEWAL_MARGIN_S
    )


def _loads(
    engines: Sequence[EngineView],
    model: str,
    version: int,
) -> list[WeightsLoad]:
    return [
        WeightsLoad(engine=engine, model=model, version=version)
        for engine in engines
    ]


def _in_load_order(
    engines: Sequence[EngineView],
    limit: int,
) -> list[EngineView]:
    """Order the engines in rounds that each span the whole ranking.

    A round holds up to ``limit`` engines, which may load concurrently.
    """
    ranked = rank_engines(engines)
    rounds = max(1, -(-len(ranked) // limit))
    return [
        engine for first in range(rounds) for engine in ranked[first::rounds]
    ]


def _can_start(engine: EngineView, state: RolloutState) -> bool:
    """Return whether an announced load may start.

    It may once the engine is idle or the notice period has passed. Requests
    that the engine has not begun would be rejected, so it waits for these as
    well, while other VMs avoid the engine, but not for long.
    """
    announced_at_s = state.announced_at_s.get(engine.id)
    if announced_at_s is None:
        return False
    occupancy = engine.occupancy.total(state.now_s)
    if not occupancy.attempts:
        return True
    notified_s = state.now_s - announced_at_s - WEIGHTS_LOAD_NOTICE_S
    if notified_s < 0:
        return False
    return not occupancy.uncached_tokens or not _may_wait(
        engine, notified_s, state.now_s
    )


def _may_wait(engine: EngineView, notified_s: float, now_s: float) -> bool:
    """Return whether a load may wait for the requests at its engine.

    Once the announced time ends other VMs expect the new weights.
    """
    planned = engine.planned_load
    if planned is None or planned.finish_s <= now_s + _RENEWAL_MARGIN_S:
        return False
    return notified_s < _MAX_WAIT_FOR_STARTS_S
