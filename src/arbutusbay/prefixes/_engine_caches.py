"""Remember which engines hold KV cache, and since when they fill it."""

from collections.abc import Collection

import attrs

from arbutusbay.prefixes._types import EngineCache

# An engine that is known as early as this VM itself may be older.
_FIRST_SIGHT_S = 3.0
# Engines that are gone are dropped together, not at each look.
_MAX_GONE = 64


@attrs.frozen(kw_only=True)
class _Known:
    incarnation: int
    cache: EngineCache


class EngineCaches:
    """Remember when each engine was last seen to start or change weights."""

    def __init__(self, *, started_s: float) -> None:
        """Take engines that are seen soon after ``started_s`` for old."""
        self.started_s = started_s
        self.known: dict[str, _Known] = {}

    def find(
        self,
        engine_id: str,
        incarnation: int,
        weights_version: int | None,
        *,
        address: str,
        zone: str,
        now_s: float,
    ) -> EngineCache:
        """Return the cache of an engine.

        It has been filled forever in an engine that may be older than this VM.
        """
        known = self.known.get(engine_id)
        if (
            known is not None
            and known.incarnation == incarnation
            and known.cache.weights_version == weights_version
            and known.cache.address == address
        ):
            return known.cache
        is_old = known is None and now_s - self.started_s < _FIRST_SIGHT_S
        cache = EngineCache(
            id=engine_id,
            address=address,
            zone=zone,
            weights_version=weights_version,
            filled_since_s=float('-inf') if is_old else now_s,
        )
        self.known[engine_id] = _Known(incarnation=incarnation, cache=cache)
        return cache

    def retain(self, engine_ids: Collection[str]) -> None:
        """Forget the engines that are gone, once there are many."""
        if len(self.known) <= len(engine_ids) + _MAX_GONE:
            return
        for engine_id in self.known.keys() - set(engine_ids):
            self.known.pop(engine_id)
