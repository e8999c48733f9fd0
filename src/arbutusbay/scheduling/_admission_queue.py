"""Predict the starts of queued requests and find those that start too late."""

from collections.abc import Iterator, Mapping, Sequence

from arbutusbay.admission import (
    ExpectedPlaces,
    PlaceRate,
    ReturningPlaces,
    StartEstimate,
    StartPredictor,
)
from arbutusbay.fairness import TeamWork
from arbutusbay.scheduling._newcomers import Newcomers
from arbutusbay.scheduling._request_queue import (
    QueuedRequest,
    RequestQueue,
)
from arbutusbay.scheduling._start_forecast import StartForecast

# Turns follow each other sooner, unless the process is suspended.
_MAX_TURN_S = 0.2


class AdmissionQueue(RequestQueue):
    """Hold the requests that wait for an engine and predict their starts.

    ``service`` is the name of the service that the requests are for,
    ``decided_s`` when it was last decided on all of them.
    ``starts`` measures the places that all requests get, ``late_starts`` those
    that requests of each urgency get which can no longer meet their target.
    ``newcomers`` tells who came after a request.
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
        self.newcomers = Newcomers()

    def push(self, request: QueuedRequest) -> None:
        """Add a request that has just come."""
        super().push(request)
        level = request.priority_level
        request.newcomers_before = self.starts.newcomers_per_place(level)
        self.newcomers.record_arrival(level, request.arrived_s)
        self.starts.record_arrival(level)
        self.late_starts.setdefault(level, StartPredictor())

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
        self.newcomers.record_place(now_s)
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
        forecast = StartForecast(
            now_s=now_s,
            starts=self.starts,
            late_starts=self.late_starts,
            newcomers=self.newcomers,
            rates=_higher_rates(self.starts, now_s, held),
            returning=returning,
        )
        for request in tuple(self.in_start_order(now_s)):
            yield request, forecast.predict_next(request)


def _higher_rates(
    starts: StartPredictor, now_s: float, held: ExpectedPlaces | None
) -> Mapping[bool, PlaceRate]:
    """Return the rate of places by the queue alone or by those held.

    The rates differ by whether requests await the end of a silence.
    """
    alone = starts.rate(now_s)
    return {
        awaits_silence: max(
            alone,
            starts.rate(now_s, held, awaits_silence=awaits_silence),
            key=_high,
        )
        for awaits_silence in (False, True)
    }


def _high(rate: PlaceRate) -> float:
    return rate.high
