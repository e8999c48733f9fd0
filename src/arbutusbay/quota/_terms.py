"""Define the rate limit of a team and how it is divided within its bound."""

import math

import attrs

# What remains of the tolerance covers VMs that restart and forget what they
# lent, and lists of VMs that differ for a moment.
_CAPACITY_PART = 0.3
_START_PART = 0.6
# What may be used at once of a limit that names no burst.
_DEFAULT_BURST_S = 1.0
_MIN_DEFAULT_BURST = 1.0
_MAX_DEFAULT_BURST_PART = 0.5


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """Hold by how much the fleet may exceed a limit.

    In any ``window_s`` seconds, requests of a team may cost up to
    (rate * window + burst) * (1 + ``overshoot``) + ``slack``.
    """

    window_s: float = 0.0
    overshoot: float = 0.0
    slack: float = 0.0


@attrs.frozen(kw_only=True)
class QuotaTerms:
    """Hold the rate limit of a team in a version of the configuration."""

    version: int
    rate_per_s: float
    burst: float

    def tolerance(self, bounds: QuotaBounds) -> float:
        """Return what the fleet may grant in a window beyond this limit."""
        limit = self.rate_per_s * bounds.window_s + self.burst
        return limit * bounds.overshoot + bounds.slack

    def capacity(self, bounds: QuotaBounds) -> float:
        """Return what a team that was idle may use at once."""
        named = self._named_capacity(bounds)
        return named or self._default_burst(bounds)

    def refill_rate_per_s(self, bounds: QuotaBounds) -> float:
        """Return how fast unused tokens grow.

        What a limit without a burst may use at once is taken from its rate, as
        nothing may be used in a window beyond that.
        """
        if self._named_capacity(bounds) or not bounds.window_s:
            return self.rate_per_s
        return self.rate_per_s - self._default_burst(bounds) / bounds.window_s

    def start_credit(self, bounds: QuotaBounds) -> float:
        """Return what all owners together may grant as they take over."""
        return _START_PART * self.tolerance(bounds)

    def _named_capacity(self, bounds: QuotaBounds) -> float:
        return self.burst + _CAPACITY_PART * self.tolerance(bounds)

    def _default_burst(self, bounds: QuotaBounds) -> float:
        burst = max(self.rate_per_s * _DEFAULT_BURST_S, _MIN_DEFAULT_BURST)
        if not bounds.window_s:
            return burst
        per_window = self.rate_per_s * bounds.window_s
        return min(burst, per_window * _MAX_DEFAULT_BURST_PART)


@attrs.frozen(kw_only=True)
class Granted:
    """Report that a request is within the limit, and was charged."""


@attrs.frozen(kw_only=True)
class Refused:
    """Report that a request is beyond the limit, and was not charged.

    ``retry_after_s`` is when it will be granted, infinity if it costs more
    than the limit allows at any time.
    """

    retry_after_s: float

    @property
    def is_final(self) -> bool:
        """Return whether the request can't be granted at any time."""
        return math.isinf(self.retry_after_s)


Decision = Granted | Refused
