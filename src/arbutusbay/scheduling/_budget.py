"""Bound retries to a share of the traffic."""

import attrs


@attrs.define(kw_only=True)
class Budget:
    """Hold tokens that requests earn and extra attempts spend.

    ``ratio`` is the share of extra attempts; ``burst`` is the most that an
    idle time saves up, ``refill_per_s`` what comes back without requests.
    """

    ratio: float
    burst: float
    refill_per_s: float = 0.0
    refilled_s: float = 0.0
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full budget."""
        self.tokens = self.burst

    def earn(self) -> None:
        """Count one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self, now_s: float = 0.0) -> bool:
        """Take one extra attempt if the budget allows it."""
        passed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        self.tokens = min(
            self.burst,
            self.tokens + passed_s * self.refill_per_s,
        )
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
