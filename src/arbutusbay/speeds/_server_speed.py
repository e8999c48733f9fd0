"""Estimate the speed of one backend server from how long its work takes."""

import math

import attrs

from arbutusbay.speeds._evidence import Evidence
from arbutusbay.speeds._types import LOAD_LEVELS

_SPEED_HALF_LIFE_S = 2.0
_RARE_HALF_LIFE_S = 8.0
_ENOUGH_SAMPLES = 30
_MOMENT_HALF_LIFE_S = 0.15
_LEVEL_HALF_LIFE_S = 8.0
_MIN_WEIGHT = 0.05
_MAX_SURPRISE = 0.7
_MIN_MOMENT_WEIGHT = 4.0
_MIN_MOMENT_SLOWDOWN = 1.5
_CERTAIN_DEVIATIONS = 3.0
_MIN_LEVEL_WEIGHT = 6.0
_MAX_LEVEL_SLOWDOWN = 1.3


def _build_levels() -> list[Evidence]:
    return [
        Evidence(half_life_s=_LEVEL_HALF_LIFE_S) for _ in range(LOAD_LEVELS)
    ]


@attrs.define(kw_only=True)
class ServerSpeed:
    """Hold the evidence on one incarnation of a backend server.

    Samples are logarithms of the time that work took, divided by the time that
    it takes at a usual server of the service. ``lasting`` follows changes
    within seconds, ``momentary`` within a fraction of a second. ``levels``
    holds the samples by the load that the server had, ``taken_levels`` up to
    how many levels of load it takes well, as of the last ``update``.
    """

    incarnation: int
    pool: str
    lasting: Evidence = attrs.field(
        factory=lambda: Evidence(
            half_life_s=_SPEED_HALF_LIFE_S,
            max_half_life_s=_RARE_HALF_LIFE_S,
            enough=_ENOUGH_SAMPLES,
        )
    )
    momentary: Evidence = attrs.field(
        factory=lambda: Evidence(half_life_s=_MOMENT_HALF_LIFE_S)
    )
    levels: list[Evidence] = attrs.field(factory=_build_levels)
    taken_levels: int = LOAD_LEVELS

    def add(self, level: int, count: int, total: float, now_s: float) -> None:
        """Add ``count`` samples at a level of load whose sum is ``total``.

        What lies far from the estimate counts less for the lasting speed, and
        what was measured under more load than the server takes well counts for
        neither speed.
        """
        self.levels[level].add(count, total, now_s)
        if level < self.taken_levels:
            self.momentary.add(count, total, now_s)
            known = self.lasting.mean
            surprise = max(
                -_MAX_SURPRISE, min(_MAX_SURPRISE, total / count - known)
            )
            self.lasting.add(count, count * (known + surprise), now_s)

    def update(self, now_s: float) -> None:
        """Let all samples lose weight up to ``now_s``."""
        for evidence in (self.lasting, self.momentary, *self.levels):
            evidence.decay(now_s)
        self.taken_levels = self._find_taken_levels()

    def is_forgotten(self) -> bool:
        """Return whether the samples have next to no weight left."""
        return all(evidence.weight < _MIN_WEIGHT for evidence in self.levels)

    def momentary_slowdown(self, noise: float) -> float:
        """Return the factor by which work takes longer now than usually here.

        ``noise`` is that of the ``Pool``.
        """
        if self.momentary.weight < _MIN_MOMENT_WEIGHT:
            return 1.0
        deviation = self.momentary.mean - self.lasting.mean
        error = _CERTAIN_DEVIATIONS * math.sqrt(noise / self.momentary.weight)
        if deviation < max(math.log(_MIN_MOMENT_SLOWDOWN), error):
            return 1.0
        return math.exp(deviation)

    def _find_taken_levels(self) -> int:
        """Return up to how many levels of load the server takes well.

        A level counts as too much if work takes markedly longer than below it.
        Without recent samples it counts as taken, so it is tried again when
        those that spoke against it have lost their weight. The lowest level is
        always taken.
        """
        weight = 0.0
        total = 0.0
        for level, evidence in enumerate(self.levels):
            has_both = min(weight, evidence.weight) >= _MIN_LEVEL_WEIGHT
            if has_both:
                deviation = evidence.mean - total / weight
                if deviation > math.log(_MAX_LEVEL_SLOWDOWN):
                    return level
            weight += evidence.weight
            total += evidence.total
        return LOAD_LEVELS
