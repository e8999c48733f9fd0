"""Keep the current fleet state that is built from the store's records.

A configuration, weights target or lease claim that is older than the known
one is ignored, so records may arrive repeatedly and out of order.
"""

from collections.abc import Mapping

import attrs

from arbutusbay.fleet._types import (
    BackendServer,
    Configuration,
    LeaseClaim,
    WeightsTarget,
)

_MAX_PREVIOUS_TARGETS = 16


@attrs.frozen(kw_only=True)
class TrackedTarget:
    """Track a weights target with the times that bound its rollout.

    Times are seconds on one clock. ``target_read_s`` is when this process read
    the target. ``published_s`` is the earliest time at which it can have been
    published, minus infinity if the process found the target at its start.
    ``previous_targets`` holds the previous targets, oldest first.
    """

    version: int
    target_read_s: float
    published_s: float
    previous_targets: tuple['TrackedTarget', ...] = ()

    def is_version_expired(
        self, version: int, moment_s: float, limit_s: float
    ) -> bool:
        """Return whether no more work may start on ``version``.

        That is so once a newer version was published more than ``limit_s``
        before ``moment_s``. Earlier targets are checked too, so that a series
        of targets does not extend the time of an old version.
        """
        return moment_s - self.replaced_s(version) > limit_s

    def replaced_s(self, version: int) -> float:
        """Return when the first newer version was published at the earliest.

        It is infinity if there is no newer version.
        """
        return min(
            (
                target.published_s
                for target in (*self.previous_targets, self)
                if version < target.version
            ),
            default=float('inf'),
        )

    def named_versions(self) -> tuple[int, ...]:
        """Return this version and the previous ones, newest first."""
        return (
            self.version,
            *(target.version for target in reversed(self.previous_targets)),
        )

    def naming_times(self) -> dict[int, float]:
        """Return ``published_s`` of all known versions, oldest first."""
        return {
            target.version: target.published_s
            for target in (*self.previous_targets, self)
        }

    def with_naming_times(
        self, times_s: Mapping[int, float]
    ) -> 'TrackedTarget':
        """Return the target merged with the naming times of another VM.

        Each time is the earliest possible one, so the later of two holds. The
        versions between those that are known here count from then on.
        """
        known_s = self.naming_times()
        older = sorted((known_s.keys() | times_s.keys()) - {self.version})
        unknown_s = float('-inf')
        return attrs.evolve(
            self,
            published_s=max(
                self.published_s, times_s.get(self.version, unknown_s)
            ),
            previous_targets=tuple(
                TrackedTarget(
                    version=version,
                    target_read_s=self.target_read_s,
                    published_s=max(
                        known_s.get(version, unknown_s),
                        times_s.get(version, unknown_s),
                    ),
                )
                for version in older[-_MAX_PREVIOUS_TARGETS:]
            ),
        )


@attrs.frozen(kw_only=True)
class LeaseState:
    """Hold the newest claim of a lease.

    ``fence`` is the fencing token of the claim, which orders claims;
    ``observed_s`` is when this VM observed it, in seconds on its clock.
    """

    claim: LeaseClaim
    fence: int
    observed_s: float


class FleetCatalog:
    """Hold the newest known configuration, targets, servers and leases.

    Configuration versions, target versions and fencing tokens only rise.
    """

    def __init__(self) -> None:
        """Create an empty catalog."""
        self.configuration: Configuration | None = None
        self.targets: dict[str, TrackedTarget] = {}
        self.servers: dict[str, BackendServer] = {}
        self.leases: dict[str, LeaseState] = {}

    def update_configuration(self, configuration: Configuration) -> bool:
        """Store ``configuration`` if it is newer; return whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def update_target(
        self,
        target: WeightsTarget,
        now_s: float,
        *,
        published_s: float,
    ) -> bool:
        """Store a model's target if it is newer; return whether it was.

        ``published_s`` is described at ``TrackedTarget``.
        """
        current = self.targets.get(target.model)
        if current is not None and target.version <= current.version:
            return False
        self.targets[target.model] = TrackedTarget(
            version=target.version,
            target_read_s=now_s,
            published_s=published_s,
            previous_targets=self._previous_targets(current),
        )
        return True

    def merge_naming_times(
        self, model: str, times_s: Mapping[int, float]
    ) -> None:
        """Merge the naming times of another VM.

        ``times_s`` holds ``published_s`` of all its known versions. If one
        is newer than the target here, nothing is taken over.
        """
        current = self.targets.get(model)
        if current is None or max(times_s, default=0) > current.version:
            return
        self.targets[model] = current.with_naming_times(times_s)

    def update_claim(self, claim: LeaseClaim, fence: int, now_s: float) -> bool:
        """Store a lease's claim if it is newer; return whether it was.

        A claim is newer if its fencing token ``fence`` is higher.
        """
        current = self.leases.get(claim.name)
        if current is not None and fence <= current.fence:
            return False
        self.leases[claim.name] = LeaseState(
            claim=claim,
            fence=fence,
            observed_s=now_s,
        )
        return True

    def _previous_targets(
        self,
        current: TrackedTarget | None,
    ) -> tuple[TrackedTarget, ...]:
        if current is None:
            return ()
        previous = attrs.evolve(current, previous_targets=())
        return (*current.previous_targets, previous)[-_MAX_PREVIOUS_TARGETS:]
