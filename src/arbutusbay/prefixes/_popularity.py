"""Estimate how many engines should hold a shared prefix."""

import math

import attrs

_HALF_LIFE_S = 8.0
_MAX_KEYS = 512
# One request says little of how often others come.
_DISCOUNT = 1.0
# Few requests say little of their shares.
_PRIOR_REQUESTS = 4
# The engines that hold a common prefix serve others as well.
_HEADROOM = 3.0


@attrs.define(kw_only=True)
class _Count:
    weight: float = 0.0
    updated_s: float = 0.0

    def value_at(self, now_s: float) -> float:
        return self.weight * 0.5 ** ((now_s - self.updated_s) / _HALF_LIFE_S)

    def add(self, now_s: float) -> None:
        self.weight = self.value_at(now_s) + 1
        self.updated_s = now_s


class PrefixPopularity:
    """Count this VM's own requests by their shared prefix.

    The requests of a VM are a sample of those of the fleet, so a prefix that is
    common in the fleet is soon so here, without a message.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.counts: dict[str, _Count] = {}
        self.total = _Count()

    def record(self, key: str, now_s: float) -> None:
        """Count a request; forget rare prefixes when there are many."""
        self.total.add(now_s)
        self.counts.setdefault(key, _Count()).add(now_s)
        if len(self.counts) > _MAX_KEYS:
            self._keep_half(now_s)

    def replicas(self, key: str, engines: int, now_s: float) -> int:
        """Return how many of the engines should hold a prefix.

        That is as many as serve its share of the requests and others with
        about a mean load.
        """
        count = self.counts.get(key)
        if count is None:
            return 1
        seen = max(0.0, count.value_at(now_s) - _DISCOUNT)
        share = seen / (_PRIOR_REQUESTS + self.total.value_at(now_s))
        return max(1, min(engines, math.ceil(share * engines * _HEADROOM)))

    def _keep_half(self, now_s: float) -> None:
        ranked = sorted(
            self.counts, key=lambda key: self.counts[key].value_at(now_s)
        )
        for key in ranked[: len(ranked) // 2]:
            self.counts.pop(key)
