"""Decide on requests for the VMs that lend their share of a limit.

Each VM lends its share, one of as many as the fleet has VMs, to one owner at a
time. An owner grants at the part of the rate, and holds at most the part of
the burst, that was lent to it. All owners together thus stay within the
limit, however the fleet is divided and whoever believes to be the owner.
"""

import math
from collections.abc import Mapping

import attrs

from arbutusbay.quota._bucket import (
    START_CREDIT_LIFE_S,
    Bucket,
    QuotaRequest,
)
from arbutusbay.quota._terms import (
    Decision,
    QuotaBounds,
    QuotaTerms,
    Refused,
)

# While an owner takes over, shares come faster than its rate tells.
_RETRY_AFTER_TAKEOVER_S = 1.0
_MAJORITY_SHARE = 0.5


@attrs.define(kw_only=True, eq=False)
class QuotaOwner:
    """Hold the buckets of some teams, and the shares lent for them.

    ``expiry_by_vm`` holds until when each VM has lent its share, none until
    before ``next_expiry_s``, and ``started_s`` is when the first of them lent
    it. All times are in seconds on the clock of this VM.

    A decision fills the bucket of its team only, and looks at the leases only
    if one may have ended: its cost grows with neither teams nor VMs.
    """

    bounds: QuotaBounds
    vm_count: int = 1
    next_expiry_s: float = float('inf')
    started_s: float = float('-inf')
    expiry_by_vm: dict[str, float] = attrs.field(factory=dict)
    terms_by_team: dict[str, QuotaTerms] = attrs.field(factory=dict)
    buckets: dict[str, Bucket] = attrs.field(factory=dict)

    @property
    def share(self) -> float:
        """Return the part of the fleet that lends its share."""
        lenders = len(self.expiry_by_vm)
        return lenders / max(self.vm_count, lenders, 1)

    def resize_fleet(self, vm_count: int, now_s: float) -> None:
        """Divide the limits by the number of VMs in the fleet."""
        if vm_count == self.vm_count:
            return
        self.advance(now_s)
        self.vm_count = vm_count
        self._resize()

    def apply_limits(
        self, terms: Mapping[str, QuotaTerms], now_s: float
    ) -> None:
        """Apply the limits of a configuration, which replace all others."""
        self.advance(now_s)
        for team in self.buckets.keys() - terms.keys():
            self.buckets.pop(team)
            self.terms_by_team.pop(team)
        for team, of_team in terms.items():
            self._apply(team, of_team, now_s)

    def lend(self, vm: str, now_s: float, *, until_s: float) -> None:
        """Record that a VM lends its share until ``until_s``."""
        self._end_leases(now_s)
        known_s = self.expiry_by_vm.get(vm)
        if known_s is not None:
            self.expiry_by_vm[vm] = max(until_s, known_s)
        elif until_s > now_s:
            self._fill(now_s)
            if not self.expiry_by_vm:
                self.started_s = now_s
            self.expiry_by_vm[vm] = until_s
            self.next_expiry_s = min(self.next_expiry_s, until_s)
            self._resize()

    def add_start_credit(self, now_s: float) -> None:
        """Add the credit of one VM, so that requests need not wait for shares.

        The VMs have lent their shares to another owner, which may have
        failed, and may not lend them again before that lease ends. Each VM
        gives its credit rarely enough for the bound (``ShareLender``).
        """
        vms = max(self.vm_count, len(self.expiry_by_vm), 1)
        for team, bucket in self.buckets.items():
            credit = self.terms_by_team[team].start_credit(self.bounds)
            bucket.add_start_credit(credit / vms, now_s)

    def release(self, vm: str, now_s: float) -> None:
        """Give a VM its share back, which it may lend to another owner."""
        self.advance(now_s)
        if self.expiry_by_vm.pop(vm, None) is not None:
            self._resize()

    def decide(
        self, team: str, terms: QuotaTerms, request: QuotaRequest, now_s: float
    ) -> Decision:
        """Grant or refuse a request of a team.

        ``terms`` are those that the asking VM has. The newer ones decide.
        """
        self._end_leases(now_s)
        self._apply(team, terms, now_s)
        self.buckets[team].fill(now_s)
        capacity = self.terms_by_team[team].capacity(self.bounds)
        if request.cost > capacity:
            return Refused(retry_after_s=math.inf)
        match self.buckets[team].take(request, now_s):
            case Refused(retry_after_s=wait_s) if self._is_taking_over(now_s):
                return Refused(
                    retry_after_s=min(wait_s, _RETRY_AFTER_TAKEOVER_S)
                )
            case decision:
                return decision

    def give_back(self, team: str, cost: float, now_s: float) -> None:
        """Return the tokens of a request that certainly was not executed."""
        self._end_leases(now_s)
        bucket = self.buckets.get(team)
        if bucket is not None:
            bucket.fill(now_s)
            bucket.add(cost)

    def advance(self, now_s: float) -> None:
        """Fill the buckets up to ``now_s`` with what was lent until then."""
        self._end_leases(now_s)
        self._fill(now_s)

    def _end_leases(self, now_s: float) -> None:
        """End the leases until ``now_s``, each at its time."""
        if now_s < self.next_expiry_s:
            return
        ended = sorted(
            (expiry_s, vm)
            for vm, expiry_s in self.expiry_by_vm.items()
            if expiry_s <= now_s
        )
        for expiry_s, vm in ended:
            self._fill(expiry_s)
            self.expiry_by_vm.pop(vm)
            self._resize()
        self.next_expiry_s = min(
            self.expiry_by_vm.values(), default=float('inf')
        )

    def _is_taking_over(self, now_s: float) -> bool:
        """Return whether some VMs may still lend their share to another."""
        return self.share < 1 and now_s - self.started_s < START_CREDIT_LIFE_S

    def _fill(self, now_s: float) -> None:
        for bucket in self.buckets.values():
            bucket.fill(now_s)

    def _apply(self, team: str, terms: QuotaTerms, now_s: float) -> None:
        known = self.terms_by_team.get(team)
        if known is not None and known.version >= terms.version:
            return
        self.terms_by_team[team] = terms
        self.buckets.setdefault(team, Bucket(filled_until_s=now_s)).fill(now_s)
        self._resize_team(team)

    def _resize(self) -> None:
        for team in self.buckets:
            self._resize_team(team)

    def _resize_team(self, team: str) -> None:
        """Give a team the part of its limit that was lent to this owner.

        The owner that has most of the shares may grant a request that needs
        all of them, so that the loss of a VM doesn't refuse it for a minute.
        """
        terms = self.terms_by_team[team]
        self.buckets[team].resize(
            capacity=terms.capacity(self.bounds) * self.share,
            rate_per_s=terms.refill_rate_per_s(self.bounds) * self.share,
            may_borrow=self.share > _MAJORITY_SHARE,
        )
