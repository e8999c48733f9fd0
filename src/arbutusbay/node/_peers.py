"""Tell the other VMs by datagrams what this one has out, and listen."""

import asyncio
import contextlib
from collections.abc import Callable, Collection
from typing import Any

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
_REFRESH_S = 1.0
_FAR_REFRESH_S = 2.0
_SILENT_S = 5.0


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
        self.last_sent: dict[Callable[[], PeerState], tuple[bytes, float]] = {}
        self.is_speaker = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport to send with."""
        self.transport = transport

    def datagram_received(self, datagram: bytes, address: Any) -> None:
        """Take up what another VM told."""
        match peer_state_from_bytes(datagram):
            case Err(failure):
                _LOG.warning(
                    'datagram skipped: {}',
                    failure.detail,
                    fields={'sender': str(address)},
                )
            case Ok(state):
                self.intake.put(state, f'{address[0]}:{address[1]}')
                if self.is_speaker:
                    self.board.load_changed.set()

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered."""
        _LOG.debug('datagram not delivered', fields={'error': repr(error)})

    async def run(self) -> None:
        """Send whenever something changed, and once in a while."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REFRESH_S):
                    await self.board.load_changed.wait()
            self.board.load_changed.clear()
            self.send()
            await asyncio.sleep(_LEAST_INTERVAL_S)

    def send(self) -> None:
        """Tell the others what changed since they were told."""
        audience = self._audience()
        self._note_speaker(audience.is_speaker)
        reports = self.reports
        if audience.is_speaker:
            self._tell(audience.near, reports.for_near_of_speaker, _REFRESH_S)
            self._tell(audience.speakers, reports.for_speakers, _REFRESH_S)
        else:
            self._tell(audience.near, reports.for_near, _REFRESH_S)
        if audience.far:
            self._tell(audience.far, reports.for_far, _FAR_REFRESH_S)

    def _audience(self) -> Audience:
        moment_s = now_s()
        heard_s = self.board.heard_s
        silent = {
            name
            for name in self.board.catalog.vms
            if moment_s - heard_s.setdefault(name, moment_s) >= _SILENT_S
        }
        return audience_of(
            self.me.name,
            self.me.zone,
            self.board.catalog.vms,
            silent,
        )

    def _note_speaker(self, is_speaker: bool) -> None:
        if is_speaker == self.is_speaker:
            return
        self.is_speaker = is_speaker
        _LOG.info(
            'speaks for its zone' if is_speaker else 'speaks for itself',
            fields={'zone': self.me.zone},
        )

    def _tell(
        self,
        vms: Collection[VMRecord],
        report: Callable[[], PeerState],
        refresh_s: float,
    ) -> None:
        """Send ``report`` if it changed, or is due again."""
        moment_s = now_s()
        datagram = peer_state_to_bytes(report())
        held, sent_s = self.last_sent.get(report, (b'', 0.0))
        is_same = datagram == held and moment_s - sent_s < refresh_s
        if self.transport is None or is_same:
            return
        self.last_sent[report] = (datagram, moment_s)
        for vm in vms:
            peer = endpoint_from_text(vm.address)
            self.transport.sendto(datagram, (peer.host, peer.port))
