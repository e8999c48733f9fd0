"""Tell the other VMs by datagrams what this one has out, and listen."""

import asyncio
from typing import Any

from result import Err, Ok

from arbutusbay.fleet import LeaseClaim, VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import WEIGHTS_LEASE
from arbutusbay.node._peer_messages import (
    LoadedWeights,
    LoadTimes,
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.platform import endpoint_from_text
from arbutusbay.scheduling import EngineView, PeerOccupancy

_LOG = get_logger('peers')
_LEAST_INTERVAL_S = 0.1
_REFRESH_S = 1.0
_SUSPICION_S = 0.4
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
        self.transport: asyncio.DatagramTransport | None = None
        self.last_sent = b''
        self.loads: dict[str, EngineView] = {}

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
                self._note_sender(state, f'{address[0]}:{address[1]}')
                self._take_up(state)

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered."""
        _LOG.debug('datagram not delivered', fields={'error': repr(error)})

    async def run(self) -> None:
        """Send whenever something changed, and once in a while."""
        while True:
            try:
                async with asyncio.timeout(_REFRESH_S):
                    await self.board.load_changed.wait()
            except TimeoutError:
                self.last_sent = b''
            self.board.load_changed.clear()
            self.send()
            await asyncio.sleep(_LEAST_INTERVAL_S)

    def announce_load(
        self,
        view: EngineView,
        from_s: float,
        until_s: float,
    ) -> None:
        """Announce when an engine changes weights."""
        view.load_from_s = from_s
        view.load_until_s = until_s
        self.loads[view.id] = view
        self.board.load_changed.set()

    def send(self) -> None:
        """Send this VM's state to the others, if it changed."""
        datagram = peer_state_to_bytes(self._state())
        if self.transport is None or datagram == self.last_sent:
            return
        self.last_sent = datagram
        for vm in self.board.catalog.vms.values():
            if self._is_worth_telling(vm):
                peer = endpoint_from_text(vm.address)
                self.transport.sendto(datagram, (peer.host, peer.port))

    def _is_worth_telling(self, vm: VMRecord) -> bool:
        if vm.name == self.me.name:
            return False
        heard_s = self.board.heard_s.setdefault(vm.name, now_s())
        return now_s() - heard_s < _SILENT_S

    def _state(self) -> PeerState:
        moment_s = now_s()
        views = self.board.views.values()
        out = {view.id: view.own_occupancy() for view in views}
        loads = self._load_times(moment_s)
        return PeerState(
            name=self.me.name,
            zone=self.me.zone,
            occupancy={
                name: held for name, held in out.items() if held.attempts
            },
            mix=self.board.mix.sums(moment_s),
            silent=tuple(
                view.id for view in views if moment_s < view.suspected_until_s
            ),
            loads=loads,
            fence=self._own_fence(),
            weights={
                view.id: LoadedWeights(
                    incarnation=view.incarnation,
                    versions=view.weights,
                )
                for view in views
                if view.weights
                and (loads or moment_s - view.learned_s < _REFRESH_S)
            },
        )

    def _own_fence(self) -> int | None:
        held = self.board.catalog.leases.get(WEIGHTS_LEASE)
        if held is None or held.claim.holder != self.me.name:
            return None
        return held.offset

    def _load_times(self, moment_s: float) -> dict[str, LoadTimes]:
        recent_s = moment_s - _REFRESH_S
        self.loads = {
            view_id: view
            for view_id, view in self.loads.items()
            if view.load_until_s > recent_s
        }
        return {
            view_id: LoadTimes(
                from_s=view.load_from_s - moment_s,
                until_s=view.load_until_s - moment_s,
            )
            for view_id, view in self.loads.items()
        }

    def _note_sender(self, state: PeerState, address: str) -> None:
        self.board.heard_s[state.name] = now_s()
        self.board.peer_mixes[state.name] = state.mix
        if state.name in self.board.catalog.vms:
            return
        self.board.catalog.vms[state.name] = VMRecord(
            name=state.name,
            address=address,
            zone=state.zone,
            started_ms=0,
        )
        _LOG.info('vm heard of', fields={'vm': state.name, 'zone': state.zone})

    def _take_up(self, state: PeerState) -> None:
        moment_s = now_s()
        if state.fence is not None:
            claim = LeaseClaim(
                name=WEIGHTS_LEASE,
                holder=state.name,
                round=0,
            )
            self.board.catalog.put_claim(claim, state.fence, moment_s)
        for view in self.board.views.values():
            self._put_occupancy(view, state, moment_s)
            if view.id in state.silent:
                view.silent_until_s = moment_s + _SUSPICION_S
            times = state.loads.get(view.id)
            if times is not None:
                view.load_from_s = moment_s + times.from_s
                view.load_until_s = moment_s + times.until_s
            loaded = state.weights.get(view.id)
            if loaded is not None and loaded.incarnation == view.incarnation:
                view.put_weights(loaded.versions)

    def _put_occupancy(
        self,
        view: EngineView,
        state: PeerState,
        moment_s: float,
    ) -> None:
        told = state.occupancy.get(view.id)
        if told is None:
            view.peers.pop(state.name, None)
            return
        view.peers[state.name] = PeerOccupancy(
            occupancy=told,
            heard_s=moment_s,
        )
