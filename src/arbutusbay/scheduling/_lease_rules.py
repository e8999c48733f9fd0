"""Decide when a lease may be claimed and how long a claim is valid."""

import attrs

_FENCE_ERA_SHIFT_BITS = 32


@attrs.frozen(kw_only=True)
class LeaseDurations:
    """Hold the durations of a lease, in seconds.

    A claim is valid for ``validity_s`` after it was sent. Another VM may claim
    the lease once it has observed no new claim for ``takeover_after_s``, which
    covers the validity of the last claim and the required gap between two
    holders.
    """

    validity_s: float
    takeover_after_s: float


@attrs.frozen(kw_only=True)
class ObservedClaim:
    """Hold the newest known claim: who made it and when it was observed."""

    holder: str
    observed_s: float


@attrs.frozen(kw_only=True)
class ObservedEra:
    """Hold when a VM first read the store in its present era, in seconds.

    ``is_restored`` means that the VM has seen an earlier era, ``is_first``
    that there was none: the store holds every claim that was ever made.
    """

    observed_s: float
    is_restored: bool
    is_first: bool


def fencing_token(*, store_era: int, offset: int) -> int:
    """Return the fencing token of a claim, given its position in the store.

    Offsets fall when the store is restored from a copy; the era never does.
    """
    return (store_era << _FENCE_ERA_SHIFT_BITS) + offset


def can_claim(
    own_name: str,
    newest_claim: ObservedClaim | None,
    era: ObservedEra,
    now_s: float,
    durations: LeaseDurations,
) -> bool:
    """Return whether the VM ``own_name`` may claim the lease now.

    It may if it made the newest known claim itself, or if more than
    ``takeover_after_s`` has passed since it observed that claim. A restored
    store may have lost a newer claim, so there that time has to pass since
    the era was first observed. One that was never restored has lost none: if
    no claim is known there, no VM holds the lease.
    """
    may_lack_claims = not era.is_first
    if may_lack_claims and now_s - era.observed_s <= durations.takeover_after_s:
        return False
    if newest_claim is None or newest_claim.holder == own_name:
        return True
    return now_s - newest_claim.observed_s > durations.takeover_after_s


def is_claim_valid(
    sent_s: float, now_s: float, durations: LeaseDurations
) -> bool:
    """Return whether an own claim sent at ``sent_s`` is still valid."""
    return now_s < sent_s + durations.validity_s
