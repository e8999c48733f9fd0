"""Decide how long a VM leaves a free lease to others.

All VMs rank each other in the same order. Claims of several at once do no harm,
because the lease is claimed under a condition: waiting only saves calls to the
store. So the wait is short whatever VMs are gone without it being known.
"""

from collections.abc import Collection

from arbutusbay.hashing import rank_by_rendezvous_hash

_TURN_S = 0.4


def takeover_delay_s(
    own_name: str,
    lease_name: str,
    live_names: Collection[str],
    last_holder: str | None,
) -> float:
    """Return for how long the VM ``own_name`` leaves the lease to others.

    The last holder comes first if it is there. Each turn is for twice as many
    VMs as the one before, so their number grows with the logarithm of the
    fleet's.
    """
    if own_name == last_holder:
        return 0.0
    order = rank_by_rendezvous_hash(lease_name, sorted({*live_names, own_name}))
    position = order.index(own_name)
    if last_holder in live_names and order.index(last_holder) > position:
        position += 1
    return _TURN_S * ((position + 1).bit_length() - 1)
