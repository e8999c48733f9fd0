"""Predict when a queued request starts, and refuse those that start too late.

By Little's law a request that has ``ahead`` others before it in service order
starts after ``ahead`` + 1 places at the rate at which places come free. The
rate is that of this queue only: what other VMs take is not part of it, so the
predictions of VMs that share engines add up to what the engines give.
"""

import math
import sys
from collections import Counter
from collections.abc import Sequence

import attrs

from arbutusbay.clock import milliseconds

_MEMORY_S = 1.0
_MAX_REMEMBERED_GAP_S = 2.0
_PRIOR_GAP_S = 0.1
_MIN_GAP_S = 0.001
_SOUND_SILENCE_S = 1.0
_AWAITED_SHARE = 0.5
_GAP_WEIGHT = 1.5
_MIN_RETRY_AFTER_S = 0.1
_HONOURED_SHARE = 1 / 3
_LEAST_URGENT = sys.maxsize


@attrs.frozen(kw_only=True)
class ReturningPlaces:
    """Expect an engine with ``places`` at ``at_s``, on the clock of the queue.

    An engine that loads weights is back at a known time.
    """

    at_s: float
    places: float


@attrs.frozen(kw_only=True)
class ExpectedPlaces:
    """Expect all ``places`` of the engines to come free ``within_s`` seconds.

    So it is as far as the number of engines and the mean time of their requests
    show. Places may come free together. Unless it ``is_limit``, others may come
    free as well, of which no number shows. Where that time was measured, a
    longer gap may be a silence of sound engines.
    """

    places: float
    within_s: float
    is_limit: bool = True
    may_be_silent: bool = True

    def due_together(self, open_gap_s: float) -> float:
        """Return how many places may still come free together, at least 1.

        The longer none came than all should have taken, the fewer.
        """
        lateness = max(1.0, open_gap_s / max(_MIN_GAP_S, self.within_s))
        return max(1.0, self.places / lateness)


_UNKNOWN_PLACES = ExpectedPlaces(
    places=1, within_s=_PRIOR_GAP_S, is_limit=False, may_be_silent=False
)


@attrs.frozen(kw_only=True)
class StartEstimate:
    """Predict that a request starts ``delay_s`` after ``predicted_s``.

    At the highest rate that the few places observed leave likely it starts
    after the shorter ``optimistic_delay_s``. ``ahead`` requests come before it
    and ``places_per_s`` places come free per second. The last place was
    observed ``age_s`` ago, infinity if none was.
    """

    predicted_s: float
    delay_s: float
    optimistic_delay_s: float
    ahead: float
    places_per_s: float
    age_s: float

    def is_in_time(self, latest_start_s: float) -> bool:
        """Return whether it may well start by ``latest_start_s``."""
        return self.predicted_s + self.optimistic_delay_s <= latest_start_s

    def log_fields(self) -> dict[str, float | int | None]:
        """Return the inputs of the prediction for a log line."""
        return {
            'start_ms': milliseconds(self.delay_s),
            'optimistic_start_ms': milliseconds(self.optimistic_delay_s),
            'ahead': round(self.ahead, 1),
            'places_per_s': round(self.places_per_s, 2),
            'place_age_ms': milliseconds(self.age_s),
        }


@attrs.frozen(kw_only=True)
class PlaceRate:
    """Hold a number of places, at least one, and the time that they took.

    ``after_silence`` is the rate if the longest gaps were only silences of
    sound engines, None if that can't be known.
    """

    places: float
    gaps_s: float
    after_silence: 'PlaceRate | None' = None

    @property
    def mean(self) -> float:
        """Return the places per second."""
        return self.places / self.gaps_s

    @property
    def high(self) -> float:
        """Return the rate that one standard deviation more places would show.

        The number of places in a span varies as a Poisson process does.
        """
        high = (self.places + math.sqrt(self.places)) / self.gaps_s
        sound = self.after_silence
        return max(high, sound.high) if sound else high

    @property
    def sound_mean(self) -> float:
        """Return the places per second, without silences where known."""
        sound = self.after_silence
        return max(self.mean, sound.mean) if sound else self.mean

    def with_gaps(self, factor: float) -> 'PlaceRate':
        """Return the rate with gaps that are ``factor`` times as long."""
        sound = self.after_silence
        return attrs.evolve(
            self,
            gaps_s=self.gaps_s * factor,
            after_silence=sound and sound.with_gaps(factor),
        )


@attrs.define(kw_only=True, eq=False)
class StartPredictor:
    """Measure the rate at which the requests of one queue get places.

    Only time in which requests wait counts. ``places`` and ``gaps_s`` are the
    number of places and the sum of the gaps before them, and fade with time;
    ``open_gap_s`` is the time since the last place. Without an observation the
    gap is assumed to be short, so that requests are admitted at first.
    ``arrivals`` counts by urgency those that came since the first of these
    places, while others waited. ``sound_gaps_s`` is ``gaps_s`` without the
    silences in it, by the ``usual_gap_s``; infinity if it isn't known.
    """

    has_waiting: bool = False
    places: float = 0.0
    arrivals: Counter[int] = attrs.field(factory=Counter)
    gaps_s: float = 0.0
    open_gap_s: float = 0.0
    updated_s: float = float('-inf')
    last_place_s: float = float('-inf')
    usual_gap_s: float = float('inf')
    sound_gaps_s: float = 0.0

    @property
    def is_silent(self) -> bool:
        """Return whether no place came for longer than usual, where known."""
        return self.open_gap_s > self.usual_gap_s

    def record_waiting(self, waiting: int, now_s: float) -> None:
        """Record how many requests wait from now on."""
        self._advance(now_s)
        self.has_waiting = waiting > 0

    def record_arrival(self, priority_level: int = 0) -> None:
        """Record that a request of such an urgency came.

        Before the first place nothing shows whether others will go on to come.
        """
        if self.has_waiting and self.places:
            self.arrivals[priority_level] += 1

    def record_place(self, now_s: float) -> None:
        """Record that a request was placed.

        It shows no rate if no request had to wait.
        """
        self._advance(now_s)
        if not self.has_waiting:
            return
        weight = _weight_after(self.open_gap_s)
        self.places = self.places * weight + 1
        self._fade_arrivals(weight)
        gap_s = min(self.open_gap_s, _MAX_REMEMBERED_GAP_S)
        self.gaps_s = self.gaps_s * weight + gap_s
        self.sound_gaps_s = self.sound_gaps_s * weight + _sound_gap_s(
            gap_s, self.usual_gap_s
        )
        self.open_gap_s = 0.0
        self.last_place_s = now_s

    def skip_to(self, now_s: float) -> None:
        """Leave out the time since the last call if requests waited in it.

        Nothing could be placed in it: the process was suspended, or no engine
        accepted requests.
        """
        if self.has_waiting:
            self.updated_s = max(now_s, self.updated_s)

    def rate(
        self,
        now_s: float,
        expected: ExpectedPlaces | None = None,
        *,
        awaits_silence: bool = True,
    ) -> PlaceRate:
        """Return the rate, which falls for as long as there is no place.

        The open gap counts as one that ends now, with all places that may come
        free together, but not as shorter than the mean of the others. The rate
        is no higher than ``expected``, if that is a limit: engines may have
        been lost since the last place. The open gap may be a silence of sound
        engines only for a request that ``awaits_silence``.
        """
        self._advance(now_s)
        prior = expected or _UNKNOWN_PLACES
        rate = _rate_after(
            self.open_gap_s,
            PlaceRate(places=self.places, gaps_s=self.gaps_s),
            prior,
        )
        if not prior.may_be_silent:
            return rate
        self.usual_gap_s = (self.sound_gaps_s + prior.within_s) / (
            self.places + prior.places
        )
        sound_gap_s = (
            _sound_gap_s(self.open_gap_s, self.usual_gap_s)
            if awaits_silence
            else self.open_gap_s
        )
        sound = _rate_after(
            sound_gap_s,
            PlaceRate(places=self.places, gaps_s=self.sound_gaps_s),
            prior,
        )
        return attrs.evolve(rate, after_silence=sound)

    def claimed_share(self, priority_level: int = _LEAST_URGENT) -> float:
        """Return for which share of the places there are new requests."""
        return min(1.0, self.newcomers_per_place(priority_level))

    def newcomers_per_place(self, priority_level: int) -> float:
        """Return how many new requests there are for each place.

        Only those count that are as urgent as ``priority_level``, or more. The
        open gap counts as one that ends now. Unobserved, it is 0.
        """
        arrivals = sum(
            count
            for level, count in self.arrivals.items()
            if level <= priority_level
        )
        return arrivals / (self.places + 1)

    def predict(
        self,
        *,
        ahead: float,
        now_s: float,
        returning: Sequence[ReturningPlaces] = (),
        rate: PlaceRate | None = None,
    ) -> StartEstimate:
        """Predict the start of a request behind ``ahead`` others.

        ``rate`` is that of this moment; without it no engines are looked at.
        """
        rate = rate or self.rate(now_s)
        return StartEstimate(
            predicted_s=now_s,
            delay_s=_delay_s(ahead + 1, rate.mean, now_s, returning),
            optimistic_delay_s=_delay_s(ahead + 1, rate.high, now_s, returning),
            ahead=ahead,
            places_per_s=rate.mean,
            age_s=now_s - self.last_place_s,
        )

    def _fade_arrivals(self, weight: float) -> None:
        for level in self.arrivals:
            self.arrivals[level] *= weight

    def _advance(self, now_s: float) -> None:
        """Add the time since the last call, which may be none.

        What was observed fades while no request waits.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        if self.has_waiting:
            self.open_gap_s += elapsed_s
            return
        weight = _weight_after(elapsed_s)
        self.places *= weight
        self._fade_arrivals(weight)
        self.gaps_s *= weight
        self.sound_gaps_s *= weight
        self.open_gap_s *= weight


def may_await_silence(
    *, arrived_s: float, deadline_s: float, now_s: float
) -> bool:
    """Return whether a request may take a gap for a silence of sound engines.

    Afterwards too little of its time would be left to be served elsewhere.
    """
    return now_s - arrived_s < (deadline_s - arrived_s) * _AWAITED_SHARE


def retry_after_s(
    estimate: StartEstimate, *, remaining_s: float, spread: float
) -> float:
    """Return after how many seconds a refused request is likely to start.

    Clients honour at most a third of the ``remaining_s`` until their deadline.
    ``spread``, from 0 up to 1, should differ between callers, as they would
    otherwise come back at once.
    """
    honoured_s = max(0.0, remaining_s) * _HONOURED_SHARE
    earliest_s = min(estimate.delay_s, honoured_s / 2)
    after_s = max(_MIN_RETRY_AFTER_S, earliest_s) * (1 + spread)
    return min(after_s, honoured_s)


def _delay_s(
    needed: float,
    rate: float,
    now_s: float,
    returning: Sequence[ReturningPlaces],
) -> float:
    """Return when ``needed`` places have come free or are back."""
    delay_s = needed / rate
    for places in sorted(returning, key=_return_order):
        after_s = max(0.0, places.at_s - now_s)
        if after_s >= delay_s:
            break
        needed -= places.places
        delay_s = max(after_s, needed / rate)
    return delay_s


def _rate_after(
    open_gap_s: float, seen: PlaceRate, prior: ExpectedPlaces
) -> PlaceRate:
    """Return the rate if the open gap ends now, behind what was ``seen``."""
    mean_gap_s = (seen.gaps_s + prior.within_s) / (seen.places + prior.places)
    together = prior.due_together(open_gap_s)
    weight = _weight_after(open_gap_s)
    places = seen.places * weight + together
    gaps_s = seen.gaps_s * weight + max(open_gap_s, together * mean_gap_s)
    if prior.is_limit:
        gaps_s = max(gaps_s, places * prior.within_s / prior.places)
    return PlaceRate(places=places, gaps_s=max(_MIN_GAP_S, gaps_s))


def _sound_gap_s(open_gap_s: float, mean_gap_s: float) -> float:
    """Return the open gap without a silence that sound engines may have.

    Beyond it the engines are likely gone.
    """
    beyond_s = max(0.0, open_gap_s - _SOUND_SILENCE_S)
    return min(open_gap_s, mean_gap_s) + _GAP_WEIGHT * beyond_s


def _return_order(places: ReturningPlaces) -> float:
    return places.at_s


def _weight_after(elapsed_s: float) -> float:
    return math.exp(-elapsed_s / _MEMORY_S)
