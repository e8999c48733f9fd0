"""Track one VM's local view of a backend server.

The view combines the server's own reports, this VM's attempts and results,
and the reports of other VMs.
"""

from collections.abc import Mapping, Sequence

import attrs

from arbutusbay.scheduling._occupancy import OccupancyTracker
from arbutusbay.speeds import SpeedEstimate

_INITIAL_BACKOFF_S = 0.6
_REJECTION_PAUSE_S = 0.15
_MIN_POSTPONEMENT_S = 0.2
_POSTPONEMENT_RATIO = 0.5
_MAX_BACKOFF_S = 4.0
_MAX_DOUBLINGS = 8
_MAX_REPORT_AGE_S = 1.0
_ERROR_SMOOTHING = 0.15
_ERROR_RATE_HALF_LIFE_S = 4.0


@attrs.frozen(kw_only=True)
class PlannedWeightsLoad:
    """Describe a planned load of a weights version into an engine.

    The load takes place from ``start_s`` to ``finish_s``, in seconds on the
    clock of this VM. A cancelled load has a duration of zero.
    """

    model: str
    version: int
    start_s: float
    finish_s: float

    def is_in_progress(self, now_s: float) -> bool:
        """Return whether the load is in progress."""
        return self.start_s <= now_s < self.finish_s

    def is_upcoming(self, now_s: float) -> bool:
        """Return whether the load lies ahead and is not cancelled."""
        return now_s < self.start_s < self.finish_s

    def ended_recently(self, now_s: float) -> bool:
        """Return whether the load ended recently.

        Engines report new weights with a delay, so the planned version is
        assumed in the meantime.
        """
        has_duration = self.start_s < self.finish_s
        return has_duration and 0 <= now_s - self.finish_s < _MAX_REPORT_AGE_S


@attrs.define(kw_only=True, eq=False)
class EngineView:
    """Track the identity, weights, load and failures of a backend server.

    Times are seconds on one clock. ``weights`` maps models to the loaded
    version. ``planned_load`` is the planned or most recent weights load, and
    ``running_requests`` the number of requests that the server reported as
    running. ``slowdown`` is the reported factor by which processing takes
    longer than normal, ``min_slowdown`` the lowest factor reported so far.
    ``speed`` is what the durations of its responses show beside that.
    ``weights_changed_s`` is when a response last named a version that differed
    from the known one. ``assumed_weights`` holds the versions that replace
    ``weights`` in expectations after an engine refused these, and
    ``refused_versions`` those refused since ``weights`` changed. ``occupancy``
    tracks the attempts in flight of all VMs.
    ``consecutive_failures`` counts consecutive failures; the server is in
    backoff until ``backoff_until_s``. ``locally_suspected_until_s`` is how
    long this VM suspects the server to be unresponsive;
    ``remotely_suspected_until_s`` how long another one does;
    ``unresponsive_until_s`` covers both.
    ``error_rate`` is a moving average, as of ``error_rate_updated_s``.
    ``is_leaving`` is set for good once a response announced that the server
    shuts down. Until ``rejects_until_s`` it wants no request of this VM.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    weights: dict[str, int] = attrs.field(factory=dict)
    incarnation: int = 0
    is_draining: bool = False
    is_leaving: bool = False
    rejects_until_s: float = 0.0
    planned_load: PlannedWeightsLoad | None = None
    slowdown: float = 1.0
    min_slowdown: float = 1.0
    speed: SpeedEstimate = attrs.field(factory=SpeedEstimate)
    weights_changed_s: float = float('-inf')
    assumed_weights: dict[str, int] = attrs.field(factory=dict)
    refused_versions: dict[str, frozenset[int]] = attrs.field(factory=dict)
    load_reported_s: float = 0.0
    running_requests: int = 0
    occupancy: OccupancyTracker = attrs.field(factory=OccupancyTracker)
    consecutive_failures: int = 0
    backoff_until_s: float = 0.0
    locally_suspected_until_s: float = 0.0
    remotely_suspected_until_s: float = 0.0
    unresponsive_until_s: float = 0.0
    error_rate: float = 0.0
    error_rate_updated_s: float = 0.0

    @property
    def is_departing(self) -> bool:
        """Return whether the server shuts down, by any source."""
        return self.is_draining or self.is_leaving

    def record_load(
        self,
        *,
        running_requests: int | None,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Record the load that a response reported.

        Of what another VM was told only the slowdown is known.
        """
        if running_requests is not None:
            self.running_requests = running_requests
        self.slowdown = slowdown
        if self.load_reported_s:
            self.min_slowdown = min(self.min_slowdown, slowdown)
        else:
            self.min_slowdown = slowdown
        self.load_reported_s = now_s

    def merge_weights(self, versions: Mapping[str, int]) -> bool:
        """Merge reported versions, which only rise until the engine restarts.

        Return whether any of them was newer than the known one.
        """
        newer = {
            model: version
            for model, version in versions.items()
            if version > self.weights.get(model, -1)
        }
        self.weights.update(newer)
        for model in newer:
            self._drop_assumption(model)
        return bool(newer)

    def set_weights_version(
        self,
        model: str,
        version: int,
        now_s: float,
    ) -> None:
        """Set the version that a response named, even if it is older."""
        self._drop_assumption(model)
        if self.weights.get(model) != version:
            self.weights[model] = version
            self.weights_changed_s = now_s

    def refuse_version(
        self,
        model: str,
        version: int,
        named_versions: Sequence[int],
        now_s: float,
    ) -> int | None:
        """Record that the engine does not run ``version``.

        If that version should just have been loaded, the load takes longer.
        Otherwise the engine runs another one of ``named_versions``, which the
        operator named, newest first. Return the version to expect next, None
        if all of them were refused.
        """
        if self.postpone_load(now_s) and self.planned_load.version == version:
            return self.weights.get(model)
        refused = self.refused_versions.get(model, frozenset()) | {version}
        known = self.weights.get(model, 0)
        candidates = [
            named
            for named in (*named_versions, known)
            if named >= known and named not in refused
        ]
        if not candidates:
            self._drop_assumption(model)
            return None
        self.refused_versions[model] = refused
        self.assumed_weights[model] = candidates[0]
        return candidates[0]

    def postpone_load(self, now_s: float) -> bool:
        """Expect a load that should have ended recently to go on.

        The longer it has taken, the later it is expected to end. Return
        whether there is one.
        """
        load = self.planned_load
        if load is None or not load.ended_recently(now_s):
            return False
        elapsed_s = now_s - load.start_s
        self.planned_load = attrs.evolve(
            load,
            finish_s=now_s
            + max(_MIN_POSTPONEMENT_S, elapsed_s * _POSTPONEMENT_RATIO),
        )
        return True

    def record_rejection(self, now_s: float) -> None:
        """Prefer other servers for a moment after a rejected attempt."""
        self.backoff_until_s = max(
            self.backoff_until_s, now_s + _REJECTION_PAUSE_S
        )

    def record_failure(self, now_s: float) -> float:
        """Start a backoff that doubles with each consecutive failure.

        Return its duration in seconds.
        """
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        pause_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**doublings)
        self.consecutive_failures += 1
        self.backoff_until_s = now_s + pause_s
        return pause_s

    def record_success(self, now_s: float) -> None:
        """Record a success: end the backoff and reset the failure count."""
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.record_result(0, now_s)

    def record_result(self, error: float, now_s: float) -> None:
        """Add the result of an executed request: 1 if it failed, else 0."""
        average = self.current_error_rate(now_s)
        self.error_rate = average + _ERROR_SMOOTHING * (error - average)
        self.error_rate_updated_s = now_s

    def current_error_rate(self, now_s: float) -> float:
        """Return the error rate, decayed since the last result."""
        age_s = max(0.0, now_s - self.error_rate_updated_s)
        return self.error_rate * 0.5 ** (age_s / _ERROR_RATE_HALF_LIFE_S)

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether this VM or another suspects stalled streams."""
        return now_s < self.unresponsive_until_s

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether the server stays and has not asked for a pause."""
        return not self.is_departing and now_s >= self.rejects_until_s

    def is_dependable(self, now_s: float) -> bool:
        """Return whether nothing speaks against the server now."""
        return (
            self.accepts_requests(now_s)
            and not self.is_unresponsive(now_s)
            and not self.is_loading_weights(now_s)
            and not self.is_in_backoff(now_s)
        )

    def is_in_backoff(self, now_s: float) -> bool:
        """Return whether the engine is in backoff after recent failures."""
        return now_s < self.backoff_until_s

    def is_loading_weights(self, now_s: float) -> bool:
        """Return whether a planned weights load is in progress."""
        return (
            self.planned_load is not None
            and self.planned_load.is_in_progress(now_s)
        )

    def is_weights_load_planned(self, now_s: float) -> bool:
        """Return whether a planned weights load lies ahead."""
        return self.planned_load is not None and self.planned_load.is_upcoming(
            now_s
        )

    def expected_weights(self, model: str, now_s: float) -> int | None:
        """Return the version that the engine is assumed to run, or None."""
        reported = self.assumed_weights.get(model, self.weights.get(model))
        load = self.planned_load
        if reported is None or load is None or load.model != model:
            return reported
        return (
            max(reported, load.version)
            if load.ended_recently(now_s)
            else reported
        )

    def current_slowdown(self, now_s: float) -> float:
        """Return the slowdown, estimated from the last report.

        As the report ages, the estimate falls to ``min_slowdown``.
        """
        age_s = now_s - self.load_reported_s
        weight = max(0.0, 1 - age_s / _MAX_REPORT_AGE_S)
        return self.min_slowdown + weight * (self.slowdown - self.min_slowdown)

    def _drop_assumption(self, model: str) -> None:
        self.assumed_weights.pop(model, None)
        self.refused_versions.pop(model, None)
