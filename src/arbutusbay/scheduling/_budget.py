"""Bound retries to a share of the traffic."""

import attrs


@attrs.define(kw_only=True)
class Budget:
    """Hold tokens that requests earn and extra attempts spend.

    ``ratio`` is the share of extra attempts; ``burst`` is the most that an
    idle time saves up.
    """

    ratio: float
    burst: float
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full budget."""
        self.tokens = self.burst

    def earn(self) -> None:
        """Count one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take one extra attempt if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
