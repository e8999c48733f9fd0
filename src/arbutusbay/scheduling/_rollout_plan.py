"""Plan which engines load new weights next."""

from collections.abc import Collection, Sequence

import attrs

from arbutusbay.scheduling._engine_view import EngineView

_PARALLEL_SHARE = 3


@attrs.frozen(kw_only=True)
class WeightsLoad:
    """Name an engine and the version that it should load."""

    engine: EngineView
    model: str
    version: int


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
    busy: Collection[str],
) -> list[WeightsLoad]:
    """Return the loads to start now, the least occupied engines first.

    ``busy`` names engines whose load is in progress.
    """
    free = parallel_loads(len(engines)) - len(busy)
    waiting = [
        engine
        for engine in outdated_engines(engines, model, version)
        if engine.id not in busy
    ]
    waiting.sort(key=lambda engine: (len(engine.out), engine.id))
    return [
        WeightsLoad(engine=engine, model=model, version=version)
        for engine in waiting[: max(0, free)]
    ]
