"""Take up what other VMs tell of their attempts and of engines."""

from arbutusbay.fleet import LeaseClaim, VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import HeardZone, NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import WEIGHTS_LEASE
from arbutusbay.node._peer_messages import PeerState, ZoneLoad
from arbutusbay.scheduling import EngineView, Occupancy, PeerOccupancy

_LOG = get_logger('peers')
_SUSPICION_S = 0.4


class PeerIntake:
    """Fold the states of other VMs into the board."""

    def __init__(self, *, board: NodeBoard, me: VMRecord) -> None:
        """Fold for the VM ``me``."""
        self.board = board
        self.me = me

    def put(self, state: PeerState, address: str) -> None:
        """Take up one state, sent from ``address``."""
        moment_s = now_s()
        self._note_sender(state, address, moment_s)
        self._put_claim(state, moment_s)
        zones = {
            zone: load
            for zone, load in state.zones.items()
            if zone != self.me.zone
        }
        for view in self.board.views.values():
            told = state.occupancy.get(view.id)
            _put_occupancy(view, state.name, told, moment_s)
            self._put_engine(view, state, moment_s)
        for zone, load in zones.items():
            self._put_zone(zone, load, moment_s)

    def _note_sender(
        self,
        state: PeerState,
        address: str,
        moment_s: float,
    ) -> None:
        self.board.heard_s[state.name] = moment_s
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

    def _put_claim(self, state: PeerState, moment_s: float) -> None:
        if state.fence is None:
            return
        claim = LeaseClaim(name=WEIGHTS_LEASE, holder=state.name, round=0)
        self.board.catalog.put_claim(claim, state.fence, moment_s)

    def _put_engine(
        self,
        view: EngineView,
        state: PeerState,
        moment_s: float,
    ) -> None:
        if view.id in state.silent:
            view.silent_until_s = moment_s + _SUSPICION_S
        load = state.loads.get(view.id)
        if load is not None:
            view.load = load
            if state.zone != self.me.zone:
                self.board.loads_elsewhere[view.id] = view
        loaded = state.weights.get(view.id)
        if loaded is not None and loaded.incarnation == view.incarnation:
            view.put_weights(loaded.versions)

    def _put_zone(self, zone: str, load: ZoneLoad, moment_s: float) -> None:
        self.board.heard_zones[zone] = HeardZone(load=load, heard_s=moment_s)
        for view in self.board.views.values():
            told = load.occupancy.get(view.id)
            _put_occupancy(view, zone, told, moment_s)


def _put_occupancy(
    view: EngineView,
    sender: str,
    told: Occupancy | None,
    moment_s: float,
) -> None:
    if told is None:
        view.peers.pop(sender, None)
        return
    view.peers[sender] = PeerOccupancy(occupancy=told, heard_s=moment_s)
