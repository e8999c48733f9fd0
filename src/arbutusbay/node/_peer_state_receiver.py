"""Apply the load reports received from other VMs."""

from collections.abc import Collection, Iterable, Iterator, Mapping

from arbutusbay.clock import now_s
from arbutusbay.fleet import LeaseClaim, VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._lease import WEIGHTS_LEASE_NAME
from arbutusbay.node._load_messages import LoadAnnouncement
from arbutusbay.node._node_state import NodeState, ReceivedZoneLoad
from arbutusbay.node._peer_messages import (
    LoadedWeights,
    PeerState,
    ZoneLoad,
)
from arbutusbay.scheduling import (
    EngineView,
    Occupancy,
    PlannedWeightsLoad,
)

_LOG = get_logger('peers')
_REMOTE_SUSPICION_S = 0.4
_ANNOUNCEMENT_LIFETIME_S = 1.0


class PeerStateReceiver:
    """Apply the states that other VMs report to the shared state.

    ``occupied_by_sender`` holds the engines that the last report of each VM
    or zone named as occupied, ``announced_s`` when the VM that loads weights
    into an engine told so itself, which counts more than what others pass on.
    """

    def __init__(
        self, *, node_state: NodeState, own_vm: VMRegistration
    ) -> None:
        """Receive on behalf of this VM, ``own_vm``."""
        self.node_state = node_state
        self.own_vm = own_vm
        self.occupied_by_sender: dict[str, frozenset[str]] = {}
        self.announced_s: dict[str, float] = {}

    def apply_report(self, state: PeerState, address: str) -> None:
        """Apply one state, received from ``address`` (host and port)."""
        moment_s = now_s()
        self._record_sender(state, address, moment_s)
        self._apply_lease_claim(state, moment_s)
        other_zones = {
            zone: load
            for zone, load in state.zones.items()
            if zone != self.own_vm.zone
        }
        self._store_occupancies(state.name, state.occupancy, moment_s)
        self._apply_engine_reports(state, moment_s)
        for zone, load in other_zones.items():
            self._apply_zone_load(zone, load, moment_s)
        self.node_state.speeds.merge_report(
            state.name, state.speeds, self.node_state.engine_views, moment_s
        )
        self._apply_request_reports(state, moment_s)

    def apply_announcement(
        self, announcement: LoadAnnouncement, moment_s: float
    ) -> None:
        """Apply what the VM that loads weights told all others.

        What it says of unknown servers is left out.
        """
        known = [view.id for view in self._known_views(announcement.loads)]
        self.announced_s = {
            server: announced_s
            for server, announced_s in self.announced_s.items()
            if self._is_announced(server, moment_s)
        } | dict.fromkeys(known, moment_s)
        self._apply_loads(announcement.loads, announcement.zone, moment_s)
        self._merge_weights(announcement.weights)

    def drop_vms(self, names: Collection[str]) -> None:
        """Drop what VMs that are gone have reported."""
        for name in names:
            self._store_occupancies(name, {}, now_s())
            self.occupied_by_sender.pop(name, None)
            self.node_state.peer_work_totals.pop(name, None)
            self.node_state.fleet_queues.drop(name)
            self.node_state.returns.record(name, {})
            _LOG.info('vm gone', fields={'vm': name})
        self.node_state.speeds.book.drop_senders(names)

    def _apply_request_reports(self, state: PeerState, moment_s: float) -> None:
        """Apply what ``state`` reports of the requests that its VM has."""
        self.node_state.fleet_queues.record(state.name, state.waiting, moment_s)
        self.node_state.returns.record(state.name, state.returns)
        self.node_state.quarantine.merge_report(
            state.name, state.quarantine, moment_s
        )
        if state.quarantine.verdicts:
            self.node_state.has_read_verdicts = True
        self.node_state.saved_prefixes.merge(
            state.saved_prefixes,
            moment_s,
            is_own_zone=state.zone == self.own_vm.zone,
        )
        self.node_state.store_health.merge(
            state.name, state.saved_prefixes.dead_stores, moment_s
        )

    def _record_sender(
        self,
        state: PeerState,
        address: str,
        moment_s: float,
    ) -> None:
        self.node_state.peer_work_totals[state.name] = state.work_totals
        members = self.node_state.members
        if members.record_report(
            state.name, moment_s, is_leaving=state.is_leaving
        ):
            return
        members.discover(
            VMRegistration(
                name=state.name,
                address=address,
                zone=state.zone,
                started_ms=0,
            ),
            moment_s,
            is_leaving=state.is_leaving,
        )
        _LOG.info(
            'vm discovered',
            fields={'vm': state.name, 'zone': state.zone},
        )

    def _apply_lease_claim(self, state: PeerState, moment_s: float) -> None:
        if state.fence is None:
            return
        claim = LeaseClaim(
            name=WEIGHTS_LEASE_NAME, holder=state.name, claim_number=0
        )
        self.node_state.catalog.update_claim(claim, state.fence, moment_s)

    def _apply_engine_reports(self, state: PeerState, moment_s: float) -> None:
        """Apply what ``state`` reports of engines beside their occupancy."""
        for view in self._known_views(state.suspected_engines):
            _suspect(view, state.name, moment_s)
        for view in self._known_views(state.leaving_engines):
            is_same = state.leaving_engines[view.id] == view.incarnation
            if is_same and not view.is_leaving:
                view.is_leaving = True
                _LOG.info(
                    'server leaves',
                    fields={'server': view.id, 'reported_by': state.name},
                )
        reported_loads = {
            server: load
            for server, load in state.loads.items()
            if not self._is_announced(server, moment_s)
        }
        self._apply_loads(reported_loads, state.zone, moment_s)
        self._merge_weights(state.weights)

    def _apply_loads(
        self,
        loads: Mapping[str, PlannedWeightsLoad],
        zone: str,
        moment_s: float,
    ) -> None:
        """Apply planned loads that a VM of ``zone`` told of."""
        for view in self._known_views(loads):
            load = loads[view.id]
            view.planned_load = load
            if load.is_upcoming(moment_s):
                self.node_state.load_duration.adopt(
                    load.finish_s - load.start_s
                )
            if zone != self.own_vm.zone:
                self.node_state.remote_weights_loads[view.id] = view

    def _merge_weights(self, weights: Mapping[str, LoadedWeights]) -> None:
        for view in self._known_views(weights):
            loaded = weights[view.id]
            if loaded.incarnation == view.incarnation:
                view.merge_weights(loaded.versions)

    def _is_announced(self, server: str, moment_s: float) -> bool:
        announced_s = self.announced_s.get(server, float('-inf'))
        return moment_s - announced_s < _ANNOUNCEMENT_LIFETIME_S

    def _apply_zone_load(
        self,
        zone: str,
        load: ZoneLoad,
        moment_s: float,
    ) -> None:
        self.node_state.reported_zone_loads[zone] = ReceivedZoneLoad(
            load=load, received_at_s=moment_s
        )
        self._store_occupancies(zone, load.occupancy, moment_s)
        self.node_state.fleet_queues.record(zone, load.waiting, moment_s)

    def _store_occupancies(
        self,
        sender: str,
        occupancies: Mapping[str, Occupancy],
        moment_s: float,
    ) -> None:
        """Replace the occupancies that ``sender`` reported before.

        Only engines that one of the two reports names are touched: a report
        names few of them, and reports are frequent.
        """
        before = self.occupied_by_sender.get(sender, frozenset())
        self.occupied_by_sender[sender] = frozenset(occupancies)
        for view in self._known_views(before | occupancies.keys()):
            view.occupancy.record_report(
                sender, occupancies.get(view.id), moment_s
            )

    def _known_views(self, names: Iterable[str]) -> Iterator[EngineView]:
        views = self.node_state.engine_views
        for name in names:
            view = views.get(name)
            if view is not None:
                yield view


def _suspect(view: EngineView, sender: str, moment_s: float) -> None:
    """Take over the suspicion of another VM for a moment."""
    if not view.is_unresponsive(moment_s):
        _LOG.info(
            'server silent', fields={'server': view.id, 'reported_by': sender}
        )
    view.remotely_suspected_until_s = moment_s + _REMOTE_SUSPICION_S
    view.unresponsive_until_s = view.remotely_suspected_until_s
