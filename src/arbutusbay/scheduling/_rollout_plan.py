"""Plan which engines load new weights, and warn of it in time.

A stream that runs on while its engine loads pauses for longer than
clients accept. So each load is announced first: long streams then go to
other engines, and those that run have time to end.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.scheduling._engine_view import EngineView
from arbutusbay.scheduling._sides import ranked_engines

_PARALLEL_SHARE = 3
NOTICE_S = 0.35


@attrs.frozen(kw_only=True)
class WeightsLoad:
    """Name an engine and the version that it should load."""

    engine: EngineView
    model: str
    version: int


@attrs.frozen(kw_only=True)
class RolloutState:
    """Hold what a rollout has announced, started and put off.

    ``announced_s`` says when each engine's load was announced; ``loading``
    names engines whose load is in progress, ``put_off`` those that did not
    answer.
    """

    announced_s: Mapping[str, float]
    loading: Collection[str]
    put_off: Collection[str]
    now_s: float


@attrs.frozen(kw_only=True)
class NextLoads:
    """Say which loads to start now and which to announce."""

    start: Sequence[WeightsLoad]
    announce: Sequence[WeightsLoad]


def outdated_engines(
    engines: Collection[EngineView],
    model: str,
    version: int,
) -> list[EngineView]:
    """Return engines that run an older version of ``model``."""
    return [
        engine
        for engine in engines
        if model in engine.weights
        and engine.weights[model] < version
        and not engine.is_draining
    ]


def parallel_loads(engine_count: int) -> int:
    """Return how many engines of a service may load at once."""
    return max(1, engine_count // _PARALLEL_SHARE)


def next_loads(
    engines: Sequence[EngineView],
    model: str,
    version: int,
    state: RolloutState,
) -> NextLoads:
    """Return the loads to start and to announce now.

    Ranks are spread over the rounds, so that of engines with the same kind
    of work only a few load at once.
    """
    limit = parallel_loads(len(engines))
    outdated = outdated_engines(_spread(engines, limit), model, version)
    waiting = [
        engine
        for engine in outdated
        if engine.id not in state.loading and engine.id not in state.put_off
    ]
    places = max(0, limit - len(state.loading))
    start = [
        engine for engine in waiting[:places] if _is_noticed(engine, state)
    ]
    following = waiting[: places or limit]
    announce = [
        engine for engine in following if engine.id not in state.announced_s
    ]
    return NextLoads(
        start=_loads(start, model, version),
        announce=_loads(announce, model, version),
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


def _spread(engines: Sequence[EngineView], limit: int) -> list[EngineView]:
    ranked = ranked_engines(engines)
    rounds = max(1, -(-len(ranked) // limit))
    return [
        engine for first in range(rounds) for engine in ranked[first::rounds]
    ]


def _is_noticed(engine: EngineView, state: RolloutState) -> bool:
    announced_s = state.announced_s.get(engine.id)
    if announced_s is None:
        return False
    if not engine.occupancy(state.now_s).attempts:
        return True
    return state.now_s - announced_s >= NOTICE_S
