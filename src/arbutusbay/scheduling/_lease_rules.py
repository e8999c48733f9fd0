"""Decide who may claim a lease, and how long a claim holds."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """Hold the times of a lease, in seconds.

    A claim holds for ``valid_s`` from its sending. Another VM claims after
    it has seen no claim for ``takeover_s``: the claim before it no longer
    holds, and the time that must lie between two holders has passed.
    """

    valid_s: float
    takeover_s: float


@attrs.frozen(kw_only=True)
class SeenClaim:
    """Say who made the newest claim that is known, and since when."""

    holder: str
    seen_s: float


def may_claim(
    own_name: str,
    seen: SeenClaim | None,
    now_s: float,
    times: LeaseTimes,
) -> bool:
    """Tell whether a VM may append a claim now."""
    if seen is None or seen.holder == own_name:
        return True
    return now_s - seen.seen_s > times.takeover_s


def is_claim_valid(sent_s: float, now_s: float, times: LeaseTimes) -> bool:
    """Tell whether a claim sent at ``sent_s`` still holds."""
    return now_s < sent_s + times.valid_s
