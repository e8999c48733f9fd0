"""Estimate how long the responses of a route take."""

import attrs

from arbutusbay.fleet import RouteSpec

_SMOOTHING_FACTOR = 0.1
_SAFETY_FACTOR = 1.5


@attrs.define(kw_only=True)
class ResponseDurations:
    """Hold the moving average of the whole response, by name of the route."""

    mean_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: RouteSpec, duration_s: float) -> None:
        """Record how long a complete response took from its sending."""
        mean_s = self.mean_s.get(route.name, duration_s)
        self.mean_s[route.name] = mean_s + _SMOOTHING_FACTOR * (
            duration_s - mean_s
        )

    def expected_s(self, route: RouteSpec) -> float:
        """Return how long a response probably takes at most.

        Without any measurement it is due within the target of the route.
        """
        mean_s = self.mean_s.get(route.name, 0)
        return max(mean_s, route.target_latency_s) * _SAFETY_FACTOR
