"""Predict the starts of the requests of a queue, in their order."""

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from arbutusbay.admission import (
    ExpectedPlaces,
    PlaceRate,
    ReturningPlaces,
    StartEstimate,
    StartPredictor,
    may_await_silence,
)
from arbutusbay.fairness import FLOOR_SHARE
from arbutusbay.scheduling._newcomers import Newcomers
from arbutusbay.scheduling._request_queue import QueuedRequest


@attrs.define(kw_only=True, eq=False)
class StartForecast:
    """Predict the starts of queued requests, asked for in start order.

    ``rates`` are those of the places that all get, by whether a request may
    await the end of a silence. ``ahead`` counts the requests predicted so far
    that start in time, ``late_ahead`` those of them that start late, by
    urgency. The measured starts and ``newcomers`` are those of
    ``AdmissionQueue``.
    """

    now_s: float
    starts: StartPredictor
    late_starts: Mapping[int, StartPredictor]
    newcomers: Newcomers
    rates: Mapping[bool, PlaceRate]
    returning: Sequence[ReturningPlaces]
    late_rates: dict[tuple[int, bool], PlaceRate] = attrs.field(factory=dict)
    ahead: int = 0
    late_ahead: Counter[int] = attrs.field(factory=Counter)

    def predict_next(self, request: QueuedRequest) -> StartEstimate:
        """Return the prediction of a request behind those predicted before.

        One that can't start in time is not counted as ahead of others, because
        it is refused.
        """
        awaits_silence = may_await_silence(
            arrived_s=request.arrived_s,
            deadline_s=request.deadline_s,
            now_s=self.now_s,
        )
        estimate = self.starts.predict(
            ahead=self.ahead,
            now_s=self.now_s,
            returning=self.returning,
            rate=self.rates[awaits_silence],
        )
        is_late = not request.can_meet_target(self.now_s + estimate.delay_s)
        if is_late:
            late = self._predict_late(request, awaits_silence)
            estimate = _later(request, estimate, late)
        if estimate.is_in_time(request.latest_start_s):
            self.ahead += 1
            self.late_ahead[request.priority_level] += is_late
        return estimate

    def _predict_late(
        self, request: QueuedRequest, awaits_silence: bool
    ) -> StartEstimate:
        """Predict a late request by the places that late ones get.

        It gets more of them if fewer newcomers claim places since it came.
        """
        level = request.priority_level
        rate = self._late_rate(level, awaits_silence)
        claimed = self.newcomers.claimed_share(
            arrived_s=request.arrived_s,
            priority_level=level,
            before=request.newcomers_before,
            gap_s=1 / self.rates[awaits_silence].sound_mean,
        )
        usual_share = _late_share(self.starts.claimed_share(level))
        shorter = min(1.0, usual_share / _late_share(claimed))
        return self.late_starts[level].predict(
            ahead=self.late_ahead[level],
            now_s=self.now_s,
            returning=self.returning,
            rate=rate.with_gaps(shorter),
        )

    def _late_rate(self, level: int, awaits_silence: bool) -> PlaceRate:
        """Return the rate of places of late requests, measured and expected.

        The order leaves them all places but those that newcomers claim. They
        get none in a silence in which nobody gets any.
        """
        key = (level, awaits_silence)
        if key not in self.late_rates:
            late_share = _late_share(self.starts.claimed_share(level))
            places_per_s = self.rates[awaits_silence].sound_mean * late_share
            expected = ExpectedPlaces(
                places=1,
                within_s=1 / places_per_s,
                is_limit=False,
                may_be_silent=self.starts.is_silent,
            )
            self.late_rates[key] = self.late_starts[level].rate(
                self.now_s, expected, awaits_silence=awaits_silence
            )
        return self.late_rates[key]


def _late_share(claimed: float) -> float:
    """Return which share of the places is left to late requests."""
    return 1 - claimed * (1 - FLOOR_SHARE)


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
