"""Send the datagrams of one VM over a link that drops what it can't queue."""

import random

import attrs

from arbutusbay.fleet import VMRegistration
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from tests.fleet_builders import build_vm_settings
from tests.fleet_fakes import FakeClock

STEP_S = 0.02
_STEPS_PER_SEND = 5


@attrs.define(kw_only=True, eq=False)
class SlowLink:
    """Deliver datagrams at a rate, and drop those that find the queue full.

    A share of ``lost`` of the others is lost on the way.
    """

    clock: FakeClock
    bytes_per_s: float
    queue_bytes: int
    lost: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(3))
    free_s: float = 0.0
    on_way: list = attrs.field(factory=list)
    dropped: int = 0

    def sendto(self, datagram, address) -> None:
        """Queue a datagram."""
        start_s = max(self.free_s, self.clock.moment_s)
        queued = (start_s - self.clock.moment_s) * self.bytes_per_s
        if queued + len(datagram) > self.queue_bytes:
            self.dropped += 1
            return
        self.free_s = start_s + len(datagram) / self.bytes_per_s
        if self.rng.random() >= self.lost:
            self.on_way.append((self.free_s, address, datagram))

    def take_arrived(self) -> list:
        """Remove and return what has arrived by now."""
        arrived = [
            sent for sent in self.on_way if sent[0] <= self.clock.moment_s
        ]
        self.on_way = [
            sent for sent in self.on_way if sent[0] > self.clock.moment_s
        ]
        return arrived


@attrs.define(kw_only=True, eq=False)
class LinkWorld:
    """Let one VM report to all others, which only listen."""

    clock: FakeClock
    link: SlowLink
    sender: PeerChannel
    listeners: dict[tuple[str, int], PeerChannel]

    def pass_time(self, seconds: float) -> None:
        """Send and deliver what is due in ``seconds``."""
        for step in range(round(seconds / STEP_S)):
            if step % _STEPS_PER_SEND == 0:
                self.sender.send()
            else:
                self.sender.send_due()
            self.clock.moment_s += STEP_S
            for _, address, datagram in self.link.take_arrived():
                self.listeners[address].datagram_received(
                    datagram, ('127.0.0.1', 1)
                )


def build_link_world(clock, link, vms, build_engines) -> LinkWorld:
    """Return the first of ``vms`` with the link, the others as listeners."""
    channels = [
        _build_channel(vm, vms, clock, build_engines) for vm in vms.values()
    ]
    sender, *listeners = channels
    sender.connection_made(link)
    return LinkWorld(
        clock=clock,
        link=link,
        sender=sender,
        listeners={_address(channel.own_vm): channel for channel in listeners},
    )


def _build_channel(vm, vms, clock, build_engines) -> PeerChannel:
    node_state = NodeState(settings=build_vm_settings())
    node_state.members.own_vm = vm
    node_state.members.apply_records(vms, clock.moment_s)
    node_state.engine_views.update(build_engines())
    return PeerChannel(node_state=node_state, own_vm=vm)


def _address(vm: VMRegistration) -> tuple[str, int]:
    host, port = vm.address.split(':')
    return host, int(port)
