"""Hold what one VM knows of one backend server."""

from collections.abc import Container, Iterable, Mapping

import attrs

_FIRST_PAUSE_S = 0.3
_MAX_PAUSE_S = 4.0
_LOAD_MEMORY_S = 1.0
PEER_MEMORY_S = 3.0
_ERROR_WEIGHT = 0.15
_ERROR_HALF_LIFE_S = 4.0


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Hold one attempt that this VM has out.

    ``uncached_tokens`` wait for prefill until the first event, behind
    ``ahead_tokens`` of other attempts;
    ``resident_tokens`` occupy the engine's memory for the whole run.
    """

    sent_s: float
    uncached_tokens: int = 0
    ahead_tokens: int = 0
    resident_tokens: int = 0
    has_started: bool = False


@attrs.frozen(kw_only=True)
class Occupancy:
    """Sum up the attempts that one VM has out at one engine."""

    attempts: int = 0
    uncached_tokens: int = 0
    resident_tokens: int = 0


@attrs.frozen(kw_only=True)
class PeerOccupancy:
    """Hold what another VM told, and when it was heard."""

    occupancy: Occupancy
    heard_s: float


@attrs.frozen(kw_only=True)
class AnnouncedLoad:
    """Say when an engine is expected to change to other weights.

    Times are on the node's clock. A load of no length was called off.
    """

    model: str
    version: int
    from_s: float
    until_s: float

    def is_running(self, now_s: float) -> bool:
        """Tell whether it goes on now."""
        return self.from_s <= now_s < self.until_s

    def is_ahead(self, now_s: float) -> bool:
        """Tell whether it begins shortly."""
        return now_s < self.from_s < self.until_s

    def is_just_over(self, now_s: float) -> bool:
        """Tell whether it should be done; what engines report lags."""
        is_carried_out = self.from_s < self.until_s
        return is_carried_out and 0 <= now_s - self.until_s < _LOAD_MEMORY_S


@attrs.define(kw_only=True, eq=False)
class EngineView:
    """Hold identity, weights, load and recent failures of one engine.

    Times are seconds on one clock. ``slowdown`` is how many times longer
    than usual its machine takes, ``usual_slowdown`` the least that was
    seen. ``learned_s`` is when an answer told weights that were not known.
    ``suspected_until_s`` is this VM's own suspicion that the engine is
    silent, ``silent_until_s`` counts that of other VMs too.
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
        """Take up the load that an answer told."""
        self.running = running
        self.slowdown = slowdown
        if self.reported_s:
            self.usual_slowdown = min(self.usual_slowdown, slowdown)
        else:
            self.usual_slowdown = slowdown
        self.reported_s = now_s

    def put_weights(self, versions: Mapping[str, int]) -> bool:
        """Take up loaded versions, which only rise within one start.

        Tell whether one was newer than known.
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
        """Take up the version that an answer told, whatever was known."""
        if self.weights.get(model) != version:
            self.weights[model] = version
            self.learned_s = now_s

    def put_failure(self, now_s: float) -> float:
        """Avoid the engine, longer after each failure in a row."""
        self.failures += 1
        pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**self.failures)
        self.avoid_until_s = now_s + pause_s
        return pause_s

    def put_success(self, now_s: float) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.avoid_until_s = 0.0
        self.put_result(0, now_s)

    def put_result(self, error: float, now_s: float) -> None:
        """Take up whether a request failed (1) or not (0) once run."""
        held = self.current_error_share(now_s)
        self.error_share = held + _ERROR_WEIGHT * (error - held)
        self.error_seen_s = now_s

    def current_error_share(self, now_s: float) -> float:
        """Return the share of failed requests, fading without new ones."""
        age_s = max(0.0, now_s - self.error_seen_s)
        return self.error_share * 0.5 ** (age_s / _ERROR_HALF_LIFE_S)

    def is_silent(self, now_s: float) -> bool:
        """Tell whether streams at the engine stall."""
        return now_s < self.silent_until_s

    def is_avoided(self, now_s: float) -> bool:
        """Tell whether recent failures speak for other engines."""
        return now_s < self.avoid_until_s

    def is_loading(self, now_s: float) -> bool:
        """Tell whether the engine is expected to change weights now."""
        return self.load is not None and self.load.is_running(now_s)

    def is_load_announced(self, now_s: float) -> bool:
        """Tell whether the engine will change weights shortly."""
        return self.load is not None and self.load.is_ahead(now_s)

    def expected_weights(self, model: str, now_s: float) -> int | None:
        """Return the version that the engine should run now, if known."""
        known = self.weights.get(model)
        load = self.load
        if known is None or load is None or load.model != model:
            return known
        return max(known, load.version) if load.is_just_over(now_s) else known

    def own_occupancy(self) -> Occupancy:
        """Return what this VM has out."""
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
        """Return what all VMs have out, as far as this one was told."""
        return self.occupancy_by(self.peers, now_s)

    def occupancy_by(self, names: Container[str], now_s: float) -> Occupancy:
        """Return what this VM and the peers ``names`` have out."""
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
        """Return the reported slowdown, fading to the usual one."""
        age_s = now_s - self.reported_s
        weight = max(0.0, 1 - age_s / _LOAD_MEMORY_S)
        return self.usual_slowdown + weight * (
            self.slowdown - self.usual_slowdown
        )


def total_occupancy(parts: Iterable[Occupancy]) -> Occupancy:
    """Return the sum of ``parts``."""
    told = list(parts)
    return Occupancy(
        attempts=sum(part.attempts for part in told),
        uncached_tokens=sum(part.uncached_tokens for part in told),
        resident_tokens=sum(part.resident_tokens for part in told),
    )
