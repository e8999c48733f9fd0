"""Check that all VMs of a fleet in two zones learn what was saved."""

import attrs

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.node._peer_reports import PeerReportBuilder
from arbutusbay.node._peer_state_receiver import PeerStateReceiver
from arbutusbay.prefixes import SavedReport
from tests.fleet_builders import build_vm_settings

KEY = '1/shared/part'
STORE = '10.0.0.1:1'


@attrs.frozen(kw_only=True)
class VM:
    """Hold the parts of one VM that build and apply reports."""

    node_state: NodeState
    builder: PeerReportBuilder
    receiver: PeerStateReceiver

    def own_state(self) -> PeerState:
        return self.builder.build_own_state()

    def receive(self, state: PeerState) -> None:
        """Apply a report as it comes over the network."""
        datagram = peer_state_to_bytes(state, now_s())
        arrived = peer_state_from_bytes(datagram, now_s()).ok_value
        self.receiver.apply_report(arrived, '127.0.0.1:1')

    def knows_save(self) -> bool:
        return self.node_state.saved_prefixes.is_saved(KEY, now_s())


def build_vm(name: str, zone: str) -> VM:
    """Return a VM that has heard of no other yet."""
    node_state = NodeState(settings=build_vm_settings())
    own_vm = VMRegistration(
        name=name, address='127.0.0.1:1', zone=zone, started_ms=0
    )
    return VM(
        node_state=node_state,
        builder=PeerReportBuilder(node_state=node_state, own_vm=own_vm),
        receiver=PeerStateReceiver(node_state=node_state, own_vm=own_vm),
    )


async def test_save_reaches_the_vms_of_another_zone():
    sender, aggregator = build_vm('a1', 'a'), build_vm('a2', 'a')
    remote, follower = build_vm('b1', 'b'), build_vm('b2', 'b')
    sender.node_state.saved_prefixes.record(KEY, now_s())
    aggregator.receive(sender.builder.full_report(sender.own_state()))
    remote.receive(
        aggregator.builder.aggregator_report(
            aggregator.own_state(), is_aggregator=True
        )
    )
    follower.receive(remote.builder.relayed_report(remote.own_state()))
    assert aggregator.knows_save()
    assert remote.knows_save()
    assert follower.knows_save()


async def test_save_of_another_zone_is_not_sent_back():
    remote = build_vm('b1', 'b')
    remote.node_state.saved_prefixes.merge(
        SavedReport(saved=(7,)), now_s(), is_own_zone=False
    )
    report = remote.builder.aggregator_report(
        remote.own_state(), is_aggregator=True
    )
    assert report.saved_prefixes == SavedReport()


async def test_every_vm_hears_of_a_dead_store():
    sender, receiver = build_vm('a1', 'a'), build_vm('b1', 'b')
    health = sender.node_state.store_health
    health.follow([STORE])
    for _ in range(2):
        health.record_check(STORE, has_answered=False)
    own = sender.own_state()
    reports = (
        sender.builder.full_report(own),
        sender.builder.heartbeat_report(own),
        sender.builder.relayed_report(own),
        sender.builder.aggregator_report(own, is_aggregator=False),
    )
    for report in reports:
        receiver.node_state.store_health.follow([])
        receiver.node_state.store_health.follow([STORE])
        receiver.receive(report)
        store = receiver.node_state.store_health.stores[STORE]
        assert set(store.reporters) == {'a1'}


async def test_heartbeats_have_no_saves():
    sender = build_vm('a1', 'a')
    sender.node_state.saved_prefixes.record(KEY, now_s())
    report = sender.builder.heartbeat_report(sender.own_state())
    assert report.saved_prefixes == SavedReport()
