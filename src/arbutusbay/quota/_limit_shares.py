"""Hold the part of one VM in the limits of all teams, at either edge."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from arbutusbay.quota._bucket import QuotaRequest
from arbutusbay.quota._lender import (
    PARTITION_COUNT,
    LeaseTimes,
    ShareLender,
    lease_times,
    partition_of,
)
from arbutusbay.quota._owner import QuotaOwner
from arbutusbay.quota._terms import Decision, QuotaBounds, QuotaTerms

# Divides the limits while the number of VMs is not known.
_MAX_VMS = 400


@attrs.frozen(kw_only=True)
class QuotaPartition:
    """Hold what this VM may decide in a partition, and whom it lends to."""

    number: int
    owner: QuotaOwner
    lender: ShareLender


@attrs.frozen(kw_only=True)
class OfferedShare:
    """Hold what a message to an owner lends, for ``lease_s`` seconds."""

    lease_s: float
    adds_start_credit: bool


@attrs.frozen(kw_only=True)
class AskedGrant:
    """Hold what the VM ``vm`` asks of an owner, and what it offers for it.

    An empty ``team`` asks for nothing. ``terms`` are those that the VM has.
    """

    vm: str
    offered: OfferedShare
    team: str
    request: QuotaRequest
    terms: QuotaTerms


class LimitShares:
    """Keep the partitions as the configuration and the list of VMs say.

    ``limits`` holds the limits in force by team, in the ``version`` of the
    configuration, and ``used`` the partitions that have one. ``vms`` holds the
    VMs that may own a partition, in a fixed order, and ``vm_count`` is by how
    many the limits are divided.
    """

    def __init__(
        self, *, own_vm: str, bounds: QuotaBounds, now_s: float
    ) -> None:
        """Create the partitions of a VM that has just started."""
        self.own_vm = own_vm
        self.limits: Mapping[str, QuotaTerms] = {}
        self.version = 0
        self.used: tuple[QuotaPartition, ...] = ()
        self.vms: tuple[str, ...] = (own_vm,)
        self.vm_count = _MAX_VMS
        self.partitions = tuple(
            QuotaPartition(
                number=number,
                owner=QuotaOwner(bounds=bounds, vm_count=_MAX_VMS),
                lender=ShareLender(
                    own_vm=own_vm,
                    partition=number,
                    window_s=bounds.window_s,
                    last_credit_s=now_s,
                ),
            )
            for number in range(PARTITION_COUNT)
        )

    @property
    def times(self) -> LeaseTimes:
        """Return the times of a lease in this fleet."""
        return lease_times(self.vm_count)

    def of_team(self, team: str) -> QuotaPartition:
        """Return the partition of a team."""
        return self.partitions[partition_of(team)]

    def apply_limits(
        self, limits: Mapping[str, QuotaTerms], version: int, now_s: float
    ) -> None:
        """Apply the limits of all teams in a version of the configuration.

        An older one, which a restored store may have, is ignored.
        """
        if version < self.version:
            return
        self.limits = limits
        self.version = version
        used = []
        for partition in self.partitions:
            own_limits = {
                team: terms
                for team, terms in limits.items()
                if partition_of(team) == partition.number
            }
            partition.owner.apply_limits(own_limits, now_s)
            if own_limits:
                used.append(partition)
        self.used = tuple(used)

    def apply_vms(
        self, vms: Iterable[str], vm_count: int | None, now_s: float
    ) -> None:
        """Apply which VMs are live, and how many may lend a share.

        ``vm_count`` is None while nothing tells how many there are.
        """
        self.vms = tuple(sorted(vms))
        self.vm_count = _MAX_VMS if vm_count is None else vm_count
        for partition in self.partitions:
            partition.owner.resize_fleet(self.vm_count, now_s)
            partition.lender.forget_others(self.vms)

    def choose_owner(self, partition: QuotaPartition) -> str:
        """Return the VM that this VM takes for the owner of a partition."""
        return partition.lender.choose_owner(self.vms)

    def offer(
        self, partition: QuotaPartition, owner: str, now_s: float
    ) -> OfferedShare:
        """Return what a message that is sent to ``owner`` now lends to it."""
        loan = partition.lender.offer(owner, now_s, self.times)
        return OfferedShare(
            lease_s=self.times.lease_s if loan.lends else 0.0,
            adds_start_credit=loan.adds_start_credit,
        )

    def decide(
        self,
        partition: QuotaPartition,
        asked: AskedGrant,
        now_s: float,
        *,
        received_s: float,
    ) -> Decision | None:
        """Take what is lent, and decide; None if nothing limits the request.

        The lease counts from ``received_s``, when the message may have come.
        """
        owner = partition.owner
        if asked.offered.adds_start_credit:
            owner.add_start_credit(now_s)
        until_s = received_s + asked.offered.lease_s
        owner.lend(asked.vm, now_s, until_s=until_s)
        if not asked.team or self._is_unlimited(asked):
            return None
        return owner.decide(asked.team, asked.terms, asked.request, now_s)

    def describe(self, now_s: float) -> list[dict[str, Any]]:
        """Return the state of the used partitions as JSON values."""
        return [
            {
                'vms': self.vm_count,
                **_describe_partition(partition, now_s),
            }
            for partition in self.used
        ]

    def lent_shares(self, now_s: float) -> dict[str, float]:
        """Return the part of the fleet that lends to this VM, by partition."""
        for partition in self.used:
            partition.owner.advance(now_s)
        return {
            str(partition.number): partition.owner.share
            for partition in self.used
        }

    def _is_unlimited(self, asked: AskedGrant) -> bool:
        """Return whether a newer configuration has no limit for the team."""
        is_newer = self.version > asked.terms.version
        return is_newer and asked.team not in self.limits


def _describe_partition(
    partition: QuotaPartition, now_s: float
) -> dict[str, Any]:
    owner = partition.owner
    owner.advance(now_s)
    return {
        'partition': partition.number,
        'lent_to': partition.lender.owner,
        'lent_here': round(owner.share, 3),
        'silent': sorted(partition.lender.next_probe_s),
        'teams': {
            team: {
                'version': terms.version,
                'rate_per_s': terms.rate_per_s,
                'burst': terms.burst,
                'level': round(owner.buckets[team].level, 1),
                'reserved': owner.buckets[team].reservations.count,
            }
            for team, terms in owner.terms_by_team.items()
        },
    }
