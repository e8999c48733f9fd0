"""Check the order, notice and concurrency of weights loads."""

import pytest

from arbutusbay.scheduling import (
    WEIGHTS_LOAD_NOTICE_S,
    RolloutState,
    schedule_loads,
)
from tests.unit.test_engine_placement import (
    add_attempts,
    build_load,
    build_views,
)

MODEL = 'roll-advisor'
NOW_S = 50.0


def build_outdated(count: int):
    views = build_views(count)
    for view in views:
        view.merge_weights({MODEL: 1})
    return views


def build_rollout_state(**changes) -> RolloutState:
    fields = {
        'announced_at_s': {},
        'loading_engines': (),
        'deferred_engines': (),
        'now_s': NOW_S,
    }
    return RolloutState(**{**fields, **changes})


def test_loads_are_announced_before_they_start():
    views = build_outdated(6)
    for view in views:
        add_attempts(view, 100)
    loads = schedule_loads(views, MODEL, 2, build_rollout_state())
    assert not loads.start
    assert len(loads.announcements) == 2
    announced = {load.engine.id: NOW_S for load in loads.announcements}
    later = build_rollout_state(
        announced_at_s=announced, now_s=NOW_S + WEIGHTS_LOAD_NOTICE_S
    )
    started = schedule_loads(views, MODEL, 2, later).start
    assert {load.engine.id for load in started} == set(announced)


def test_idle_engine_starts_without_a_notice_period():
    views = build_outdated(3)
    announced = (
        schedule_loads(views, MODEL, 2, build_rollout_state())
        .announcements[0]
        .engine
    )
    state = build_rollout_state(announced_at_s={announced.id: NOW_S})
    assert schedule_loads(views, MODEL, 2, state).start


@pytest.mark.parametrize(('count', 'limit'), [(1, 1), (3, 1), (9, 3)])
def test_concurrent_loads_are_limited(count, limit):
    views = build_outdated(count)
    announced = {view.id: NOW_S - 1 for view in views}
    loads = schedule_loads(
        views, MODEL, 2, build_rollout_state(announced_at_s=announced)
    )
    assert len(loads.start) == limit


def test_deferred_engine_does_not_block_the_next_one():
    views = build_outdated(3)
    announced = {view.id: NOW_S - 1 for view in views}
    first = schedule_loads(
        views,
        MODEL,
        2,
        build_rollout_state(announced_at_s=announced),
    ).start[0]
    state = build_rollout_state(
        announced_at_s=announced,
        deferred_engines={first.engine.id},
    )
    second = schedule_loads(views, MODEL, 2, state).start[0]
    assert second.engine.id != first.engine.id


def test_up_to_date_and_draining_engines_are_skipped():
    views = build_outdated(2)
    views[0].merge_weights({MODEL: 2})
    views[1].is_draining = True
    loads = schedule_loads(views, MODEL, 2, build_rollout_state())
    assert not loads.start
    assert not loads.announcements


def test_older_weights_report_is_ignored():
    view = build_outdated(1)[0]
    assert view.merge_weights({MODEL: 3})
    assert not view.merge_weights({MODEL: 2})
    assert view.weights[MODEL] == 3


def starts(view, after_s: float) -> bool:
    """Return whether a load starts that was announced so long ago."""
    state = build_rollout_state(
        announced_at_s={view.id: NOW_S}, now_s=NOW_S + after_s
    )
    return bool(schedule_loads([view], MODEL, 2, state).start)


# Load that it answers: a burst as weights are named. An engine rejects what it
# has not begun when a load is ordered.
def test_load_waits_for_requests_that_have_not_begun():
    view = build_outdated(1)[0]
    add_attempts(view, 5_000)
    view.planned_load = build_load(NOW_S + WEIGHTS_LOAD_NOTICE_S, NOW_S + 1.0)
    assert not starts(view, WEIGHTS_LOAD_NOTICE_S + 0.01)
    for attempt in tuple(view.occupancy.open_attempts):
        view.occupancy.record_first_event(attempt)
    assert starts(view, WEIGHTS_LOAD_NOTICE_S + 0.01)
    add_attempts(view, 5_000)
    assert not starts(view, WEIGHTS_LOAD_NOTICE_S + 0.01)
    # It doesn't wait until VMs expect the new weights.
    assert starts(view, 0.9)
