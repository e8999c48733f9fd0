"""Fold what the store tells into the configuration and servers in force."""

import attrs

from arbutusbay.fleet._types import (
    BackendServer,
    Configuration,
    LeaseClaim,
    VMRecord,
    WeightsTarget,
)


_KEPT_TARGETS = 16


@attrs.frozen(kw_only=True)
class NamedTarget:
    """Hold a weights target, when it was learned and named at the latest.

    ``named_s`` is minus infinity where a process that just started found
    the target: it may have been named long before. ``earlier`` holds the
    targets before it, the newest last.
    """

    version: int
    learned_s: float
    named_s: float
    earlier: tuple['NamedTarget', ...] = ()

    def is_overdue(self, version: int, moment_s: float, limit_s: float) -> bool:
        """Tell whether work on ``version`` may no longer begin."""
        return any(
            version < target.version and moment_s - target.named_s > limit_s
            for target in (*self.earlier, self)
        )


@attrs.frozen(kw_only=True)
class HeldLease:
    """Hold the newest claim of a lease, its offset and when it was seen."""

    claim: LeaseClaim
    offset: int
    seen_s: float


class Catalog:
    """Hold what is in force; versions and offsets only ever rise."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self.configuration: Configuration | None = None
        self.targets: dict[str, NamedTarget] = {}
        self.servers: dict[str, BackendServer] = {}
        self.vms: dict[str, VMRecord] = {}
        self.leases: dict[str, HeldLease] = {}

    def put_configuration(self, configuration: Configuration) -> bool:
        """Take ``configuration`` up if it is newer; tell whether it was."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.configuration = configuration
        return True

    def put_target(
        self,
        target: WeightsTarget,
        now_s: float,
        *,
        named_s: float,
    ) -> bool:
        """Take a weights target up if it is newer; tell whether it was."""
        held = self.targets.get(target.model)
        if held is not None and target.version <= held.version:
            return False
        self.targets[target.model] = NamedTarget(
            version=target.version,
            learned_s=now_s,
            named_s=named_s,
            earlier=self._earlier_targets(held),
        )
        return True

    def put_claim(self, claim: LeaseClaim, offset: int, now_s: float) -> bool:
        """Take a lease claim up if it is newer; tell whether it was."""
        held = self.leases.get(claim.name)
        if held is not None and offset <= held.offset:
            return False
        self.leases[claim.name] = HeldLease(
            claim=claim,
            offset=offset,
            seen_s=now_s,
        )
        return True

    def _earlier_targets(
        self,
        held: NamedTarget | None,
    ) -> tuple[NamedTarget, ...]:
        if held is None:
            return ()
        last = attrs.evolve(held, earlier=())
        return (*held.earlier, last)[-_KEPT_TARGETS:]
