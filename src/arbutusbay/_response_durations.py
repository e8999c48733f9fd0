"""Estimate how long responses take."""

import attrs

_SMOOTHING_FACTOR = 0.1
_SAFETY_FACTOR = 1.5


@attrs.define(kw_only=True)
class ResponseDurations:
    """Hold moving averages of the whole response, by name of what responds."""

    mean_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, name: str, duration_s: float) -> None:
        """Record how long a complete response took from its sending."""
        mean_s = self.mean_s.get(name, duration_s)
        self.mean_s[name] = mean_s + _SMOOTHING_FACTOR * (duration_s - mean_s)

    def expected_s(self, name: str, *, target_s: float = 0) -> float:
        """Return how long a response probably takes at most.

        Without any measurement it is due within its target.
        """
        return max(self.mean_s.get(name, 0), target_s) * _SAFETY_FACTOR
