"""Limit retries to a share of the traffic with a token bucket."""

import attrs


@attrs.define(kw_only=True)
class RetryBudget:
    """Hold the tokens that requests deposit and retries withdraw.

    ``ratio`` is the number of tokens that each request deposits, and so the
    share of requests that may be retried. ``burst`` is the capacity of the
    bucket; ``refill_tokens_per_s`` tokens are added per second also without
    requests. Times are seconds on one clock.
    """

    ratio: float
    burst: float
    refill_tokens_per_s: float = 0.0
    last_refill_s: float = 0.0
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self.tokens = self.burst

    def deposit(self) -> None:
        """Deposit the tokens of one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_withdraw(self, now_s: float = 0.0) -> bool:
        """Withdraw the token for one retry.

        Return False, and withdraw nothing, if less than one token is left.
        """
        elapsed_s = max(0.0, now_s - self.last_refill_s)
        self.last_refill_s = now_s
        self.tokens = min(
            self.burst,
            self.tokens + elapsed_s * self.refill_tokens_per_s,
        )
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def resize(self, *, burst: float, refill_tokens_per_s: float) -> None:
        """Change the capacity and the refill; this adds no tokens."""
        self.burst = burst
        self.refill_tokens_per_s = refill_tokens_per_s
        self.tokens = min(self.burst, self.tokens)

    def put_back(self) -> None:
        """Return the token of a retry that was not sent."""
        self.tokens = min(self.burst, self.tokens + 1)
