"""Exchange load reports with the other VMs over UDP."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._load_announcements import (
    AnnouncementReceiver,
    AnnouncementSchedule,
)
from arbutusbay.node._load_messages import DATAGRAM_TYPE as LOADS_TYPE
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.node._peer_reports import PeerReportBuilder
from arbutusbay.node._peer_state_receiver import PeerStateReceiver
from arbutusbay.pacing import Lane
from arbutusbay.platform import parse_endpoint
from arbutusbay.scheduling import (
    MIN_REPORT_INTERVAL_S,
    ReportRecipients,
    choose_report_recipients,
    remote_heartbeat_interval_s,
    zone_report_interval_s,
)

_LOG = get_logger('peers')
_ZONE_LOAD_SEND_INTERVAL_S = 0.25
_RECIPIENTS_TTL_S = 0.5
_REFRESH_INTERVAL_S = 1.0
_MIN_HEARTBEAT_SEND_INTERVAL_S = 0.3
_PROBE_INTERVAL_S = 0.25
_PACING_INTERVAL_S = 0.02
_BACKLOG_LOG_INTERVAL_S = 5.0


@attrs.define(kw_only=True, eq=False)
class ReportSchedule:
    """Decide when a group of VMs is sent the next report.

    ``build_report`` builds the report for the group from the full state of this
    VM. A changed report is sent at most every ``min_interval_s`` seconds,
    an unchanged one every ``refresh_interval_s`` seconds.
    """

    build_report: Callable[[PeerState], PeerState]
    min_interval_s: float = MIN_REPORT_INTERVAL_S
    refresh_interval_s: float = _REFRESH_INTERVAL_S
    last_payload: bytes = b''
    last_sent_s: float = float('-inf')

    def next_datagram(self, own: PeerState, moment_s: float) -> bytes | None:
        """Return the datagram due at ``moment_s``, None if nothing is due.

        To detect a change, reports are compared as encoded for moment 0:
        times are encoded relative to the moment of sending and would
        otherwise differ in each datagram.
        """
        elapsed_s = moment_s - self.last_sent_s
        if elapsed_s < self.min_interval_s:
            return None
        state = self.build_report(own)
        payload = peer_state_to_bytes(state, 0)
        if payload == self.last_payload and elapsed_s < self.refresh_interval_s:
            return None
        self.last_payload = payload
        self.last_sent_s = moment_s
        return peer_state_to_bytes(state, moment_s)


class PeerChannel(asyncio.DatagramProtocol):
    """Exchange engine occupancy and weights with the other VMs.

    Each datagram holds all the state that its recipients need, rather than
    changes to it, so the next one replaces a lost one. Each group of VMs in
    ``ReportRecipients`` has a schedule and a report of its own. The pacer of
    the state holds what is sent later, so that the link isn't full; ``rounds``
    counts how often reports were built, each time for another VM first.
    """

    def __init__(
        self, *, node_state: NodeState, own_vm: VMRegistration
    ) -> None:
        """Report the state of this VM, ``own_vm``."""
        self.node_state = node_state
        self.own_vm = own_vm
        self.report_builder = PeerReportBuilder(
            node_state=node_state, own_vm=own_vm
        )
        self.state_receiver = PeerStateReceiver(
            node_state=node_state, own_vm=own_vm
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.rounds = 0
        self.backlog_logged_s = float('-inf')
        self.announcement_schedule = AnnouncementSchedule()
        self.announcement_receiver = AnnouncementReceiver(
            state_receiver=self.state_receiver
        )
        self.receivers: dict[bytes, Callable[[bytes, Any], None]] = {
            LOADS_TYPE: self.announcement_receiver.receive
        }
        self.recipients = ReportRecipients(zone_peers=())
        self.recipients_expire_s = 0.0
        self.recipient_inputs: tuple[object, ...] = ()
        self.probed_names: set[str] = set()
        self.last_probe_s = float('-inf')
        self.zone_peer_schedule = ReportSchedule(
            build_report=self.report_builder.full_report
        )
        self.assigned_peer_schedule = ReportSchedule(
            build_report=self.report_builder.relayed_report,
            min_interval_s=_ZONE_LOAD_SEND_INTERVAL_S,
        )
        self.aggregator_schedule = ReportSchedule(
            build_report=self._report_for_aggregators,
            min_interval_s=_ZONE_LOAD_SEND_INTERVAL_S,
        )
        self.remote_peer_schedule = ReportSchedule(
            build_report=self.report_builder.heartbeat_report,
            min_interval_s=_MIN_HEARTBEAT_SEND_INTERVAL_S,
        )

    def connection_made(self, transport: Any) -> None:
        """Store the transport that reports are sent through."""
        self.transport = transport

    def add_receiver(
        self, datagram_type: bytes, receive: Callable[[bytes, Any], None]
    ) -> None:
        """Pass datagrams that start with the byte ``datagram_type`` on."""
        self.receivers[datagram_type] = receive

    def send_datagram(self, address: tuple[str, int], datagram: bytes) -> None:
        """Send a datagram to the address of a VM."""
        if self.transport is not None:
            self.transport.sendto(datagram, address)

    def datagram_received(self, datagram: bytes, address: Any) -> None:
        """Decode and apply a report; log and drop a malformed one.

        Datagrams of another type are passed on.
        """
        receive = self.receivers.get(datagram[:1])
        if receive is not None:
            receive(datagram, address)
            return
        match peer_state_from_bytes(datagram, now_s()):
            case Err(failure):
                _LOG.warning(
                    'malformed datagram dropped: {}',
                    failure.detail,
                    fields={'sender': str(address)},
                )
            case Ok(state):
                self.state_receiver.apply_report(
                    state, f'{address[0]}:{address[1]}'
                )
                if self.recipients.is_aggregator:
                    self.node_state.notify_report_changed()

    def error_received(self, error: Exception) -> None:
        """Log that a datagram could not be delivered."""
        _LOG.debug('datagram not delivered', fields={'error': repr(error)})

    async def run(self) -> None:
        """Send reports after changes and at regular intervals."""
        while True:
            if not self.node_state.pacer.pending_count:
                await self._wait_for_change()
            self.node_state.report_changed.clear()
            self.send()
            await self._send_paced(MIN_REPORT_INTERVAL_S)

    def send(self) -> None:
        """Send the reports that are due to each group of VMs."""
        self._update_recipients()
        recipients = self.recipients
        own = self.report_builder.build_own_state()
        self.rounds += 1
        if recipients.peer_aggregators:
            self._announce_loads(own)
        for schedule, vms in (
            (self.zone_peer_schedule, recipients.zone_peers),
            (self.assigned_peer_schedule, recipients.assigned_peers),
            (self.aggregator_schedule, recipients.peer_aggregators),
            (self.remote_peer_schedule, recipients.remote_peers),
        ):
            if vms:
                self._send_if_due(schedule, vms, own)
        self._probe_silent_vm(own)
        self.send_due()

    def send_due(self) -> None:
        """Send the datagrams that the link is expected to take by now."""
        for due in self.node_state.pacer.take_due(now_s()):
            self.send_datagram(due.address, due.payload)

    async def _send_paced(self, for_s: float) -> None:
        """Send what is due for ``for_s`` seconds."""
        end_s = now_s() + for_s
        wait_s = self.node_state.pacer.wait_s(now_s())
        while wait_s is not None and now_s() < end_s:
            await asyncio.sleep(max(_PACING_INTERVAL_S, wait_s))
            self.send_due()
            wait_s = self.node_state.pacer.wait_s(now_s())
        await asyncio.sleep(max(0, end_s - now_s()))

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._max_wait_for_change_s()):
                await self.node_state.report_changed.wait()

    def _announce_loads(self, own: PeerState) -> None:
        """Tell all VMs directly of the loads that this one runs."""
        datagram = self.announcement_schedule.next_datagram(own, now_s())
        if datagram is not None:
            self._put(Lane.ANNOUNCEMENTS, self.recipients.all(), datagram)

    def _max_wait_for_change_s(self) -> float:
        """Return how long to wait for a change before sending anyway."""
        return (
            _ZONE_LOAD_SEND_INTERVAL_S
            if self.recipients.peer_aggregators
            else _REFRESH_INTERVAL_S
        )

    def _update_recipients(self) -> None:
        moment_s = now_s()
        if moment_s < self.recipients_expire_s:
            return
        self.recipients_expire_s = moment_s + _RECIPIENTS_TTL_S
        members = self.node_state.members
        self.state_receiver.drop_vms(members.check_silence(moment_s))
        inputs = (members.vms(), members.silent(moment_s))
        if inputs == self.recipient_inputs:
            return
        self.recipient_inputs = inputs
        was_aggregator = self.recipients.is_aggregator
        self.recipients = choose_report_recipients(
            self.own_vm.name, self.own_vm.zone, *inputs
        )
        self.remote_peer_schedule.refresh_interval_s = (
            remote_heartbeat_interval_s(len(self.recipients.remote_peers))
        )
        self.zone_peer_schedule.min_interval_s = zone_report_interval_s(
            len(self.recipients.zone_peers)
        )
        if was_aggregator != self.recipients.is_aggregator:
            _LOG.info(
                'speaker of the zone changed',
                fields={
                    'zone': self.own_vm.zone,
                    'is_speaker': self.recipients.is_aggregator,
                },
            )

    def _report_for_aggregators(self, own: PeerState) -> PeerState:
        return self.report_builder.aggregator_report(
            own,
            is_aggregator=self.recipients.is_aggregator,
        )

    def _probe_silent_vm(self, own: PeerState) -> None:
        """Report to one of the silent VMs, each in turn, at a low rate.

        Two VMs that were cut off from each other would otherwise never report
        to each other again.
        """
        moment_s = now_s()
        if moment_s - self.last_probe_s < _PROBE_INTERVAL_S:
            return
        self.last_probe_s = moment_s
        silent = self.node_state.members.unheard_vms(moment_s)
        if not silent:
            return
        due = silent.keys() - self.probed_names
        if not due:
            self.probed_names.clear()
            due = silent.keys()
        name = min(due)
        self.probed_names.add(name)
        state = self.report_builder.heartbeat_report(own)
        self.send_datagram(
            _address_of(silent[name]), peer_state_to_bytes(state, moment_s)
        )

    def _send_if_due(
        self,
        schedule: ReportSchedule,
        vms: Sequence[VMRegistration],
        own: PeerState,
    ) -> None:
        datagram = schedule.next_datagram(own, now_s())
        if datagram is not None:
            self._put(Lane.REPORTS, vms, datagram)

    def _put(
        self, lane: Lane, vms: Sequence[VMRegistration], datagram: bytes
    ) -> None:
        """Queue a datagram for ``vms``, beginning with another one each time.

        What a full link drops would otherwise always be for the same ones.
        """
        pacer = self.node_state.pacer
        replaced_before = pacer.replaced_count[lane]
        first = self.rounds % len(vms)
        for vm in (*vms[first:], *vms[:first]):
            pacer.put(lane, _address_of(vm), datagram)
        if pacer.replaced_count[lane] != replaced_before:
            self._log_backlog(lane)

    def _log_backlog(self, lane: Lane) -> None:
        moment_s = now_s()
        if moment_s - self.backlog_logged_s < _BACKLOG_LOG_INTERVAL_S:
            return
        self.backlog_logged_s = moment_s
        pacer = self.node_state.pacer
        _LOG.info(
            'reports wait for the link',
            fields={
                'lane': lane.value,
                'waiting': pacer.pending_count,
                'replaced': pacer.replaced_count[lane],
                'sent_bytes': pacer.sent_bytes[lane],
            },
        )


def _address_of(vm: VMRegistration) -> tuple[str, int]:
    peer = parse_endpoint(vm.address)
    return peer.host, peer.port
