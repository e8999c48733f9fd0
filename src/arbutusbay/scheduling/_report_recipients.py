"""Choose which VMs receive the load reports of a VM.

In a full mesh the number of messages grows with the square of the number of
VMs. A large fleet therefore exchanges reports in two tiers: the VMs of an
availability zone report to each other, and a few aggregators per zone send
the zone's totals to the aggregators of the other zones. Each aggregator
forwards the totals that it receives to only a part of its own zone, because
the bandwidth of the links is limited.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.fleet import VMRegistration
from arbutusbay.hashing import rank_by_rendezvous_hash

_MIN_TIERED_PEERS = 32
_MIN_AGGREGATORS_PER_ZONE = 2
_VMS_PER_AGGREGATOR = 12
_RENDEZVOUS_KEY = 'speakers'
_MIN_HEARTBEAT_INTERVAL_S = 2.0
_MAX_REMOTE_HEARTBEATS_PER_S = 20
_MISSED_HEARTBEATS = 2.5
MIN_REPORT_INTERVAL_S = 0.1
_MAX_ZONE_REPORTS_PER_S = 200


@attrs.frozen(kw_only=True)
class ReportRecipients:
    """Group the recipients of a VM's reports by what they receive.

    ``zone_peers`` holds VMs of the same zone, which receive this VM's
    attempts. ``assigned_peers`` holds VMs of the same zone that also receive
    the totals of the other zones from this VM. ``peer_aggregators`` holds the
    aggregators of other zones, which receive changes of engines and, if this
    VM is an aggregator, the totals of its zone. ``remote_peers`` holds the
    remaining VMs, which receive heartbeats.
    """

    zone_peers: Sequence[VMRegistration]
    assigned_peers: Sequence[VMRegistration] = ()
    peer_aggregators: Sequence[VMRegistration] = ()
    remote_peers: Sequence[VMRegistration] = ()
    is_aggregator: bool = False

    def all(self) -> Sequence[VMRegistration]:
        """Return the VMs of all groups."""
        return (
            *self.zone_peers,
            *self.assigned_peers,
            *self.peer_aggregators,
            *self.remote_peers,
        )


def has_tiers(peers: int) -> bool:
    """Return whether a VM with so many others reports in two tiers."""
    return peers >= _MIN_TIERED_PEERS


def remote_heartbeat_interval_s(remote_vms: int) -> float:
    """Return the time between two heartbeats to each VM of other zones.

    It grows with their number, so that the messages of one VM do not.
    """
    return max(
        _MIN_HEARTBEAT_INTERVAL_S, remote_vms / _MAX_REMOTE_HEARTBEATS_PER_S
    )


def zone_report_interval_s(zone_peers: int) -> float:
    """Return the least time between two reports to the VMs of a zone.

    It grows with their number, so that the messages of one VM do not.
    """
    return max(MIN_REPORT_INTERVAL_S, zone_peers / _MAX_ZONE_REPORTS_PER_S)


def remote_silence_limit_s(
    limit_s: float, *, zone_vms: int, remote_vms: int
) -> float:
    """Return after which silence a VM of another zone counts as gone.

    ``limit_s`` holds for VMs that send reports at a fixed interval, as all
    do in a full mesh.
    """
    if zone_vms + remote_vms <= _MIN_TIERED_PEERS:
        return limit_s
    interval_s = remote_heartbeat_interval_s(remote_vms)
    return max(limit_s, _MISSED_HEARTBEATS * interval_s)


def choose_report_recipients(
    own_name: str,
    own_zone: str,
    vms: Mapping[str, VMRegistration],
    unreachable_names: Collection[str],
) -> ReportRecipients:
    """Return the recipients of the reports of the VM ``own_name``.

    VMs named in ``unreachable_names`` are left out. With fewer than
    ``_MIN_TIERED_PEERS`` live peers, all of them are ``zone_peers``.
    """
    live_peers = {
        name: vm
        for name, vm in vms.items()
        if name not in unreachable_names and name != own_name
    }
    if not has_tiers(len(live_peers)):
        return ReportRecipients(zone_peers=list(live_peers.values()))
    aggregators = _aggregators_by_zone(own_name, own_zone, live_peers)
    own_aggregators = aggregators.pop(own_zone)
    remote_aggregators = {
        name for names in aggregators.values() for name in names
    }
    zone_vms = [vm for vm in live_peers.values() if vm.zone == own_zone]
    remote_vms = [vm for vm in live_peers.values() if vm.zone != own_zone]
    assigned_peers = [
        vm
        for vm in zone_vms
        if _assigned_aggregator(vm.name, own_aggregators) == own_name
    ]
    return ReportRecipients(
        zone_peers=[vm for vm in zone_vms if vm not in assigned_peers],
        assigned_peers=assigned_peers,
        peer_aggregators=[
            vm for vm in remote_vms if vm.name in remote_aggregators
        ],
        remote_peers=[
            vm for vm in remote_vms if vm.name not in remote_aggregators
        ],
        is_aggregator=own_name in own_aggregators,
    )


def _aggregators_by_zone(
    own_name: str,
    own_zone: str,
    live_peers: Mapping[str, VMRegistration],
) -> dict[str, list[str]]:
    """Return the names of the aggregators of each zone."""
    zones = {own_name: own_zone}
    zones.update({name: vm.zone for name, vm in live_peers.items()})
    ranked: dict[str, list[str]] = {}
    for name in rank_by_rendezvous_hash(_RENDEZVOUS_KEY, zones):
        ranked.setdefault(zones[name], []).append(name)
    return {
        zone: names[
            : max(_MIN_AGGREGATORS_PER_ZONE, len(names) // _VMS_PER_AGGREGATOR)
        ]
        for zone, names in ranked.items()
    }


def _assigned_aggregator(name: str, aggregators: Sequence[str]) -> str:
    """Return the aggregator that forwards remote totals to a VM.

    An aggregator is assigned to another one, never to itself.
    """
    candidates = [
        aggregator for aggregator in aggregators if aggregator != name
    ]
    return rank_by_rendezvous_hash(name, candidates)[0]
