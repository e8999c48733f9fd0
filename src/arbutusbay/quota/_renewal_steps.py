"""Decide which messages renew a VM's leases and find better owners."""

import attrs

from arbutusbay.quota._limit_shares import LimitShares, QuotaPartition


@attrs.frozen(kw_only=True)
class ChangeOwner:
    """Report that this VM takes another VM for the owner than before."""

    owner: str
    before: str


@attrs.frozen(kw_only=True)
class ProbeVM:
    """Ask a silent VM, which would be the owner, whether it answers."""

    vm: str


@attrs.frozen(kw_only=True)
class LeaveOwner:
    """Ask an owner, which another one replaces, to release the share."""

    owner: str


@attrs.frozen(kw_only=True)
class RenewLease:
    """Lend the share to the owner for another lease."""


RenewalStep = ChangeOwner | ProbeVM | LeaveOwner | RenewLease


def plan_renewal(
    shares: LimitShares, partition: QuotaPartition, now_s: float
) -> list[RenewalStep]:
    """Return what is due now for a partition.

    A share that this VM has lent to itself is released at once.
    """
    lender = partition.lender
    chosen = lender.choose_owner(shares.vms)
    steps: list[RenewalStep] = []
    if chosen != lender.known_owner:
        steps.append(ChangeOwner(owner=chosen, before=lender.known_owner))
        lender.known_owner = chosen
    silent = lender.vm_to_probe(shares.vms, now_s)
    if silent is not None:
        steps.append(ProbeVM(vm=silent))
    left = lender.owner_to_leave(chosen, now_s)
    if left is not None:
        lender.begin_release()
    if left == shares.own_vm:
        partition.owner.release(left, now_s)
        lender.record_release(left, is_released=True)
    elif left is not None:
        steps.append(LeaveOwner(owner=left))
    elif lender.is_renewal_due(now_s, shares.times):
        steps.append(RenewLease())
    return steps
