"""Sum up samples that lose weight as they age."""

import attrs


@attrs.define(kw_only=True)
class Evidence:
    """Hold the weight and the weighted sum of samples as of ``as_of_s``.

    The weight of a sample is 1 at first and halves every ``half_life_s``. As
    long as all together weigh less than ``enough``, they lose it more slowly,
    down to ``max_half_life_s``.
    """

    half_life_s: float
    max_half_life_s: float = 0.0
    enough: float = 0.0
    weight: float = 0.0
    total: float = 0.0
    as_of_s: float = 0.0

    @property
    def mean(self) -> float:
        """Return the mean of the samples, 0 without any."""
        return self.total / self.weight if self.weight > 0 else 0.0

    def add(self, count: float, total: float, now_s: float) -> None:
        """Add ``count`` samples whose sum is ``total``."""
        self.decay(now_s)
        self.weight += count
        self.total += total

    def decay(self, now_s: float) -> None:
        """Let the samples lose weight up to ``now_s``."""
        age_s = max(0.0, now_s - self.as_of_s)
        factor = 0.5 ** (age_s / self._current_half_life_s())
        self.weight *= factor
        self.total *= factor
        self.as_of_s = max(self.as_of_s, now_s)

    def _current_half_life_s(self) -> float:
        if self.weight >= self.enough:
            return self.half_life_s
        longer_s = self.half_life_s * self.enough / max(1.0, self.weight)
        return max(self.half_life_s, min(self.max_half_life_s, longer_s))
