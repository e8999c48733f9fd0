"""Select the engines that load new weights next."""

from collections.abc import Sequence

from arbutusbay.state import Pool
from arbutusbay.wire import EngineView


def engines_to_load(
    pool: Pool,
    engines: Sequence[EngineView],
    *,
    engines_with_order: frozenset[str],
) -> list[str]:
    """Return the names of the engines to order to load weights now.

    ``engines_with_order`` names the engines with an unfinished order. At most
    ``max_concurrent_loads`` engines load at once, and at least one engine
    stays ready, unless the pool has only one reachable engine. The engines
    with the fewest running requests come first.
    """
    reachable = [engine for engine in engines if engine.incarnation]
    ready = [
        engine
        for engine in reachable
        if engine.ready and engine.name not in engines_with_order
    ]
    outdated = [
        engine
        for engine in ready
        if engine.weights_version != pool.weights_version
    ]
    load_count = len(reachable) - len(ready)
    available_loads = max(0, pool.max_concurrent_loads - load_count)
    spare_engines = max(0, len(ready) - 1)
    if len(reachable) == 1:
        spare_engines = len(outdated)
    allowed = min(available_loads, spare_engines)
    outdated.sort(key=lambda engine: (engine.running, engine.name))
    return [engine.name for engine in outdated[:allowed]]
