"""Exchange membership heartbeats with random peers over UDP (gossip).

Each heartbeat goes to a limited number of peers and carries the sender and a
limited sample of other members, so the traffic of a VM does not grow with the
number of VMs.
"""

import asyncio
import random

from result import Ok

from arbutusbay.clock import now_s
from arbutusbay.control._shared_state import ControlState, TrackedMember
from arbutusbay.controller import Controller
from arbutusbay.logs import get_logger
from arbutusbay.wire import Heartbeat, Member, decode_message, encode_message

_LOG = get_logger('membership')
_HEARTBEAT_FANOUT = 3
_MAX_SAMPLED_MEMBERS = 16
_REMOVE_AFTER_TIMEOUTS = 5


class Membership(Controller):
    """Send heartbeats and merge the members of received ones."""

    shared_state: ControlState

    async def prepare(self) -> None:
        """Open a UDP socket on the control port."""
        settings = self.shared_state.settings
        self.random = random.Random(self.shared_state.incarnation)
        endpoint = await self.loop.create_datagram_endpoint(
            lambda: HeartbeatReceiver(self.shared_state),
            local_addr=(settings.node.host, settings.node.control_port),
        )
        self.transport = endpoint[0]

    async def step(self) -> None:
        """Send heartbeats, remove silent members and wait for the interval."""
        self.send_heartbeats()
        remove_silent_members(self.shared_state)
        await asyncio.sleep(
            self.shared_state.settings.membership.heartbeat_ms / 1000,
        )

    def send_heartbeats(self) -> None:
        """Send the same heartbeat to a few hosts chosen at random."""
        hosts = heartbeat_hosts(self.shared_state)
        targets = self.random.sample(hosts, min(_HEARTBEAT_FANOUT, len(hosts)))
        payload = encode_message(self._heartbeat())
        port = self.shared_state.settings.node.control_port
        for host in targets:
            self.transport.sendto(payload, (host, port))

    def _heartbeat(self) -> Heartbeat:
        own, *others = self.shared_state.live_members()
        sample = self.random.sample(
            others, min(_MAX_SAMPLED_MEMBERS, len(others))
        )
        return Heartbeat(
            sender=self.shared_state.node_id, members=[own, *sample]
        )


class HeartbeatReceiver(asyncio.DatagramProtocol):
    """Merge the members of received heartbeats into the shared state."""

    def __init__(self, shared_state: ControlState) -> None:
        """Create a receiver that merges members into ``shared_state``."""
        self.shared_state = shared_state

    def datagram_received(self, payload: bytes, address: object) -> None:
        """Merge the members of a heartbeat; ignore an undecodable datagram."""
        match decode_message(Heartbeat, payload):
            case Ok(heartbeat):
                for member in heartbeat.members:
                    merge_member(self.shared_state, member)
            case _:
                _LOG.warning('ignored undecodable heartbeat from {}', address)

    def error_received(self, error: Exception) -> None:
        """Ignore send errors; unreachable peers are detected by timeout."""


def merge_member(shared_state: ControlState, member: Member) -> None:
    """Store ``member`` if it is newer than the stored description.

    A description of this VM is ignored.
    """
    if member.node == shared_state.node_id:
        return
    known = shared_state.members.get(member.node)
    if known is not None and not _is_newer(member, known.member):
        return
    shared_state.members[member.node] = TrackedMember(
        member=member,
        updated_at_s=now_s(),
    )


def remove_silent_members(shared_state: ControlState) -> None:
    """Remove members silent for a multiple of ``dead_after_ms``."""
    dead_after_s = shared_state.settings.membership.dead_after_ms / 1000
    oldest_s = now_s() - _REMOVE_AFTER_TIMEOUTS * dead_after_s
    silent = [
        node
        for node, tracked in shared_state.members.items()
        if tracked.updated_at_s < oldest_s
    ]
    for node in silent:
        shared_state.members.pop(node)


def heartbeat_hosts(shared_state: ControlState) -> list[str]:
    """Return the hosts of known members and of VMs that the platform lists.

    The listed VMs let a daemon without any member join. This VM's host is
    left out.
    """
    known_hosts = {
        tracked.member.host for tracked in shared_state.members.values()
    }
    listed_hosts = set(shared_state.live_hosts_by_vm.values())
    return sorted(
        (known_hosts | listed_hosts) - {shared_state.settings.node.host}
    )


def _is_newer(member: Member, known: Member) -> bool:
    return (member.incarnation, member.counter) > (
        known.incarnation,
        known.counter,
    )
