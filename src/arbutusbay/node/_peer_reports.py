"""Build the load reports that this VM sends to the other VMs."""

from collections.abc import Mapping

import attrs

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.node._lease import WEIGHTS_LEASE_NAME
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_messages import (
    LoadedWeights,
    PeerState,
    ZoneLoad,
)
from arbutusbay.prefixes import Origin, SavedReport
from arbutusbay.scheduling import EngineView, PlannedWeightsLoad, WorkTotals
from arbutusbay.speeds import SpeedReport

_CHANGE_REPORT_S = 1.0
_OWN = frozenset((Origin.OWN,))
_OWN_ZONE = frozenset((Origin.OWN, Origin.ZONE))
_OTHER_ZONES = frozenset((Origin.OTHER_ZONE,))


class PeerReportBuilder:
    """Build one report for each group of VMs.

    ``own_loads`` holds the engines into which this VM loads weights, or has
    just done so.
    """

    def __init__(
        self, *, node_state: NodeState, own_vm: VMRegistration
    ) -> None:
        """Report the state of this VM, ``own_vm``."""
        self.node_state = node_state
        self.own_vm = own_vm
        self.own_loads: dict[str, EngineView] = {}

    def announce_load(self, view: EngineView, load: PlannedWeightsLoad) -> None:
        """Report that an engine loads weights, and when."""
        view.planned_load = load
        self.own_loads[view.id] = view
        self.node_state.notify_report_changed()

    def build_own_state(self) -> PeerState:
        """Return this VM's state, without what only other VMs reported."""
        moment_s = now_s()
        views = self.node_state.engine_views.values()
        occupancies = {view.id: view.occupancy.local_total() for view in views}
        self.own_loads = _unexpired_loads(self.own_loads, moment_s)
        return PeerState(
            name=self.own_vm.name,
            zone=self.own_vm.zone,
            occupancy={
                name: occupancy
                for name, occupancy in occupancies.items()
                if occupancy.attempts
            },
            work_totals=self.node_state.recent_work.current_totals(moment_s),
            suspected_engines=tuple(
                view.id
                for view in views
                if moment_s < view.locally_suspected_until_s
            ),
            leaving_engines={
                view.id: view.incarnation for view in views if view.is_leaving
            },
            loads=_announced_loads(self.own_loads),
            fence=self._own_fence(),
            is_leaving=self.node_state.is_stopping,
            quarantine=self.node_state.quarantine.report(moment_s),
            waiting=self.node_state.fleet_queues.report(moment_s),
            returns=self.node_state.returns.report(moment_s),
            saved_prefixes=SavedReport(
                saved=self.node_state.saved_prefixes.recent(_OWN, moment_s),
                dead_stores=self.node_state.store_health.found_dead(),
            ),
            speeds=self.node_state.speeds.report(
                self.node_state.engine_views, moment_s
            ),
            weights={
                view.id: _loaded_weights(view)
                for view in views
                if self._must_report_weights(view, moment_s)
            },
        )

    def full_report(self, own: PeerState) -> PeerState:
        """Return the report for VMs of the own zone: all of ``own``."""
        return own

    def relayed_report(self, own: PeerState) -> PeerState:
        """Return ``own`` with the reports of the other zones added."""
        relayed = _unexpired_loads(
            self.node_state.remote_weights_loads, now_s()
        )
        self.node_state.remote_weights_loads = relayed
        return attrs.evolve(
            own,
            zones=self.node_state.recent_zone_loads(),
            saved_prefixes=attrs.evolve(
                own.saved_prefixes,
                relayed=self.node_state.saved_prefixes.recent(
                    _OTHER_ZONES, now_s()
                ),
            ),
            loads={**_announced_loads(relayed), **own.loads},
            weights={
                **{view.id: _loaded_weights(view) for view in relayed.values()},
                **own.weights,
            },
        )

    def heartbeat_report(self, own: PeerState) -> PeerState:
        """Return a heartbeat for VMs of other zones that aren't aggregators.

        It keeps only what every VM must learn at once: suspected and leaving
        engines, dead stores of KV cache and the fencing token of the lease. A
        suspicion that another VM has just reported is not repeated to all.
        """
        moment_s = now_s()
        views = self.node_state.engine_views
        return attrs.evolve(
            own,
            suspected_engines=tuple(
                name
                for name in own.suspected_engines
                if views[name].remotely_suspected_until_s <= moment_s
            ),
            occupancy={},
            work_totals=WorkTotals(),
            waiting={},
            returns={},
            loads={},
            weights={},
            saved_prefixes=SavedReport(
                dead_stores=own.saved_prefixes.dead_stores
            ),
            speeds=SpeedReport(),
        )

    def aggregator_report(
        self, own: PeerState, *, is_aggregator: bool
    ) -> PeerState:
        """Return the report for aggregators of other zones.

        It holds the engine changes that this VM observed and, from an
        aggregator, the total load of the own zone.
        """
        zones = (
            {self.own_vm.zone: self._own_zone_load()} if is_aggregator else {}
        )
        return attrs.evolve(
            own,
            occupancy={},
            work_totals=WorkTotals(),
            waiting={},
            returns={},
            zones=zones,
            saved_prefixes=SavedReport(
                saved=self.node_state.saved_prefixes.recent(
                    _OWN_ZONE if is_aggregator else frozenset(), now_s()
                ),
                dead_stores=own.saved_prefixes.dead_stores,
            ),
            speeds=SpeedReport(),
        )

    def _must_report_weights(self, view: EngineView, moment_s: float) -> bool:
        is_new = moment_s - view.weights_changed_s < _CHANGE_REPORT_S
        return bool(view.weights) and (is_new or view.id in self.own_loads)

    def _own_zone_load(self) -> ZoneLoad:
        moment_s = now_s()
        names = {
            vm.name
            for vm in self.node_state.members.vms().values()
            if vm.zone == self.own_vm.zone
        }
        occupancies = {
            view.id: view.occupancy.total_of(names, moment_s)
            for view in self.node_state.engine_views.values()
        }
        totals_by_vm = [
            self.node_state.recent_work.current_totals(moment_s),
            *self.node_state.recent_peer_work_totals(names),
        ]
        return ZoneLoad(
            occupancy={
                name: occupancy
                for name, occupancy in occupancies.items()
                if occupancy.attempts
            },
            work_totals=WorkTotals(
                short_prompt_work=sum(
                    totals.short_prompt_work for totals in totals_by_vm
                ),
                long_prompt_work=sum(
                    totals.long_prompt_work for totals in totals_by_vm
                ),
            ),
            waiting=self.node_state.fleet_queues.zone_report(names, moment_s),
        )

    def _own_fence(self) -> int | None:
        known = self.node_state.catalog.leases.get(WEIGHTS_LEASE_NAME)
        if known is None or known.claim.holder != self.own_vm.name:
            return None
        return known.fence


def _unexpired_loads(
    loads: Mapping[str, EngineView],
    moment_s: float,
) -> dict[str, EngineView]:
    """Return the loads that are planned, running or just finished."""
    return {
        view_id: view
        for view_id, view in loads.items()
        if view.planned_load is not None
        and view.planned_load.finish_s > moment_s - _CHANGE_REPORT_S
    }


def _announced_loads(
    loads: Mapping[str, EngineView],
) -> dict[str, PlannedWeightsLoad]:
    return {
        view_id: view.planned_load
        for view_id, view in loads.items()
        if view.planned_load is not None
    }


def _loaded_weights(view: EngineView) -> LoadedWeights:
    return LoadedWeights(incarnation=view.incarnation, versions=view.weights)
