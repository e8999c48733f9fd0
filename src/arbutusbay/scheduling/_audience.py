"""Choose whom a VM tells of its load when there are many VMs.

If every VM told every other, messages would grow with the square of their
number. So in a large fleet the VMs of an availability zone tell each other,
and a few speakers of each zone tell the sum of theirs to the speakers of the
other zones. Each speaker passes those on to a share of its own zone, since
links are narrow.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.fleet import VMRecord
from arbutusbay.hashing import rendezvous_order

_DIRECT_VMS = 32
_MIN_SPEAKERS = 2
_VMS_PER_SPEAKER = 12
_RANK_KEY = 'speakers'


@attrs.frozen(kw_only=True)
class Audience:
    """Say who is told what.

    ``near`` VMs are told of each attempt. ``served`` ones are told that
    and what the other zones say. ``speakers`` of other zones are told what
    is new of engines and, by a speaker, the sum of its zone. ``far`` VMs
    are told only that this VM lives.
    """

    near: Sequence[VMRecord]
    served: Sequence[VMRecord] = ()
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
    speakers = _speakers(own_name, own_zone, heard)
    own_speakers = speakers.pop(own_zone)
    elsewhere = {name for names in speakers.values() for name in names}
    near = [vm for vm in heard.values() if vm.zone == own_zone]
    others = [vm for vm in heard.values() if vm.zone != own_zone]
    served = [
        vm for vm in near if _speaker_of(vm.name, own_speakers) == own_name
    ]
    return Audience(
        near=[vm for vm in near if vm not in served],
        served=served,
        speakers=[vm for vm in others if vm.name in elsewhere],
        far=[vm for vm in others if vm.name not in elsewhere],
        is_speaker=own_name in own_speakers,
    )


def _speakers(
    own_name: str,
    own_zone: str,
    heard: Mapping[str, VMRecord],
) -> dict[str, list[str]]:
    """Return the names of the speakers of each zone."""
    zones = {own_name: own_zone}
    zones.update({name: vm.zone for name, vm in heard.items()})
    ranked: dict[str, list[str]] = {}
    for name in rendezvous_order(_RANK_KEY, zones):
        ranked.setdefault(zones[name], []).append(name)
    return {
        zone: names[: max(_MIN_SPEAKERS, len(names) // _VMS_PER_SPEAKER)]
        for zone, names in ranked.items()
    }


def _speaker_of(name: str, speakers: Sequence[str]) -> str:
    """Return which speaker serves a VM: a speaker is served by the next."""
    others = [speaker for speaker in speakers if speaker != name]
    return rendezvous_order(name, others)[0]
