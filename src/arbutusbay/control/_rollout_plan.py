"""Decide which engines load weights next."""

from collections.abc import Sequence

from arbutusbay.state import Pool
from arbutusbay.wire import EngineView


def engines_to_load(
    pool: Pool,
    engines: Sequence[EngineView],
    *,
    ordered: frozenset[str],
) -> list[str]:
    """Return engines that should get an order to load now.

    ``ordered`` names engines with an order that is still out. At most
    ``max_concurrent_loads`` load at once, and one ready engine stays.
    """
    reachable = [engine for engine in engines if engine.incarnation]
    ready = [
        engine
        for engine in reachable
        if engine.ready and engine.name not in ordered
    ]
    outdated = [
        engine
        for engine in ready
        if engine.weights_version != pool.weights_version
    ]
    loading = len(reachable) - len(ready)
    free_loads = max(0, pool.max_concurrent_loads - loading)
    spare_engines = max(0, len(ready) - 1)
    if len(reachable) == 1:
        spare_engines = len(outdated)
    allowed = min(free_loads, spare_engines)
    outdated.sort(key=lambda engine: (engine.running, engine.name))
    return [engine.name for engine in outdated[:allowed]]
