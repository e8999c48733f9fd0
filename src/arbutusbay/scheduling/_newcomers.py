"""Tell which share of the places goes to those that came after a request."""

from bisect import bisect_left, bisect_right, insort
from collections import defaultdict, deque

import attrs

_MEMORY_S = 3.0
_LASTING_SHARE = 0.5
_BURST_GAP_SHARE = 0.5


@attrs.define(kw_only=True, eq=False)
class Newcomers:
    """Remember when requests came, by urgency, and when others were placed."""

    arrivals_s: defaultdict[int, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )
    places_s: deque[float] = attrs.field(factory=deque)

    def record_arrival(self, priority_level: int, now_s: float) -> None:
        """Record that a request of such an urgency came."""
        _remember(self.arrivals_s[priority_level], now_s)

    def record_place(self, now_s: float) -> None:
        """Record that a request was placed."""
        _remember(self.places_s, now_s)

    def claimed_share(
        self,
        *,
        arrived_s: float,
        priority_level: int,
        before: float,
        gap_s: float,
    ) -> float:
        """Return which share of the places those claim that came later.

        Counts are those since the request of that urgency arrived; of as many
        newcomers per place as came ``before``, only a part may go on to come.
        Those within a part of the mean ``gap_s`` between places come together
        with the request and don't go before it.
        """
        later_s = arrived_s + gap_s * _BURST_GAP_SHARE
        came = sum(
            len(arrivals_s) - bisect_right(arrivals_s, later_s)
            for level, arrivals_s in self.arrivals_s.items()
            if level <= priority_level
        )
        places = len(self.places_s) - bisect_left(self.places_s, arrived_s)
        return min(1.0, (came + before * _LASTING_SHARE) / (places + 1))


def _remember(moments_s: deque[float], now_s: float) -> None:
    insort(moments_s, now_s)
    while moments_s[0] < moments_s[-1] - _MEMORY_S:
        moments_s.popleft()
