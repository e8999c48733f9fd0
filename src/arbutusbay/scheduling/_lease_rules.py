"""Decide when a lease may be claimed and how long a claim is valid."""

import attrs


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


def can_claim(
    own_name: str,
    newest_claim: ObservedClaim | None,
    now_s: float,
    durations: LeaseDurations,
) -> bool:
    """Return whether the VM ``own_name`` may claim the lease now.

    It may if no claim is known, if it made the newest one itself, or if
    more than ``takeover_after_s`` has passed since it observed that claim.
    """
    if newest_claim is None or newest_claim.holder == own_name:
        return True
    return now_s - newest_claim.observed_s > durations.takeover_after_s


def is_claim_valid(
    sent_s: float, now_s: float, durations: LeaseDurations
) -> bool:
    """Return whether an own claim sent at ``sent_s`` is still valid."""
    return now_s < sent_s + durations.validity_s
