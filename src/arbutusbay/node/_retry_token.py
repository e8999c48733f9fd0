"""Hold the token of the retry budget that covers the next attempt."""

import attrs

from arbutusbay.clock import now_s
from arbutusbay.scheduling import RetryBudget


@attrs.define(kw_only=True)
class RetryToken:
    """Hold the token of one request from its withdrawal until it is used.

    A token is used when the attempt is sent, also if the server refuses that.
    ``is_held`` means that one is withdrawn and not used.
    """

    budget: RetryBudget
    is_held: bool = False

    def try_withdraw(self) -> bool:
        """Withdraw a token and return whether there was one."""
        self.is_held = self.budget.try_withdraw(now_s())
        return self.is_held

    def use(self) -> None:
        """Record that an attempt is sent."""
        self.is_held = False

    def release(self) -> None:
        """Return a token that was not used."""
        if self.is_held:
            self.is_held = False
            self.budget.put_back()
