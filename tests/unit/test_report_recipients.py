"""Check the exchange of load reports in a fleet of hundreds of VMs."""

from collections import Counter

import pytest

from arbutusbay.fleet import VMRegistration
from arbutusbay.node import (
    _node_state,
    _peer_channel,
    _peer_reports,
    _peer_state_receiver,
)
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from arbutusbay.node._peer_messages import (
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.scheduling import (
    Attempt,
    EngineView,
    PlannedWeightsLoad,
    choose_report_recipients,
)
from tests.fleet_builders import build_vm_settings
from tests.fleet_fakes import FakeClock

_ZONES = ('plateau', 'hann', 'rufisque')
_ENGINE = 'engine-0'
_LINK_BYTES_PER_S = 5_000_000 / 8
_ROUND_S = 0.1


@pytest.fixture
def clock(monkeypatch):
    """Return the clock that all channels of a network read."""
    fake = FakeClock()
    for module in (
        _node_state,
        _peer_channel,
        _peer_reports,
        _peer_state_receiver,
    ):
        monkeypatch.setattr(module, 'now_s', fake)
    return fake


def build_vms(count: int, *, zones: int = 3) -> dict[str, VMRegistration]:
    """Return VMs that are distributed evenly over ``zones`` zones."""
    names = [*_ZONES, *(f'zone-{number}' for number in range(zones))][:zones]
    return {
        f'vm-{number}': VMRegistration(
            name=f'vm-{number}',
            address=f'127.0.0.1:{number + 1}',
            zone=names[number % zones],
            started_ms=0,
        )
        for number in range(count)
    }


def build_views(count: int) -> dict[str, EngineView]:
    """Return engines that run the first weights version."""
    return {
        f'engine-{number}': EngineView(
            id=f'engine-{number}',
            service='language',
            address='',
            zone=_ZONES[0],
            slots=8,
            weights={'roll-advisor': 1},
            incarnation=1_787_000_000_000,
        )
        for number in range(count)
    }


def build_load(start_s: float) -> PlannedWeightsLoad:
    """Return a load of the second version planned for ``start_s``."""
    return PlannedWeightsLoad(
        model='roll-advisor',
        version=2,
        start_s=start_s,
        finish_s=start_s + 0.7,
    )


def recipients_by_vm(vms, unreachable_names=()):
    """Return the report recipients of each VM that is not silent."""
    return {
        name: choose_report_recipients(name, vm.zone, vms, unreachable_names)
        for name, vm in vms.items()
        if name not in unreachable_names
    }


class Network:
    """Simulate the network between the peer channels of one process."""

    def __init__(self, vms, clock):
        """Open a channel for each of ``vms``, which read ``clock``."""
        self.clock = clock
        self.sent = 0
        self.cut_off: set[str] = set()
        self.bytes_by_sender = Counter()
        self.channels = {vm.address: self.open(vm, vms) for vm in vms.values()}

    def open(self, vm, vms) -> PeerChannel:
        """Create the channel of ``vm``."""
        node_state = NodeState(settings=build_vm_settings())
        node_state.members.own_vm = vm
        node_state.members.apply_records(vms, self.clock.moment_s)
        node_state.engine_views.update(build_views(1))
        channel = PeerChannel(node_state=node_state, own_vm=vm)
        channel.connection_made(Endpoint(network=self, address=vm.address))
        return channel

    def send_all_reports(self) -> None:
        """Let each VM send once, with its rate limits expired.

        A round takes ``_ROUND_S`` seconds.
        """
        self.clock.moment_s += _ROUND_S
        for channel in self.channels.values():
            for schedule in (
                channel.zone_peer_schedule,
                channel.assigned_peer_schedule,
                channel.aggregator_schedule,
            ):
                schedule.last_sent_s -= 0.5
            channel.send()


class Endpoint:
    """Replace the datagram transport of one channel."""

    def __init__(self, *, network, address):
        """Send from ``address``."""
        self.network = network
        self.sender = address.split(':')

    def sendto(self, datagram, address) -> None:
        """Count the datagram and deliver it synchronously."""
        self.network.sent += 1
        self.network.bytes_by_sender[tuple(self.sender)] += len(datagram)
        target = f'{address[0]}:{address[1]}'
        if self.network.cut_off & {target, ':'.join(self.sender)}:
            return
        receiver = self.network.channels[target]
        receiver.datagram_received(datagram, self.sender)


def test_small_fleet_uses_a_full_mesh():
    for name, audience in recipients_by_vm(build_vms(20)).items():
        assert name not in {vm.name for vm in audience.zone_peers}
        assert len(audience.zone_peers) == 19
        assert not audience.peer_aggregators
        assert not audience.remote_peers


@pytest.mark.parametrize('unreachable_names', [(), ('vm-1', 'vm-2', 'vm-3')])
def test_aggregators_cover_each_vm_once_and_know_each_other(unreachable_names):
    vms = build_vms(120)
    recipients = recipients_by_vm(vms, unreachable_names)
    aggregators = {
        name for name, audience in recipients.items() if audience.is_aggregator
    }
    assert 2 * len(_ZONES) <= len(aggregators) <= 4 * len(_ZONES)
    served = [
        vm.name
        for audience in recipients.values()
        for vm in audience.assigned_peers
    ]
    assert sorted(served) == sorted(recipients)
    for name, audience in recipients.items():
        expected = {
            other for other in aggregators if vms[other].zone != vms[name].zone
        }
        assert {vm.name for vm in audience.peer_aggregators} == expected
        all_recipients = [
            *audience.zone_peers,
            *audience.assigned_peers,
            *audience.peer_aggregators,
            *audience.remote_peers,
        ]
        assert len(all_recipients) == len(recipients) - 1


def test_remote_load_is_counted_once_and_removed_again(clock):
    network = Network(build_vms(60), clock)
    network.send_all_reports()
    sender = network.channels['127.0.0.1:1']
    attempt = Attempt(sent_s=0, uncached_tokens=500, kv_tokens=700)
    sender.node_state.engine_views[_ENGINE].occupancy.open_attempt(attempt)
    for _ in range(3):
        network.send_all_reports()
    for channel in network.channels.values():
        assert _occupancy(channel).attempts == 1
        assert _occupancy(channel).uncached_tokens == 500
    sender.node_state.engine_views[_ENGINE].occupancy.close_attempt(attempt)
    for _ in range(3):
        network.send_all_reports()
    assert not any(
        _occupancy(channel).attempts for channel in network.channels.values()
    )


def test_messages_per_vm_are_bounded_by_the_zone_size(clock):
    network = Network(build_vms(150), clock)
    network.send_all_reports()
    for channel in network.channels.values():
        channel.node_state.engine_views[_ENGINE].occupancy.open_attempt(
            Attempt(sent_s=0)
        )
    network.send_all_reports()
    network.sent = 0
    for channel in network.channels.values():
        channel.node_state.engine_views[_ENGINE].occupancy.open_attempt(
            Attempt(sent_s=0)
        )
    network.send_all_reports()
    messages_per_vm = network.sent / 150
    assert messages_per_vm < 60


def test_planned_weights_loads_reach_every_vm(clock):
    network = Network(build_vms(60), clock)
    network.send_all_reports()
    leader = network.channels['127.0.0.1:1']
    moment_s = clock.moment_s
    leader.report_builder.announce_load(
        leader.node_state.engine_views[_ENGINE],
        build_load(moment_s + 5),
    )
    for _ in range(3):
        network.send_all_reports()
    for channel in network.channels.values():
        assert channel.node_state.engine_views[_ENGINE].is_weights_load_planned(
            moment_s
        )


def test_zone_totals_survive_serialization(clock):
    network = Network(build_vms(60), clock)
    network.send_all_reports()
    aggregator = next(
        channel
        for channel in network.channels.values()
        if channel.recipients.is_aggregator
    )
    aggregator.node_state.engine_views[_ENGINE].occupancy.open_attempt(
        Attempt(sent_s=0, uncached_tokens=9),
    )
    report = aggregator.report_builder.aggregator_report(
        aggregator.report_builder.build_own_state(),
        is_aggregator=True,
    )
    decoded = peer_state_from_bytes(peer_state_to_bytes(report, 5), 9).ok_value
    assert (
        decoded.zones[aggregator.own_vm.zone].occupancy[_ENGINE].uncached_tokens
        == 9
    )


def _occupancy(channel: PeerChannel):
    moment_s = _peer_channel.now_s()
    return channel.node_state.engine_views[_ENGINE].occupancy.total(moment_s)


def test_rollout_reports_fit_the_bandwidth_of_the_leader(clock):
    network = Network(build_vms(136), clock)
    for channel in network.channels.values():
        channel.node_state.engine_views.update(build_views(30))
    network.send_all_reports()
    leader = network.channels['127.0.0.1:1']
    network.bytes_by_sender.clear()
    moment_s = clock.moment_s
    for number, view in enumerate(leader.node_state.engine_views.values()):
        start_s = moment_s + number / 10
        leader.report_builder.announce_load(view, build_load(start_s))
        network.send_all_reports()
    assert max(network.bytes_by_sender.values()) < 31 * 0.1 * _LINK_BYTES_PER_S


@pytest.mark.parametrize(('count', 'limit_per_s'), [(150, 260), (400, 260)])
def test_messages_without_load_do_not_grow_with_the_fleet(
    clock, count, limit_per_s
):
    network = Network(build_vms(count, zones=count // 40), clock)
    channel = network.channels['127.0.0.1:1']
    channel.send()
    network.bytes_by_sender.clear()
    network.sent = 0
    for _ in range(100):
        clock.moment_s += _ROUND_S
        channel.send()
    assert network.sent / (100 * _ROUND_S) < limit_per_s


def test_suspicion_that_another_vm_told_is_not_repeated_to_all(clock):
    network = Network(build_vms(60), clock)
    network.send_all_reports()
    channel = network.channels['127.0.0.1:1']
    view = channel.node_state.engine_views[_ENGINE]
    view.locally_suspected_until_s = clock.moment_s + 1
    own = channel.report_builder.build_own_state()
    report = channel.report_builder.heartbeat_report(own)
    assert report.suspected_engines == (_ENGINE,)
    view.remotely_suspected_until_s = clock.moment_s + 1
    report = channel.report_builder.heartbeat_report(own)
    assert not report.suspected_engines
    assert own.suspected_engines == (_ENGINE,)


# A VM chose among all VMs of the fleet twice a second though none changed.
def test_recipients_are_chosen_anew_only_when_vms_change(clock, monkeypatch):
    network = Network(build_vms(195, zones=5), clock)
    channel = network.channels['127.0.0.1:1']
    calls = []
    monkeypatch.setattr(
        _peer_channel,
        'choose_report_recipients',
        lambda *inputs: (
            calls.append(inputs) or choose_report_recipients(*inputs)
        ),
    )
    members = channel.node_state.members
    for _ in range(100):
        clock.moment_s += _ROUND_S
        for name in members.vms():
            members.record_report(name, clock.moment_s)
        channel.send()
    assert len(calls) == 1
    members.members['vm-7'].last_heard_s = clock.moment_s - 30
    clock.moment_s += 1
    channel.send()
    assert len(calls) == 2
    members.members.pop('vm-8')
    clock.moment_s += 1
    channel.send()
    assert len(calls) == 3
    recipients = channel.recipients
    groups = (
        recipients.zone_peers,
        recipients.assigned_peers,
        recipients.peer_aggregators,
        recipients.remote_peers,
    )
    names = {vm.name for group in groups for vm in group}
    assert names == members.vms().keys() - {'vm-0', 'vm-7'}


# Guards against VMs that were cut off from each other for so long that each
# takes the other for silent, or for gone, and they never report again.
@pytest.mark.parametrize('cut_s', [5.5, 12, 90])
def test_vms_that_were_cut_off_hear_each_other_again(clock, cut_s):
    vms = build_vms(8)
    network = Network(vms, clock)
    network.send_all_reports()
    network.cut_off = {vms['vm-3'].address}
    for _ in range(int(cut_s / _ROUND_S)):
        network.send_all_reports()
    network.cut_off = set()
    for _ in range(int(4 / _ROUND_S)):
        network.send_all_reports()
    for channel in network.channels.values():
        assert channel.node_state.members.live(clock.moment_s) == vms.keys()
