"""Keep the token bucket of a team, with tokens reserved for returning callers.

A refused caller is told when to return. If newcomers could take the tokens
that arrive until then, it would be refused again, under load forever.
"""

import attrs

from arbutusbay.quota._reservations import Reservations
from arbutusbay.quota._terms import Decision, Granted, Refused

_MAX_RESERVED_S = 2.0
_RETURN_MARGIN_S = 0.02
_MIN_RETRY_AFTER_S = 0.05
_WAIT_WITHOUT_RATE_S = 0.5
# How long the credit for a takeover may be used.
START_CREDIT_LIFE_S = 4.0


@attrs.frozen(kw_only=True)
class QuotaRequest:
    """Describe a request that asks for tokens.

    ``key`` recognizes the request when its caller returns with it, and
    ``patience_s`` is how long the caller would wait before that.
    """

    cost: float
    key: int = 0
    patience_s: float = 0.0


@attrs.define(kw_only=True)
class Bucket:
    """Hold the unused tokens of a team.

    ``capacity`` and ``rate_per_s`` are what its owner may use at present, and
    the ``level`` is that of ``filled_until_s``. An owner that ``may_borrow``
    grants a request that costs more than the capacity once that is all unused.
    ``start_credit`` can be used beside the level until ``credit_until_s``.
    """

    level: float = 0.0
    filled_until_s: float = 0.0
    capacity: float = 0.0
    rate_per_s: float = 0.0
    may_borrow: bool = False
    start_credit: float = 0.0
    credit_until_s: float = float('-inf')
    reservations: Reservations = attrs.field(factory=Reservations)

    def resize(
        self, *, capacity: float, rate_per_s: float, may_borrow: bool
    ) -> None:
        """Change the capacity, which limits the level at once, and the rate."""
        self.may_borrow = may_borrow
        self.capacity = capacity
        self.rate_per_s = rate_per_s
        self.level = min(self.level, capacity)

    def fill(self, now_s: float) -> None:
        """Add what came at the present rate until ``now_s``."""
        elapsed_s = now_s - self.filled_until_s
        if elapsed_s > 0:
            self.filled_until_s = now_s
            self.add(self.rate_per_s * elapsed_s)

    def add(self, tokens: float) -> None:
        """Add tokens up to the capacity."""
        self.level = min(self.capacity, self.level + tokens)

    def add_start_credit(self, tokens: float, now_s: float) -> None:
        """Add credit for a takeover; it ends with the credit added first."""
        if now_s >= self.credit_until_s:
            self.start_credit = 0.0
            self.credit_until_s = now_s + START_CREDIT_LIFE_S
        self.start_credit += tokens

    def take(self, request: QuotaRequest, now_s: float) -> Decision:
        """Grant or refuse a request.

        A caller that returns when it was told to comes before all others. One
        that comes earlier may be another caller with the same request, so that
        each of them has a reservation of its own.
        """
        self.reservations.drop_expired(now_s)
        is_due = self.reservations.use(request.key, now_s)
        reserved = 0.0 if is_due else self.reservations.expected
        needed = request.cost
        if self.may_borrow:
            needed = min(needed, self.capacity)
        missing = reserved + needed - self._available(now_s)
        if missing <= 0:
            self._charge(request.cost, now_s)
            return Granted()
        wait_s = _WAIT_WITHOUT_RATE_S
        if self.rate_per_s > 0:
            wait_s = missing / self.rate_per_s + _RETURN_MARGIN_S
        self._reserve(request, now_s, wait_s, again=is_due)
        return Refused(retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S))

    def _available(self, now_s: float) -> float:
        if now_s >= self.credit_until_s:
            return self.level
        return self.level + self.start_credit

    def _charge(self, cost: float, now_s: float) -> None:
        from_credit = 0.0
        if now_s < self.credit_until_s:
            from_credit = min(self.start_credit, cost)
        self.start_credit -= from_credit
        self.level -= cost - from_credit

    def _reserve(
        self, request: QuotaRequest, now_s: float, wait_s: float, *, again: bool
    ) -> None:
        """Reserve tokens for a caller that can return when they are there."""
        is_too_late = wait_s > min(_MAX_RESERVED_S, request.patience_s)
        is_too_large = request.cost > self.capacity and not self.may_borrow
        if is_too_late or is_too_large:
            return
        due_s = now_s + wait_s - _RETURN_MARGIN_S
        self.reservations.add(request.key, request.cost, due_s, again=again)
