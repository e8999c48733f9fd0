"""Predict the starts of queued requests and find those that start too late."""

from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from arbutusbay.admission import (
    ExpectedPlaces,
    PlaceRate,
    ReturningPlaces,
    StartEstimate,
    StartPredictor,
)
from arbutusbay.fairness import FLOOR_SHARE, TeamWork
from arbutusbay.scheduling._request_queue import (
    QueuedRequest,
    RequestQueue,
)

# Turns follow each other sooner, unless the process is suspended.
_MAX_TURN_S = 0.2


class AdmissionQueue(RequestQueue):
    """Hold the requests that wait for an engine and predict their starts.

    ``service`` is the name of the service that the requests are for,
    ``decided_s`` when it was last decided on all of them.
    ``starts`` measures the places that all requests get, ``late_starts`` those
    that requests of each urgency get which can no longer meet their target.
    """

    def __init__(
        self,
        *,
        service: str,
        team_work: TeamWork | None = None,
        allowance: float = 0.0,
    ) -> None:
        """Create an empty queue without an observation."""
        super().__init__(team_work=team_work, allowance=allowance)
        self.service = service
        self.decided_s = float('-inf')
        self.starts = StartPredictor()
        self.late_starts: dict[int, StartPredictor] = {}

    def push(self, request: QueuedRequest) -> None:
        """Add a request that has just come."""
        super().push(request)
        self.starts.record_arrival(request.priority_level)
        self.late_starts.setdefault(request.priority_level, StartPredictor())

    def begin_turn(self, now_s: float, *, has_engines: bool = True) -> None:
        """Leave out the time since the last turn if it shows no rate.

        So it is if the VM was suspended, or if no engine accepts requests for
        a while, as all load weights.
        """
        is_late = now_s - self.starts.updated_s > _MAX_TURN_S
        if is_late or not has_engines:
            self.starts.skip_to(now_s)
            for late_starts in self.late_starts.values():
                late_starts.skip_to(now_s)

    def record_place(self, request: QueuedRequest, now_s: float) -> None:
        """Record that a queued request is placed now."""
        self.starts.record_place(now_s)
        if not request.can_meet_target(now_s):
            self.late_starts[request.priority_level].record_place(now_s)

    def record_waiting(self, now_s: float) -> None:
        """Record that what is queued now found no place."""
        self.starts.record_waiting(len(self), now_s)
        counts = self.count_overdue(now_s)
        for level, late_starts in self.late_starts.items():
            late_starts.record_waiting(counts[level], now_s)

    def estimates(
        self,
        now_s: float,
        returning: Sequence[ReturningPlaces] = (),
        held: ExpectedPlaces | None = None,
    ) -> Iterator[tuple[QueuedRequest, StartEstimate]]:
        """Yield all requests with the predictions of their starts.

        They come in the order of their starts. Requests that can't start in
        time are not counted as ahead of others, because they are refused. The
        places that this VM has ``held`` so far may come free together.
        """
        ahead = 0
        late_ahead: Counter[int] = Counter()
        rate = _higher_rate(self.starts, now_s, held)
        late_rates: dict[int, PlaceRate] = {}
        for request in tuple(self.in_start_order(now_s)):
            estimate = self.starts.predict(
                ahead=ahead, now_s=now_s, returning=returning, rate=rate
            )
            is_late = not request.can_meet_target(now_s + estimate.delay_s)
            if is_late:
                level = request.priority_level
                if level not in late_rates:
                    late_rates[level] = self.late_starts[level].rate(
                        now_s, self._late_places(rate, level)
                    )
                late = self.late_starts[level].predict(
                    ahead=late_ahead[level],
                    now_s=now_s,
                    returning=returning,
                    rate=late_rates[level],
                )
                estimate = _later(request, estimate, late)
            yield request, estimate
            if estimate.is_in_time(request.latest_start_s):
                ahead += 1
                late_ahead[request.priority_level] += is_late

    def _late_places(
        self, rate: PlaceRate, priority_level: int
    ) -> ExpectedPlaces:
        """Return the rate of places that the order leaves to late requests.

        Requests that come, as urgent or more, claim all but a share of the
        places.
        """
        claimed = self.starts.claimed_share(priority_level)
        places_per_s = rate.sound_mean
        late_share = 1 - claimed * (1 - FLOOR_SHARE)
        return ExpectedPlaces(
            places=1,
            within_s=1 / (places_per_s * late_share),
            is_limit=False,
            may_be_silent=False,
        )


def _higher_rate(
    starts: StartPredictor, now_s: float, held: ExpectedPlaces | None
) -> PlaceRate:
    """Return the rate of places by the queue alone or by those held."""
    rates = (starts.rate(now_s), starts.rate(now_s, held))
    return max(rates, key=_high)


def _high(rate: PlaceRate) -> float:
    return rate.high


def _later(
    request: QueuedRequest, estimate: StartEstimate, late: StartEstimate
) -> StartEstimate:
    """Return the later of both estimates for a request that starts late.

    At the optimistic rate it may still start on time.
    """
    later = max(estimate, late, key=_delay_s)
    optimistic_s = estimate.optimistic_delay_s
    if not request.can_meet_target(estimate.predicted_s + optimistic_s):
        optimistic_s = max(optimistic_s, late.optimistic_delay_s)
    return attrs.evolve(later, optimistic_delay_s=optimistic_s)


def _delay_s(estimate: StartEstimate) -> float:
    return estimate.delay_s
