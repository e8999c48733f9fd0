"""Exchange heartbeats with a bounded number of peers over UDP.

Each heartbeat carries the sender and a bounded sample of other members, so
that the cost of one VM does not grow with the number of VMs.
"""

import asyncio
import random
import time

from result import Ok

from arbutusbay.control._shared_state import ControlBoard, MemberView
from arbutusbay.controller import Controller
from arbutusbay.logs import get_logger
from arbutusbay.wire import Heartbeat, Member, decode_message, encode_message

_LOG = get_logger('membership')
_FANOUT = 3
_MAX_SAMPLE = 16
_FORGET_AFTER_FACTOR = 5


class Membership(Controller):
    """Send heartbeats and fold those that arrive."""

    board: ControlBoard

    async def prepare(self) -> None:
        """Listen on the control port."""
        settings = self.board.settings
        self.random = random.Random(self.board.incarnation)
        endpoint = await self.loop.create_datagram_endpoint(
            lambda: HeartbeatReceiver(self.board),
            local_addr=(settings.node.host, settings.node.control_port),
        )
        self.transport = endpoint[0]

    async def step(self) -> None:
        """Send one round of heartbeats and wait for the next."""
        self.send_heartbeats()
        forget_silent_members(self.board)
        await asyncio.sleep(
            self.board.settings.membership.heartbeat_ms / 1000,
        )

    def send_heartbeats(self) -> None:
        """Send one heartbeat to a few members chosen at random."""
        hosts = heartbeat_targets(self.board)
        targets = self.random.sample(hosts, min(_FANOUT, len(hosts)))
        payload = encode_message(self._heartbeat())
        port = self.board.settings.node.control_port
        for host in targets:
            self.transport.sendto(payload, (host, port))

    def _heartbeat(self) -> Heartbeat:
        own, *others = self.board.live_members()
        sample = self.random.sample(others, min(_MAX_SAMPLE, len(others)))
        return Heartbeat(sender=self.board.node_id, members=[own, *sample])


class HeartbeatReceiver(asyncio.DatagramProtocol):
    """Fold received heartbeats into the shared state."""

    def __init__(self, board: ControlBoard) -> None:
        """Write to ``board``."""
        self.board = board

    def datagram_received(self, payload: bytes, address: object) -> None:
        """Take up a heartbeat; ignore what can't be read."""
        match decode_message(Heartbeat, payload):
            case Ok(heartbeat):
                for member in heartbeat.members:
                    merge_member(self.board, member)
            case _:
                _LOG.warning('ignored a bad heartbeat from {}', address)

    def error_received(self, error: Exception) -> None:
        """Ignore unreachable peers; their silence is noticed by time."""


def merge_member(board: ControlBoard, member: Member) -> None:
    """Take up ``member`` if it is newer than what is known of it."""
    if member.node == board.node_id:
        return
    known = board.members.get(member.node)
    if known is not None and not _is_newer(member, known.member):
        return
    board.members[member.node] = MemberView(
        member=member,
        advanced_at_s=time.monotonic(),
    )


def forget_silent_members(board: ControlBoard) -> None:
    """Drop members that were silent for several death timeouts."""
    dead_after_s = board.settings.membership.dead_after_ms / 1000
    oldest_s = time.monotonic() - _FORGET_AFTER_FACTOR * dead_after_s
    silent = [
        node
        for node, view in board.members.items()
        if view.advanced_at_s < oldest_s
    ]
    for node in silent:
        board.members.pop(node)


def heartbeat_targets(board: ControlBoard) -> list[str]:
    """Return hosts to send to: heard members and those listed."""
    heard = {view.member.host for view in board.members.values()}
    listed = set(board.listed_hosts.values())
    return sorted((heard | listed) - {board.settings.node.host})


def _is_newer(member: Member, known: Member) -> bool:
    return (member.incarnation, member.counter) > (
        known.incarnation,
        known.counter,
    )
