"""Choose from where a VM learns what the store holds.

If every VM read the store, the cost would grow with their number. So the
VMs of an availability zone are ranked alike by all: the first reads the
store, the others follow the first one that answers. Whoever finds no one
ranked before it reads for itself, and whom the store turns away follows a
VM anywhere.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.fleet import VMRecord
from arbutusbay.hashing import rendezvous_order

_RANK_KEY = 'store-readers'


@attrs.frozen(kw_only=True)
class ReadStore:
    """Read the store itself."""


@attrs.frozen(kw_only=True)
class FollowVM:
    """Follow another VM."""

    vm: VMRecord


Source = ReadStore | FollowVM


def sources_in_order(
    own_name: str,
    vms: Mapping[str, VMRecord],
    silent: Collection[str],
) -> Sequence[Source]:
    """Return the sources to try, the preferred one first.

    ``silent`` names VMs that have not been heard of lately.
    """
    me = vms[own_name]
    heard = [
        vms[name]
        for name in rendezvous_order(_RANK_KEY, vms)
        if name == own_name or name not in silent
    ]
    own_zone = [vm for vm in heard if vm.zone == me.zone]
    position = own_zone.index(me)
    elsewhere = [vm for vm in heard if vm.zone != me.zone]
    return [
        *(FollowVM(vm=vm) for vm in own_zone[:position]),
        ReadStore(),
        *(FollowVM(vm=vm) for vm in elsewhere),
        *(FollowVM(vm=vm) for vm in own_zone[position + 1 :]),
    ]


def source_name(source: Source) -> str:
    """Return a name for logs, unique among sources."""
    match source:
        case ReadStore():
            return 'store'
        case FollowVM(vm=vm):
            return vm.name
