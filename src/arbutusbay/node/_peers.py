"""Tell the other VMs by datagrams what this one has out, and listen."""

import asyncio
import contextlib
from collections.abc import Callable, Collection
from typing import Any

import attrs
from result import Err, Ok

from arbutusbay.fleet import VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._peer_intake import PeerIntake
from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.node._peer_reports import PeerReports
from arbutusbay.platform import endpoint_from_text
from arbutusbay.scheduling import Audience, audience_of

_LOG = get_logger('peers')
_LEAST_INTERVAL_S = 0.1
_SUMS_INTERVAL_S = 0.25
_AUDIENCE_S = 0.5
_REFRESH_S = 1.0
_FAR_REFRESH_S = 2.0
_SILENT_S = 5.0


@attrs.define(kw_only=True, eq=False)
class Telling:
    """Hold what one group of VMs was told last, and when.

    It is told anew when ``report`` changed, at the most every ``least_s``
    seconds, and whenever ``refresh_s`` have passed.
    """

    report: Callable[[PeerState], PeerState]
    least_s: float = _LEAST_INTERVAL_S
    refresh_s: float = _REFRESH_S
    told: bytes = b''
    sent_s: float = float('-inf')

    def next_datagram(self, own: PeerState, moment_s: float) -> bytes | None:
        """Return what to send of ``own`` now, None if nothing is due."""
        since_s = moment_s - self.sent_s
        if since_s < self.least_s:
            return None
        state = self.report(own)
        told = peer_state_to_bytes(state, 0)
        if told == self.told and since_s < self.refresh_s:
            return None
        self.told = told
        self.sent_s = moment_s
        return peer_state_to_bytes(state, moment_s)


class PeerChannel(asyncio.DatagramProtocol):
    """Exchange occupancy and weights with the other VMs.

    Each datagram holds the whole state of its sender, so that a lost one
    is made good by the next.
    """

    def __init__(self, *, board: NodeBoard, me: VMRecord) -> None:
        """Speak for the VM ``me``."""
        self.board = board
        self.me = me
        self.reports = PeerReports(board=board, me=me)
        self.intake = PeerIntake(board=board, me=me)
        self.transport: asyncio.DatagramTransport | None = None
        self.audience = Audience(near=())
        self.audience_until_s = 0.0
        self.near = Telling(report=self.reports.for_near)
        self.served = Telling(
            report=self.reports.for_served,
            least_s=_SUMS_INTERVAL_S,
        )
        self.speakers = Telling(
            report=self._report_for_speakers,
            least_s=_SUMS_INTERVAL_S,
        )
        self.far = Telling(
            report=self.reports.for_far,
            refresh_s=_FAR_REFRESH_S,
        )

    def connection_made(self, transport: Any) -> None:
        """Keep the transport to send with."""
        self.transport = transport

    def datagram_received(self, datagram: bytes, address: Any) -> None:
        """Take up what another VM told."""
        match peer_state_from_bytes(datagram, now_s()):
            case Err(failure):
                _LOG.warning(
                    'datagram skipped: {}',
                    failure.detail,
                    fields={'sender': str(address)},
                )
            case Ok(state):
                self.intake.put(state, f'{address[0]}:{address[1]}')
                if self.audience.is_speaker:
                    self.board.notify_load()

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered."""
        _LOG.debug('datagram not delivered', fields={'error': repr(error)})

    async def run(self) -> None:
        """Send whenever something changed, and once in a while."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._wait_s()):
                    await self.board.load_changed.wait()
            self.board.load_changed.clear()
            self.send()
            await asyncio.sleep(_LEAST_INTERVAL_S)

    def send(self) -> None:
        """Tell the others what changed since they were told."""
        self._choose_audience()
        audience = self.audience
        own = self.reports.own_state()
        for telling, vms in (
            (self.near, audience.near),
            (self.served, audience.served),
            (self.speakers, audience.speakers),
            (self.far, audience.far),
        ):
            if vms:
                self._tell(telling, vms, own)

    def _wait_s(self) -> float:
        """Return after how long to send without a change."""
        return _SUMS_INTERVAL_S if self.audience.speakers else _REFRESH_S

    def _choose_audience(self) -> None:
        moment_s = now_s()
        if moment_s < self.audience_until_s:
            return
        self.audience_until_s = moment_s + _AUDIENCE_S
        for name in self.board.catalog.vms:
            self.board.heard_s.setdefault(name, moment_s)
        was_speaker = self.audience.is_speaker
        self.audience = audience_of(
            self.me.name,
            self.me.zone,
            self.board.catalog.vms,
            self.board.silent_vms(_SILENT_S),
        )
        if was_speaker != self.audience.is_speaker:
            _LOG.info(
                'speaker of the zone changed',
                fields={
                    'zone': self.me.zone,
                    'is_speaker': self.audience.is_speaker,
                },
            )

    def _report_for_speakers(self, own: PeerState) -> PeerState:
        return self.reports.for_speakers(
            own,
            is_speaker=self.audience.is_speaker,
        )

    def _tell(
        self,
        telling: Telling,
        vms: Collection[VMRecord],
        own: PeerState,
    ) -> None:
        datagram = telling.next_datagram(own, now_s())
        if self.transport is None or datagram is None:
            return
        for vm in vms:
            peer = endpoint_from_text(vm.address)
            self.transport.sendto(datagram, (peer.host, peer.port))
