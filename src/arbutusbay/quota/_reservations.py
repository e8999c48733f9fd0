"""Reserve tokens for refused callers until they return as they were told.

Each step costs the same for one reservation and for very many.
"""

import heapq
import itertools

import attrs

_GRACE_S = 0.5
_MAX_RESERVATIONS = 256
# Bounds what a caller that repeats a request early and often holds back.
_MAX_PER_KEY = 4
_MAX_COUNTED_RETURNS = 64


@attrs.define(kw_only=True, eq=False)
class CallerGroup:
    """Estimate which part of some refused callers return when they were told.

    ``reserved`` is the sum of the tokens reserved for them.
    """

    returned: float = 1.0
    missed: float = 1.0
    reserved: float = 0.0

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


@attrs.frozen(kw_only=True, eq=False)
class Reservation:
    """Hold the tokens that a refused caller will find when it returns.

    ``key`` is that of its request, ``cost`` the number of tokens, ``due_s``
    when the caller was told to return.
    """

    key: int
    cost: float
    due_s: float
    group: CallerGroup


@attrs.define(kw_only=True, eq=False)
class Reservations:
    """Hold the reservations of a team.

    ``newcomers`` were refused once; ``repeated`` callers came back and were
    refused again, which often give up. ``by_end`` is a heap of all
    reservations by due time, also of those that were used since.
    """

    newcomers: CallerGroup = attrs.field(factory=CallerGroup)
    repeated: CallerGroup = attrs.field(factory=CallerGroup)
    by_key: dict[int, list[Reservation]] = attrs.field(factory=dict)
    by_end: list[tuple[float, int, Reservation]] = attrs.field(factory=list)
    count: int = 0
    numbers: itertools.count = attrs.field(factory=itertools.count)

    @property
    def expected(self) -> float:
        """Return the tokens that returning callers are likely to use."""
        return sum(
            group.reserved * group.probability
            for group in (self.newcomers, self.repeated)
        )

    def add(self, key: int, cost: float, due_s: float, *, again: bool) -> None:
        """Reserve tokens for a caller, unless too many are reserved.

        ``again`` is whether it came back before, as it was told.
        """
        known = self.by_key.get(key, [])
        if self.count >= _MAX_RESERVATIONS or len(known) >= _MAX_PER_KEY:
            return
        reservation = Reservation(
            key=key,
            cost=cost,
            due_s=due_s,
            group=self.repeated if again or known else self.newcomers,
        )
        self.count += 1
        reservation.group.reserved += cost
        self.by_key[key] = [*known, reservation]
        heapq.heappush(self.by_end, (due_s, next(self.numbers), reservation))

    def use(self, key: int, now_s: float) -> bool:
        """Use up a reservation of a request; return whether one is due."""
        for reservation in self.by_key.get(key, ()):
            if now_s >= reservation.due_s:
                self._remove(reservation, has_returned=True)
                return True
        return False

    def drop_expired(self, now_s: float) -> None:
        """Drop the reservations of callers that did not return in time."""
        while self.by_end and now_s > self.by_end[0][0] + _GRACE_S:
            _, _, reservation = heapq.heappop(self.by_end)
            if reservation in self.by_key.get(reservation.key, ()):
                self._remove(reservation, has_returned=False)

    def _remove(self, reservation: Reservation, *, has_returned: bool) -> None:
        group = reservation.group
        group.record(has_returned=has_returned)
        group.reserved -= reservation.cost
        self.count -= 1
        known = self.by_key[reservation.key]
        known.remove(reservation)
        if not known:
            self.by_key.pop(reservation.key)
        if not self.count:
            self.newcomers.reserved = 0.0
            self.repeated.reserved = 0.0
