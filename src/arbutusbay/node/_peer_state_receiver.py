"""Apply the load reports received from other VMs."""

from arbutusbay.fleet import LeaseClaim, VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import WEIGHTS_LEASE_NAME
from arbutusbay.node._node_state import NodeState, ReceivedZoneLoad
from arbutusbay.node._peer_messages import PeerState, ZoneLoad
from arbutusbay.scheduling import EngineView, Occupancy, ReportedOccupancy

_LOG = get_logger('peers')
_REMOTE_SUSPICION_S = 0.4


class PeerStateReceiver:
    """Apply the states that other VMs report to the shared state."""

    def __init__(self, *, board: NodeState, me: VMRegistration) -> None:
        """Receive on behalf of this VM, ``me``."""
        self.board = board
        self.me = me

    def put(self, state: PeerState, address: str) -> None:
        """Apply one state, received from ``address`` (host and port)."""
        moment_s = now_s()
        self._record_sender(state, address, moment_s)
        self._apply_lease_claim(state, moment_s)
        zones = {
            zone: load
            for zone, load in state.zones.items()
            if zone != self.me.zone
        }
        for view in self.board.views.values():
            occupancy = state.occupancy.get(view.id)
            _store_occupancy(view, state.name, occupancy, moment_s)
            self._apply_engine_report(view, state, moment_s)
        for zone, load in zones.items():
            self._apply_zone_load(zone, load, moment_s)

    def _record_sender(
        self,
        state: PeerState,
        address: str,
        moment_s: float,
    ) -> None:
        self.board.heard_s[state.name] = moment_s
        self.board.peer_work_totals[state.name] = state.mix
        if state.name in self.board.catalog.vms:
            return
        self.board.catalog.vms[state.name] = VMRegistration(
            name=state.name,
            address=address,
            zone=state.zone,
            started_ms=0,
        )
        _LOG.info(
            'vm discovered',
            fields={'vm': state.name, 'zone': state.zone},
        )

    def _apply_lease_claim(self, state: PeerState, moment_s: float) -> None:
        if state.fence is None:
            return
        claim = LeaseClaim(name=WEIGHTS_LEASE_NAME, holder=state.name, round=0)
        self.board.catalog.update_claim(claim, state.fence, moment_s)

    def _apply_engine_report(
        self,
        view: EngineView,
        state: PeerState,
        moment_s: float,
    ) -> None:
        if view.id in state.silent:
            view.unresponsive_until_s = moment_s + _REMOTE_SUSPICION_S
        load = state.loads.get(view.id)
        if load is not None:
            view.load = load
            if state.zone != self.me.zone:
                self.board.remote_weights_loads[view.id] = view
        loaded = state.weights.get(view.id)
        if loaded is not None and loaded.incarnation == view.incarnation:
            view.put_weights(loaded.versions)

    def _apply_zone_load(
        self,
        zone: str,
        load: ZoneLoad,
        moment_s: float,
    ) -> None:
        self.board.reported_zone_loads[zone] = ReceivedZoneLoad(
            load=load, heard_s=moment_s
        )
        for view in self.board.views.values():
            occupancy = load.occupancy.get(view.id)
            _store_occupancy(view, zone, occupancy, moment_s)


def _store_occupancy(
    view: EngineView,
    sender: str,
    occupancy: Occupancy | None,
    moment_s: float,
) -> None:
    if occupancy is None:
        view.peers.pop(sender, None)
        return
    view.peers[sender] = ReportedOccupancy(
        occupancy=occupancy, heard_s=moment_s
    )
