"""Choose the source from which a VM reads the contents of the store.

If every VM read the store, the load on the store would grow with the number
of VMs. All VMs therefore compute the same ranking of the VMs in each
availability zone. The first VM in the ranking reads the store. Each other VM
tries the VMs ranked before it, in order, and reads from the first one that
responds. If none of them responds, the VM reads the store itself. If that
fails as well, it reads from any other VM.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.fleet import VMRegistration
from arbutusbay.hashing import rank_by_rendezvous_hash

_RENDEZVOUS_KEY = 'store-readers'


@attrs.frozen(kw_only=True)
class DirectRead:
    """Select the store itself as the source."""


@attrs.frozen(kw_only=True)
class PeerRead:
    """Select another VM as the source."""

    vm: VMRegistration


StoreSource = DirectRead | PeerRead


def rank_sources(
    own_name: str,
    vms: Mapping[str, VMRegistration],
    unreachable_names: Collection[str],
) -> Sequence[StoreSource]:
    """Return the sources in order of preference.

    ``unreachable_names`` holds the VMs without a recent report. They are left
    out, except for this VM itself. Raise ``KeyError`` if ``own_name`` is not
    in ``vms``.
    """
    own_vm = vms[own_name]
    live_vms = [
        vms[name]
        for name in rank_by_rendezvous_hash(_RENDEZVOUS_KEY, vms)
        if name == own_name or name not in unreachable_names
    ]
    zone_vms = [vm for vm in live_vms if vm.zone == own_vm.zone]
    position = zone_vms.index(own_vm)
    remote_vms = [vm for vm in live_vms if vm.zone != own_vm.zone]
    return [
        *(PeerRead(vm=vm) for vm in zone_vms[:position]),
        DirectRead(),
        *(PeerRead(vm=vm) for vm in remote_vms),
        *(PeerRead(vm=vm) for vm in zone_vms[position + 1 :]),
    ]


def source_name(source: StoreSource) -> str:
    """Return the name of a source in logs, unique among sources."""
    match source:
        case DirectRead():
            return 'store'
        case PeerRead(vm=vm):
            return vm.name
