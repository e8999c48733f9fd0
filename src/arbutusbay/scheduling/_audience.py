"""Choose whom a VM tells of its load when there are many VMs.

If every VM told every other, messages would grow with the square of their
number. So in a large fleet the VMs of an availability zone tell each other,
and two speakers of each zone tell the sum of theirs to the speakers of the
other zones, who pass it on in their own.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.fleet import VMRecord
from arbutusbay.hashing import rendezvous_order

_DIRECT_VMS = 32
_SPEAKERS_PER_ZONE = 2
_RANK_KEY = 'speakers'


@attrs.frozen(kw_only=True)
class Audience:
    """Say who is told what.

    ``near`` VMs are told of each attempt, ``speakers`` of the sum of the
    zone, ``far`` ones only what is rare.
    """

    near: Sequence[VMRecord]
    speakers: Sequence[VMRecord] = ()
    far: Sequence[VMRecord] = ()
    is_speaker: bool = False


def audience_of(
    own_name: str,
    own_zone: str,
    vms: Mapping[str, VMRecord],
    silent: Collection[str],
) -> Audience:
    """Return whom ``own_name`` tells; ``silent`` VMs are left out."""
    heard = {
        name: vm
        for name, vm in vms.items()
        if name not in silent and name != own_name
    }
    if len(heard) < _DIRECT_VMS:
        return Audience(near=list(heard.values()))
    names = _speaker_names(own_name, own_zone, heard)
    elsewhere = [vm for vm in heard.values() if vm.zone != own_zone]
    is_speaker = own_name in names
    return Audience(
        near=[vm for vm in heard.values() if vm.zone == own_zone],
        speakers=[vm for vm in elsewhere if is_speaker and vm.name in names],
        far=[vm for vm in elsewhere if not is_speaker or vm.name not in names],
        is_speaker=is_speaker,
    )


def _speaker_names(
    own_name: str,
    own_zone: str,
    heard: Mapping[str, VMRecord],
) -> frozenset[str]:
    zones = {own_name: own_zone}
    zones.update({name: vm.zone for name, vm in heard.items()})
    ranked: dict[str, list[str]] = {}
    for name in rendezvous_order(_RANK_KEY, zones):
        ranked.setdefault(zones[name], []).append(name)
    return frozenset(
        name for names in ranked.values() for name in names[:_SPEAKERS_PER_ZONE]
    )
