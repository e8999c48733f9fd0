"""Check when the loads of a rollout are announced to begin."""

import asyncio

import attrs
import pytest

from arbutusbay.node import _rollout
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._rollout import Rollout
from arbutusbay.scheduling import (
    WEIGHTS_LOAD_NOTICE_S,
    EngineView,
    PlannedWeightsLoad,
    WeightsLoad,
)
from tests.fleet_builders import build_vm_settings
from tests.fleet_fakes import FakeClock
from tests.unit.test_engine_placement import MODEL, add_attempts, build_views

STEP_S = 0.05
ENGINES = 6
PARALLEL = 2


@attrs.define(kw_only=True)
class FakeLoader:
    """Announce loads, and run each for ``load_s`` on the fake clock.

    Each is announced to last ``expected_s``, and longer by ``extension_s`` once
    it does.
    """

    clock: FakeClock
    load_s: float
    expected_s: float = 0.6
    extension_s: float = 0.0

    def deferred_engines(self, moment_s: float) -> set[str]:
        """Return that no load has failed."""
        return set()

    def announce(self, load: WeightsLoad, notice_s: float) -> None:
        """Announce a load that begins in ``notice_s``."""
        self._plan(load, self.clock.moment_s + notice_s)

    def defer_load(self, load: WeightsLoad) -> None:
        """Withdraw a load."""
        load.engine.planned_load = None

    async def run_load(self, load: WeightsLoad) -> None:
        """Run a load, which changes the weights at its end."""
        began_s = self.clock.moment_s
        self._plan(load, began_s)
        while self.clock.moment_s < began_s + self.load_s:
            await asyncio.sleep(0)
            self._extend(load)
        load.engine.merge_weights({load.model: load.version})
        if self.extension_s:
            self.defer_load(load)

    def _extend(self, load: WeightsLoad) -> None:
        known = load.engine.planned_load
        if self.extension_s and known.finish_s <= self.clock.moment_s:
            load.engine.planned_load = attrs.evolve(
                known, finish_s=self.clock.moment_s + self.extension_s
            )

    def _plan(self, load: WeightsLoad, start_s: float) -> None:
        load.engine.planned_load = PlannedWeightsLoad(
            model=load.model,
            version=load.version,
            start_s=start_s,
            finish_s=start_s + self.expected_s,
        )


@pytest.fixture
def clock(monkeypatch):
    fake = FakeClock()
    monkeypatch.setattr(_rollout, 'now_s', fake)
    return fake


def build_rollout(clock, load_s: float) -> tuple[Rollout, list[EngineView]]:
    """Return a rollout to busy engines, and these."""
    views = build_views(ENGINES)
    for view in views:
        view.merge_weights({MODEL: 1})
        add_attempts(view, 100)
        for attempt in view.occupancy.open_attempts:
            attempt.has_first_event = True
    node_state = NodeState(settings=build_vm_settings())
    node_state.engine_views = {view.id: view for view in views}
    loader = FakeLoader(clock=clock, load_s=load_s)
    return Rollout(node_state=node_state, lease=None, loader=loader), views


async def step(rollout, clock, version: int = 2) -> None:
    """Start the due loads, then let time pass."""
    rollout._start_due_loads('language', MODEL, version)
    await asyncio.sleep(0)
    clock.moment_s += STEP_S
    for _ in range(3):
        await asyncio.sleep(0)


def check_expectations(rollout, views, clock) -> None:
    """Check that nobody expects weights of a load that has not begun."""
    for view in views:
        if view.id not in rollout.load_tasks:
            expected = view.expected_weights(MODEL, clock.moment_s)
            assert expected == view.weights[MODEL]


# Guards against attempts that expect new weights of an engine that has not
# begun to load them: the load before it took longer, and the time that was
# announced had passed.
async def test_load_that_cannot_begin_is_announced_anew(clock):
    rollout, views = build_rollout(clock, load_s=2.5)
    while any(view.weights[MODEL] == 1 for view in views):
        await step(rollout, clock)
        assert clock.moment_s < 120
        check_expectations(rollout, views, clock)


# Guards against the same where a newer version is named meanwhile, which
# other engines load first.
@pytest.mark.parametrize('steps', range(2, 40, 3))
async def test_load_of_a_replaced_version_is_withdrawn(clock, steps):
    rollout, views = build_rollout(clock, load_s=0.6)
    for _ in range(steps):
        await step(rollout, clock)
    while any(view.weights[MODEL] < 3 for view in views):
        await step(rollout, clock, version=3)
        assert clock.moment_s < 120
        check_expectations(rollout, views, clock)


async def test_each_load_is_announced_before_it_begins(clock):
    rollout, views = build_rollout(clock, load_s=0.6)
    first_notice_s = {}
    began_s = {}
    while any(view.weights[MODEL] == 1 for view in views):
        await step(rollout, clock)
        for view in views:
            load = view.planned_load
            if load is not None and load.is_upcoming(clock.moment_s):
                first_notice_s.setdefault(view.id, clock.moment_s)
            if view.id in rollout.load_tasks:
                began_s.setdefault(view.id, clock.moment_s)
        assert len(rollout.load_tasks) <= PARALLEL
        assert clock.moment_s < 110
    assert set(began_s) == {view.id for view in views}
    for name, moment_s in began_s.items():
        notice_s = moment_s - first_notice_s[name]
        assert notice_s >= WEIGHTS_LOAD_NOTICE_S - 2 * STEP_S


# Load that it answers: a burst beside a rollout. All VMs avoided the engines of
# two rounds, as the second one was announced long before it could begin.
@pytest.mark.parametrize('load_s', [0.3, 0.6, 0.9, 1.5])
async def test_only_engines_that_load_are_avoided(clock, load_s):
    rollout, views = build_rollout(clock, load_s=load_s)
    rollout.loader.extension_s = 0.4
    while any(view.weights[MODEL] == 1 for view in views):
        await step(rollout, clock)
        avoided = [
            view for view in views if view.is_loading_weights(clock.moment_s)
        ]
        assert len(avoided) <= PARALLEL
        assert clock.moment_s < 120


async def test_load_with_a_place_begins_when_it_was_announced_to(clock):
    rollout, views = build_rollout(clock, load_s=0.6)
    await step(rollout, clock)
    announced = {
        view.id: view.planned_load.start_s
        for view in views
        if view.planned_load is not None
    }
    assert len(announced) == PARALLEL
    while not rollout.load_tasks:
        first = [view for view in views if view.id in announced]
        assert announced == {
            view.id: view.planned_load.start_s for view in first
        }
        await step(rollout, clock)
    for start_s in announced.values():
        assert abs(clock.moment_s - start_s) <= 2 * STEP_S
