"""Keep the token bucket of a team, with tokens reserved for returning callers.

A refused caller is told when to return. If newcomers could take the tokens
that arrive until then, it would be refused again, under load forever.
"""

import attrs

from arbutusbay.quota._terms import Decision, Granted, Refused

_MAX_RESERVED_S = 2.0
_RESERVATION_GRACE_S = 0.5
_RETURN_MARGIN_S = 0.02
_MAX_RESERVATIONS = 256
# Bounds what a caller that repeats a request early and often holds back.
_MAX_RESERVATIONS_PER_KEY = 4
_MIN_RETRY_AFTER_S = 0.05
_WAIT_WITHOUT_RATE_S = 0.5
_MAX_COUNTED_RETURNS = 64
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
class ReturnStatistics:
    """Estimate which part of the refused callers return when they were told."""

    returned: float = 1.0
    missed: float = 1.0

    @property
    def probability(self) -> float:
        """Return how likely a caller returns in time."""
        return self.returned / (self.returned + self.missed)

    def record(self, *, has_returned: bool) -> None:
        """Count a caller; older ones count less and less."""
        if has_returned:
            self.returned += 1
        else:
            self.missed += 1
        if self.returned + self.missed > _MAX_COUNTED_RETURNS:
            self.returned /= 2
            self.missed /= 2


@attrs.frozen(kw_only=True)
class Reservation:
    """Hold the tokens that a refused caller will find when it returns.

    ``key`` is that of its request, ``cost`` the number of tokens, ``due_s``
    when the caller was told to return. ``returns`` counts whether it did.
    """

    key: int
    cost: float
    due_s: float
    returns: ReturnStatistics


@attrs.define(kw_only=True)
class Bucket:
    """Hold the unused tokens of a team.

    ``capacity`` and ``rate_per_s`` are what its owner may use at present. An
    owner that ``may_borrow`` grants a request that costs more than the capacity
    once that is all unused.
    ``start_credit`` can be used beside the level until ``credit_until_s``.
    ``reservations`` are in the order in which they were made. ``returns``
    counts the callers that were refused once, ``repeated_returns`` those that
    came back and were refused again, which often give up.
    """

    level: float = 0.0
    capacity: float = 0.0
    rate_per_s: float = 0.0
    may_borrow: bool = False
    start_credit: float = 0.0
    credit_until_s: float = float('-inf')
    reservations: list[Reservation] = attrs.field(factory=list)
    returns: ReturnStatistics = attrs.field(factory=ReturnStatistics)
    repeated_returns: ReturnStatistics = attrs.field(factory=ReturnStatistics)

    def resize(
        self, *, capacity: float, rate_per_s: float, may_borrow: bool
    ) -> None:
        """Change the capacity, which limits the level at once, and the rate."""
        self.may_borrow = may_borrow
        self.capacity = capacity
        self.rate_per_s = rate_per_s
        self.level = min(self.level, capacity)

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
        self._drop_expired(now_s)
        is_due = self._take_reservation(request.key, now_s)
        reserved = 0.0 if is_due else self._reserved()
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
        is_repeat = is_due or self._count_of(request.key) > 0
        self._reserve(request, now_s, wait_s, is_repeat=is_repeat)
        return Refused(retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S))

    def _take_reservation(self, key: int, now_s: float) -> bool:
        """Use up a reservation of a request; return whether one is due."""
        for position, reservation in enumerate(self.reservations):
            if reservation.key == key and now_s >= reservation.due_s:
                self.reservations.pop(position)
                reservation.returns.record(has_returned=True)
                return True
        return False

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

    def _reserved(self) -> float:
        """Return the tokens that returning callers are likely to use."""
        return sum(
            reservation.cost * reservation.returns.probability
            for reservation in self.reservations
        )

    def _reserve(
        self,
        request: QuotaRequest,
        now_s: float,
        wait_s: float,
        *,
        is_repeat: bool,
    ) -> None:
        """Reserve tokens for a caller that can return when they are there."""
        is_too_late = wait_s > min(_MAX_RESERVED_S, request.patience_s)
        is_too_large = request.cost > self.capacity and not self.may_borrow
        if (
            is_too_late
            or is_too_large
            or len(self.reservations) >= _MAX_RESERVATIONS
            or self._count_of(request.key) >= _MAX_RESERVATIONS_PER_KEY
        ):
            return
        self.reservations.append(
            Reservation(
                key=request.key,
                cost=request.cost,
                due_s=now_s + wait_s - _RETURN_MARGIN_S,
                returns=self.repeated_returns if is_repeat else self.returns,
            )
        )

    def _count_of(self, key: int) -> int:
        """Return how many reservations the callers of a request have."""
        return sum(reservation.key == key for reservation in self.reservations)

    def _drop_expired(self, now_s: float) -> None:
        """Drop the reservations of callers that did not return in time."""
        kept = []
        for reservation in self.reservations:
            if now_s <= reservation.due_s + _RESERVATION_GRACE_S:
                kept.append(reservation)
            else:
                reservation.returns.record(has_returned=False)
        self.reservations = kept
