"""Tell the other VMs by datagrams what this one has out, and listen."""

import asyncio
from typing import Any

import orjson

from arbutusbay.fleet import VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.platform import endpoint_from_text
from arbutusbay.scheduling import EngineView, Occupancy, PeerOccupancy, WorkSums

_LOG = get_logger('peers')
_LEAST_INTERVAL_S = 0.1
_REFRESH_S = 1.0
_MIX_UNIT = 1000
_SUSPICION_S = 0.4


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
        try:
            state = orjson.loads(datagram)
            self._note_sender(state, address)
            self._take_up(state)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            _LOG.warning(
                'datagram skipped',
                fields={'sender': str(address), 'error': repr(error)},
            )

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
        state = self._state()
        datagram = orjson.dumps(state)
        if self.transport is None or datagram == self.last_sent:
            return
        self.last_sent = datagram
        for vm in self.board.catalog.vms.values():
            if vm.name != self.me.name:
                peer = endpoint_from_text(vm.address)
                self.transport.sendto(datagram, (peer.host, peer.port))

    def _state(self) -> dict[str, Any]:
        out = {}
        for view in self.board.views.values():
            held = view.own_occupancy()
            if held.attempts:
                out[view.id] = [
                    held.attempts,
                    held.uncached_tokens,
                    held.resident_tokens,
                ]
        mix = self.board.mix.sums(now_s())
        state: dict[str, Any] = {
            'n': self.me.name,
            'z': self.me.zone,
            'o': out,
            'm': [int(mix.short / _MIX_UNIT), int(mix.long / _MIX_UNIT)],
        }
        moment_s = now_s()
        silent = [
            view.id
            for view in self.board.views.values()
            if moment_s < view.suspected_until_s
        ]
        if silent:
            state['s'] = silent
        loading = self._load_times_ms()
        if loading:
            state['l'] = loading
            state['w'] = {
                view.id: [view.incarnation, view.weights]
                for view in self.board.views.values()
                if view.weights
            }
        return state

    def _load_times_ms(self) -> dict[str, tuple[int, int]]:
        moment_s = now_s()
        recent_s = moment_s - _REFRESH_S
        self.loads = {
            view_id: view
            for view_id, view in self.loads.items()
            if view.load_until_s > recent_s
        }
        return {
            view_id: (
                int((view.load_from_s - moment_s) * 1000),
                int((view.load_until_s - moment_s) * 1000),
            )
            for view_id, view in self.loads.items()
        }

    def _note_sender(self, state: dict[str, Any], address: Any) -> None:
        name = str(state['n'])
        self.board.heard_s[name] = now_s()
        if name in self.board.catalog.vms:
            return
        self.board.catalog.vms[name] = VMRecord(
            name=name,
            address=f'{address[0]}:{address[1]}',
            zone=str(state['z']),
            started_ms=0,
        )
        _LOG.info('vm heard of', fields={'vm': name, 'zone': state['z']})

    def _take_up(self, state: dict[str, Any]) -> None:
        moment_s = now_s()
        sender = str(state['n'])
        out = state['o']
        short, long = state['m']
        self.board.peer_mixes[sender] = WorkSums(
            short=float(short) * _MIX_UNIT,
            long=float(long) * _MIX_UNIT,
        )
        for view in self.board.views.values():
            self._put_occupancy(view, sender, out.get(view.id), moment_s)
        for view_id in state.get('s', ()):
            view = self.board.views.get(view_id)
            if view is not None:
                view.silent_until_s = moment_s + _SUSPICION_S
        for view_id, (from_ms, until_ms) in state.get('l', {}).items():
            view = self.board.views.get(view_id)
            if view is not None:
                view.load_from_s = moment_s + int(from_ms) / 1000
                view.load_until_s = moment_s + int(until_ms) / 1000
        for view_id, (incarnation, weights) in state.get('w', {}).items():
            self._put_weights(view_id, incarnation, weights)

    def _put_occupancy(
        self,
        view: EngineView,
        sender: str,
        told: Any,
        moment_s: float,
    ) -> None:
        if told is None:
            view.peers.pop(sender, None)
            return
        attempts, uncached, resident = told
        view.peers[sender] = PeerOccupancy(
            occupancy=Occupancy(
                attempts=int(attempts),
                uncached_tokens=int(uncached),
                resident_tokens=int(resident),
            ),
            heard_s=moment_s,
        )

    def _put_weights(
        self,
        view_id: str,
        incarnation: int,
        weights: dict[str, int],
    ) -> None:
        view = self.board.views.get(view_id)
        if view is None or view.incarnation != incarnation:
            return
        for model, version in weights.items():
            if int(version) > view.weights.get(model, -1):
                view.weights[model] = int(version)
