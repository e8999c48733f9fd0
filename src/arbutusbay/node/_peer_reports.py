"""Sum up what this VM, and as a speaker its zone, tells the other VMs."""

from collections.abc import Mapping

import attrs

from arbutusbay.fleet import VMRecord
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import WEIGHTS_LEASE
from arbutusbay.node._peer_messages import (
    LoadedWeights,
    PeerState,
    ZoneLoad,
)
from arbutusbay.scheduling import AnnouncedLoad, EngineView, WorkSums

_RECENT_S = 1.0


class PeerReports:
    """Build the states that other VMs are told."""

    def __init__(self, *, board: NodeBoard, me: VMRecord) -> None:
        """Speak for the VM ``me``."""
        self.board = board
        self.me = me
        self.loads: dict[str, EngineView] = {}

    def announce_load(self, view: EngineView, load: AnnouncedLoad) -> None:
        """Announce when an engine changes weights."""
        view.load = load
        self.loads[view.id] = view
        self.board.notify_load()

    def own_state(self) -> PeerState:
        """Return all that this VM has out and knows first."""
        moment_s = now_s()
        views = self.board.views.values()
        out = {view.id: view.own_occupancy() for view in views}
        self.loads = _current(self.loads, moment_s)
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
            loads=_announced(self.loads),
            fence=self._own_fence(),
            weights={
                view.id: _loaded_weights(view)
                for view in views
                if self._is_first_to_know(view, moment_s)
            },
        )

    def for_near(self, own: PeerState) -> PeerState:
        """Return all of ``own``."""
        return own

    def for_served(self, own: PeerState) -> PeerState:
        """Return ``own`` with what the other zones said."""
        relayed = _current(self.board.loads_elsewhere, now_s())
        self.board.loads_elsewhere = relayed
        return attrs.evolve(
            own,
            zones=self.board.loads_of_other_zones(),
            loads={**_announced(relayed), **own.loads},
            weights={
                **{view.id: _loaded_weights(view) for view in relayed.values()},
                **own.weights,
            },
        )

    def for_far(self, own: PeerState) -> PeerState:
        """Return that this VM lives, and what all must know at once."""
        return attrs.evolve(
            own,
            occupancy={},
            mix=WorkSums(),
            loads={},
            weights={},
        )

    def for_speakers(self, own: PeerState, *, is_speaker: bool) -> PeerState:
        """Return what is new of engines, with the sum of the own zone."""
        zones = {self.me.zone: self._own_zone_load()} if is_speaker else {}
        return attrs.evolve(
            own,
            occupancy={},
            mix=WorkSums(),
            zones=zones,
        )

    def _is_first_to_know(self, view: EngineView, moment_s: float) -> bool:
        is_new = moment_s - view.learned_s < _RECENT_S
        return bool(view.weights) and (is_new or view.id in self.loads)

    def _own_zone_load(self) -> ZoneLoad:
        moment_s = now_s()
        names = {
            vm.name
            for vm in self.board.catalog.vms.values()
            if vm.zone == self.me.zone
        }
        out = {
            view.id: view.occupancy_by(names, moment_s)
            for view in self.board.views.values()
        }
        mixes = [
            self.board.mix.sums(moment_s),
            *self.board.recent_mixes(names),
        ]
        return ZoneLoad(
            occupancy={
                name: held for name, held in out.items() if held.attempts
            },
            mix=WorkSums(
                short=sum(mix.short for mix in mixes),
                long=sum(mix.long for mix in mixes),
            ),
        )

    def _own_fence(self) -> int | None:
        held = self.board.catalog.leases.get(WEIGHTS_LEASE)
        if held is None or held.claim.holder != self.me.name:
            return None
        return held.offset


def _current(
    loads: Mapping[str, EngineView],
    moment_s: float,
) -> dict[str, EngineView]:
    """Return the loads that are not long over."""
    return {
        view_id: view
        for view_id, view in loads.items()
        if view.load is not None and view.load.until_s > moment_s - _RECENT_S
    }


def _announced(loads: Mapping[str, EngineView]) -> dict[str, AnnouncedLoad]:
    return {
        view_id: view.load
        for view_id, view in loads.items()
        if view.load is not None
    }


def _loaded_weights(view: EngineView) -> LoadedWeights:
    return LoadedWeights(incarnation=view.incarnation, versions=view.weights)
