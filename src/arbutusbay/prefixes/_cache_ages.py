"""Track since when each engine has been filling its KV cache."""

import attrs

# An engine that is known as early as this VM itself may be older.
_FIRST_SIGHT_S = 3.0


@attrs.frozen(kw_only=True)
class _Filling:
    incarnation: int
    weights_version: int | None
    since_s: float


class CacheAges:
    """Remember when each engine was last seen to start or change weights."""

    def __init__(self, *, started_s: float) -> None:
        """Take engines that are seen soon after ``started_s`` for old."""
        self.started_s = started_s
        self.fillings: dict[str, _Filling] = {}

    def age_s(
        self,
        engine_id: str,
        incarnation: int,
        weights_version: int | None,
        now_s: float,
    ) -> float:
        """Return for how many seconds the cache of an engine has been filled.

        It is infinity for an engine that may be older than this VM.
        """
        known = self.fillings.get(engine_id)
        is_same = (
            known is not None
            and known.incarnation == incarnation
            and known.weights_version == weights_version
        )
        if not is_same:
            is_old = known is None and now_s - self.started_s < _FIRST_SIGHT_S
            known = _Filling(
                incarnation=incarnation,
                weights_version=weights_version,
                since_s=float('-inf') if is_old else now_s,
            )
            self.fillings[engine_id] = known
        return now_s - known.since_s

    def retain(self, engine_ids: set[str]) -> None:
        """Forget the engines that are gone."""
        for engine_id in self.fillings.keys() - engine_ids:
            self.fillings.pop(engine_id)
