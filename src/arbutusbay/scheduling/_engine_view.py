"""Track one VM's local view of a backend server.

The view combines the server's own reports, this VM's attempts and results,
and the reports of other VMs.
"""

from collections.abc import Container, Iterable, Mapping

import attrs

_BACKOFF_BASE_S = 0.3
_MAX_BACKOFF_S = 4.0
_MAX_REPORT_AGE_S = 1.0
PEER_MEMORY_S = 3.0
_ERROR_SMOOTHING = 0.15
_ERROR_RATE_HALF_LIFE_S = 4.0


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Describe an attempt in flight that this VM sent to a backend server.

    ``uncached_tokens`` is the number of prompt tokens that the engine
    prefills before the first event, after the ``ahead_tokens`` of earlier
    attempts. ``resident_tokens`` occupy the engine's KV cache until the
    attempt ends. ``has_started`` is set when the first event arrives.
    """

    sent_s: float
    uncached_tokens: int = 0
    ahead_tokens: int = 0
    resident_tokens: int = 0
    has_started: bool = False


@attrs.frozen(kw_only=True)
class Occupancy:
    """Total the attempts in flight at one engine.

    ``uncached_tokens`` counts only attempts without a first event.
    """

    attempts: int = 0
    uncached_tokens: int = 0
    resident_tokens: int = 0


@attrs.frozen(kw_only=True)
class PeerOccupancy:
    """Hold the occupancy that a VM or zone reported, and when it arrived."""

    occupancy: Occupancy
    heard_s: float


@attrs.frozen(kw_only=True)
class AnnouncedLoad:
    """Describe a planned load of other weights into an engine.

    The load takes place from ``from_s`` to ``until_s``, in seconds on the
    clock of this VM. A cancelled load has a duration of zero.
    """

    model: str
    version: int
    from_s: float
    until_s: float

    def is_running(self, now_s: float) -> bool:
        """Return whether the load is in progress."""
        return self.from_s <= now_s < self.until_s

    def is_ahead(self, now_s: float) -> bool:
        """Return whether the load lies ahead and is not cancelled."""
        return now_s < self.from_s < self.until_s

    def is_just_over(self, now_s: float) -> bool:
        """Return whether the load ended recently.

        Engines report new weights with a delay, so the planned version is
        assumed in the meantime.
        """
        has_duration = self.from_s < self.until_s
        return has_duration and 0 <= now_s - self.until_s < _MAX_REPORT_AGE_S


@attrs.define(kw_only=True, eq=False)
class EngineView:
    """Track the identity, weights, load and failures of a backend server.

    Times are seconds on one clock. ``weights`` maps models to the loaded
    version. ``load`` is the planned or most recent weights load, and
    ``running`` the number of requests that the server reported as running.
    ``slowdown`` is the reported factor by which processing takes longer
    than normal, ``usual_slowdown`` the lowest factor reported so far.
    ``learned_s`` is when a response last named weights that differ from
    those known. ``out`` holds this VM's attempts in flight, ``peers`` the
    occupancy reported by each other VM or zone. ``failures`` counts
    consecutive failures; the server is in backoff until ``avoid_until_s``.
    ``suspected_until_s`` is how long this VM suspects the server to be
    unresponsive; ``silent_until_s`` includes the suspicions of other VMs.
    ``error_share`` is a moving average, as of ``error_seen_s``.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    weights: dict[str, int] = attrs.field(factory=dict)
    incarnation: int = 0
    is_draining: bool = False
    load: AnnouncedLoad | None = None
    slowdown: float = 1.0
    usual_slowdown: float = 1.0
    learned_s: float = float('-inf')
    reported_s: float = 0.0
    running: int = 0
    out: set[Attempt] = attrs.field(factory=set)
    peers: dict[str, PeerOccupancy] = attrs.field(factory=dict)
    failures: int = 0
    avoid_until_s: float = 0.0
    suspected_until_s: float = 0.0
    silent_until_s: float = 0.0
    error_share: float = 0.0
    error_seen_s: float = 0.0

    def put_load(
        self,
        *,
        running: int,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Record the load that a response reported."""
        self.running = running
        self.slowdown = slowdown
        if self.reported_s:
            self.usual_slowdown = min(self.usual_slowdown, slowdown)
        else:
            self.usual_slowdown = slowdown
        self.reported_s = now_s

    def put_weights(self, versions: Mapping[str, int]) -> bool:
        """Merge reported versions, which only rise until the engine restarts.

        Return whether any of them was newer than the known one.
        """
        newer = {
            model: version
            for model, version in versions.items()
            if version > self.weights.get(model, -1)
        }
        self.weights.update(newer)
        return bool(newer)

    def put_answered_weights(
        self,
        model: str,
        version: int,
        now_s: float,
    ) -> None:
        """Set the version that a response named, even if it is older."""
        if self.weights.get(model) != version:
            self.weights[model] = version
            self.learned_s = now_s

    def put_failure(self, now_s: float) -> float:
        """Start a backoff that doubles with each consecutive failure.

        Return its duration in seconds.
        """
        self.failures += 1
        pause_s = min(_MAX_BACKOFF_S, _BACKOFF_BASE_S * 2**self.failures)
        self.avoid_until_s = now_s + pause_s
        return pause_s

    def put_success(self, now_s: float) -> None:
        """Record a success: end the backoff and reset the failure count."""
        self.failures = 0
        self.avoid_until_s = 0.0
        self.put_result(0, now_s)

    def put_result(self, error: float, now_s: float) -> None:
        """Add the result of an executed request: 1 if it failed, else 0."""
        average = self.current_error_share(now_s)
        self.error_share = average + _ERROR_SMOOTHING * (error - average)
        self.error_seen_s = now_s

    def current_error_share(self, now_s: float) -> float:
        """Return the error rate, decayed since the last result."""
        age_s = max(0.0, now_s - self.error_seen_s)
        return self.error_share * 0.5 ** (age_s / _ERROR_RATE_HALF_LIFE_S)

    def is_silent(self, now_s: float) -> bool:
        """Return whether this VM or another suspects stalled streams."""
        return now_s < self.silent_until_s

    def is_avoided(self, now_s: float) -> bool:
        """Return whether the engine is in backoff after recent failures."""
        return now_s < self.avoid_until_s

    def is_loading(self, now_s: float) -> bool:
        """Return whether a planned weights load is in progress."""
        return self.load is not None and self.load.is_running(now_s)

    def is_load_announced(self, now_s: float) -> bool:
        """Return whether a planned weights load lies ahead."""
        return self.load is not None and self.load.is_ahead(now_s)

    def expected_weights(self, model: str, now_s: float) -> int | None:
        """Return the version that the engine should run, None if unknown."""
        reported = self.weights.get(model)
        load = self.load
        if reported is None or load is None or load.model != model:
            return reported
        return (
            max(reported, load.version)
            if load.is_just_over(now_s)
            else reported
        )

    def own_occupancy(self) -> Occupancy:
        """Return the total of this VM's attempts in flight."""
        return Occupancy(
            attempts=len(self.out),
            uncached_tokens=sum(
                attempt.uncached_tokens
                for attempt in self.out
                if not attempt.has_started
            ),
            resident_tokens=sum(
                attempt.resident_tokens for attempt in self.out
            ),
        )

    def occupancy(self, now_s: float) -> Occupancy:
        """Return the total of all VMs, as far as it was reported recently."""
        return self.occupancy_by(self.peers, now_s)

    def occupancy_by(self, names: Container[str], now_s: float) -> Occupancy:
        """Return the total of this VM and the peers in ``names``.

        Reports older than ``PEER_MEMORY_S`` do not count.
        """
        return total_occupancy(
            [
                self.own_occupancy(),
                *(
                    peer.occupancy
                    for name, peer in self.peers.items()
                    if name in names and now_s - peer.heard_s < PEER_MEMORY_S
                ),
            ],
        )

    def current_slowdown(self, now_s: float) -> float:
        """Return the reported slowdown, decayed to the lowest with its age."""
        age_s = now_s - self.reported_s
        weight = max(0.0, 1 - age_s / _MAX_REPORT_AGE_S)
        return self.usual_slowdown + weight * (
            self.slowdown - self.usual_slowdown
        )


def total_occupancy(parts: Iterable[Occupancy]) -> Occupancy:
    """Return the total of ``parts``."""
    occupancies = list(parts)
    return Occupancy(
        attempts=sum(part.attempts for part in occupancies),
        uncached_tokens=sum(part.uncached_tokens for part in occupancies),
        resident_tokens=sum(part.resident_tokens for part in occupancies),
    )
