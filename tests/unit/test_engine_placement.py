"""Check the choice of backend servers and the split by prompt length."""

import random
from collections import Counter

import attrs
import pytest

from arbutusbay.scheduling import (
    PEER_REPORT_TTL_S,
    Attempt,
    EngineView,
    Lack,
    ModelRequestSize,
    Occupancy,
    PlacementContext,
    PlannedWeightsLoad,
    RecentWork,
    WorkTotals,
    choose_model_engine,
    choose_plain_server,
    eligible_engines,
    short_prompt_fractions,
    short_prompt_share,
)

NOW_S = 100.0
MODEL = 'roll-advisor'


def build_load(start_s: float, finish_s: float) -> PlannedWeightsLoad:
    """Return a planned load of the second weights version."""
    return PlannedWeightsLoad(
        model=MODEL,
        version=2,
        start_s=start_s,
        finish_s=finish_s,
    )


def build_view(name: str, **changes) -> EngineView:
    view = EngineView(
        id=name,
        service='language',
        address='127.0.0.1:1',
        zone='plateau',
        slots=8,
    )
    for field, setting in changes.items():
        setattr(view, field, setting)
    return view


def build_views(count: int = 4) -> list[EngineView]:
    return [build_view(f'engine-{number}') for number in range(count)]


def build_work(**changes) -> ModelRequestSize:
    work = ModelRequestSize(
        prompt_tokens=9000,
        output_tokens=50,
        shared_prefix_tokens=6000,
        affinity_key='part-1',
    )
    return attrs.evolve(work, **changes)


def build_setting(views, **changes) -> PlacementContext:
    setting = PlacementContext(
        own_zone='plateau',
        cache_capacity_tokens=100_000,
        short_prompt_fractions={view.id: 0.0 for view in views},
        prefix_hit_saving=1.0,
        max_queued_tokens=15_000,
        now_s=NOW_S,
    )
    return attrs.evolve(setting, **changes)


def choose(views, work=None, seed=1, **changes):
    return choose_model_engine(
        work or build_work(),
        views,
        placement_context=build_setting(views, **changes),
        rng=random.Random(seed),
    )


def add_attempts(view: EngineView, uncached: int, count: int = 1) -> None:
    for _ in range(count):
        view.occupancy.open_attempt(
            Attempt(
                sent_s=NOW_S,
                uncached_tokens=uncached,
                kv_tokens=uncached,
            ),
        )


def test_requests_of_one_prefix_use_at_most_two_engines():
    views = build_views(8)
    chosen = {choose(views, seed=seed).engine.id for seed in range(40)}
    assert len(chosen) <= 2


def test_idle_engine_is_preferred_to_a_loaded_prefix_holder():
    views = build_views(3)
    holder = choose(views).engine
    for view in views:
        if view.id != holder.id:
            add_attempts(holder, 12_000)
    other = choose(views)
    assert other.engine.id != holder.id


def test_peer_attempts_count_until_their_report_expires():
    views = build_views(2)
    views[0].occupancy.record_report(
        'vm-1', Occupancy(attempts=3, uncached_tokens=40_000), NOW_S - 1
    )
    assert choose(views).engine.id == views[1].id
    views[0].occupancy.record_report(
        'vm-1', Occupancy(attempts=3, uncached_tokens=40_000), NOW_S - 10
    )
    assert views[0].occupancy.total(NOW_S).attempts == 0


def test_total_of_an_engine_follows_each_change():
    view = build_views(1)[0]
    attempt = Attempt(sent_s=NOW_S, uncached_tokens=700, kv_tokens=900)
    view.occupancy.open_attempt(attempt)
    reported = Occupancy(attempts=2, uncached_tokens=50, kv_tokens=60)
    view.occupancy.record_report('vm-1', reported, NOW_S)
    assert view.occupancy.total(NOW_S) == Occupancy(
        attempts=3, uncached_tokens=750, kv_tokens=960
    )
    view.occupancy.record_first_event(attempt)
    assert view.occupancy.total(NOW_S).uncached_tokens == 50
    view.occupancy.close_attempt(attempt)
    assert view.occupancy.total(NOW_S) == reported
    # No event announces that a report has become too old.
    assert view.occupancy.total(NOW_S + PEER_REPORT_TTL_S) == Occupancy()
    view.occupancy.record_report('vm-1', None, NOW_S)
    assert view.occupancy.total(NOW_S) == Occupancy()


def test_no_capacity_if_the_first_event_would_be_late():
    views = build_views(2)
    for view in views:
        add_attempts(view, 14_000)
    assert not choose(views).has_capacity


# Guards against a request that waits without a line that tells what for.
def test_choice_without_capacity_counts_what_the_engines_lack():
    views = build_views(5)
    add_attempts(views[0], 0, count=views[0].slots)
    for view in views[1:]:
        add_attempts(view, 0)
    views[2].occupancy.open_attempt(Attempt(sent_s=NOW_S, kv_tokens=95_000))
    for view in views[3:]:
        view.occupancy.open_attempt(
            Attempt(sent_s=NOW_S, uncached_tokens=14_000)
        )
    fractions = {view.id: 0.0 for view in views} | {views[1].id: 1.0}
    choice = choose(views, short_prompt_fractions=fractions)
    assert not choice.has_capacity
    assert choice.lacks == {
        Lack.PLACES: 1,
        Lack.PARTITION: 1,
        Lack.MEMORY: 1,
        Lack.PREFILL: 2,
    }


def test_idle_engine_takes_a_prompt_of_any_length():
    views = build_views(1)
    work = build_work(prompt_tokens=60_000, shared_prefix_tokens=0)
    assert choose(views, work).has_capacity


def test_busy_short_prompt_engine_rejects_long_prompts():
    views = build_views(2)
    fractions = {views[0].id: 1.0, views[1].id: 0.0}
    add_attempts(views[0], 100)
    add_attempts(views[1], 14_500)
    assert not choose(views, short_prompt_fractions=fractions).has_capacity
    short = build_work(prompt_tokens=800, shared_prefix_tokens=100)
    chosen = choose(views, short, short_prompt_fractions=fractions)
    assert chosen.engine.id == views[0].id


def test_planned_load_diverts_new_streams():
    views = build_views(2)
    short = build_work(prompt_tokens=800, shared_prefix_tokens=0)
    views[0].planned_load = build_load(NOW_S + 0.3, NOW_S + 1.0)
    chosen = {choose(views, short, seed).engine.id for seed in range(10)}
    assert chosen == {views[1].id}


@pytest.mark.parametrize(
    'change',
    [
        {'is_draining': True},
        {'backoff_until_s': NOW_S + 1},
        {'unresponsive_until_s': NOW_S + 1},
        {'planned_load': build_load(NOW_S - 1, NOW_S + 1)},
    ],
)
def test_unavailable_engines_are_left_out(change):
    views = [build_view('bad', **change), build_view('good')]
    assert [view.id for view in eligible_engines(views, NOW_S)] == ['good']


@pytest.mark.parametrize(
    ('load', 'expected'),
    [
        (None, 1),
        (build_load(NOW_S - 0.5, NOW_S + 0.1), 1),
        (build_load(NOW_S - 0.7, NOW_S - 0.1), 2),
        (build_load(NOW_S - 0.1, NOW_S - 0.1), 1),
        (build_load(NOW_S - 9, NOW_S - 8), 1),
    ],
)
def test_planned_version_is_expected_after_its_load_ends(load, expected):
    view = build_view('e', weights={MODEL: 1}, planned_load=load)
    assert view.expected_weights(MODEL, NOW_S) == expected
    assert view.expected_weights('other', NOW_S) is None


def test_reported_version_newer_than_planned_is_kept():
    load = build_load(NOW_S - 0.7, NOW_S - 0.1)
    view = build_view('e', weights={MODEL: 3}, planned_load=load)
    assert view.expected_weights(MODEL, NOW_S) == 3


def test_engine_in_backoff_is_used_if_it_is_the_only_one():
    views = [build_view('only', backoff_until_s=NOW_S + 1)]
    assert eligible_engines(views, NOW_S)
    assert not eligible_engines([build_view('x', is_draining=True)], NOW_S)


def test_requests_without_model_avoid_failing_servers():
    views = build_views(2)
    for _ in range(20):
        views[0].record_result(1, NOW_S)
    chosen = choose_plain_server(
        views,
        own_zone='plateau',
        now_s=NOW_S,
        rng=random.Random(1),
    )
    assert chosen.engine.id == views[1].id


def test_short_prompt_capacity_follows_the_work():
    recent_work = RecentWork()
    recent_work.record_request(
        prompt_tokens=800,
        uncached_tokens=800,
        output_tokens=0,
        now_s=NOW_S,
    )
    recent_work.record_request(
        prompt_tokens=9000,
        uncached_tokens=2400,
        output_tokens=0,
        now_s=NOW_S,
    )
    share = short_prompt_share(
        [recent_work.current_totals(NOW_S), WorkTotals()]
    )
    assert share == pytest.approx(0.25)
    fractions = short_prompt_fractions(build_views(8), share)
    assert sum(fractions.values()) == pytest.approx(2)


@pytest.mark.parametrize('share', [0.001, 0.999])
def test_each_prompt_length_has_an_engine(share):
    fractions = short_prompt_fractions(build_views(4), share)
    assert max(fractions.values()) == 1
    assert min(fractions.values()) == 0


@pytest.mark.parametrize(('share', 'expected'), [(0, 0), (1, 4)])
def test_single_prompt_length_has_all_engines(share, expected):
    assert (
        sum(short_prompt_fractions(build_views(4), share).values()) == expected
    )


# Guards against a first backoff other than the constant, and against
# pauses that don't double.
def test_backoff_doubles_from_the_initial_one_to_the_limit():
    view = build_view('a')
    pauses_s = [view.record_failure(NOW_S) for _ in range(5)]
    assert pauses_s == pytest.approx([0.6, 1.2, 2.4, 4.0, 4.0])
    assert view.consecutive_failures == 5
    view.record_success(NOW_S)
    assert view.record_failure(NOW_S) == pytest.approx(0.6)
    assert view.is_in_backoff(NOW_S + 0.5)
    assert not view.is_in_backoff(NOW_S + 0.6)


# Load that it answers: a burst at 141 VMs, whose reports reach other zones half
# a second late. VMs kept requests waiting for engines that had nothing to do.
def test_reported_prompts_are_prefilled_while_the_next_report_is_on_its_way():
    occupancy = build_views(1)[0].occupancy
    occupancy.drain_tokens_per_s = 50_000
    reported = Occupancy(attempts=2, uncached_tokens=10_000, kv_tokens=9_000)
    occupancy.record_report('vm-1', reported, NOW_S)
    occupancy.record_report('vm-2', reported, NOW_S)
    own = Attempt(sent_s=NOW_S, uncached_tokens=700, kv_tokens=900)
    occupancy.open_attempt(own)
    assert occupancy.total(NOW_S).uncached_tokens == 20_700
    assert abs(occupancy.total(NOW_S + 0.2).uncached_tokens - 10_700) < 10
    drained = occupancy.total(NOW_S + 0.5)
    assert drained.uncached_tokens == 700
    # Places and memory are held until their requests end.
    assert (drained.attempts, drained.kv_tokens) == (5, 18_900)


def test_report_that_comes_soon_is_taken_as_it_is():
    occupancy = build_views(1)[0].occupancy
    reported = Occupancy(attempts=2, uncached_tokens=10_000, kv_tokens=9_000)
    occupancy.record_report('vm-1', reported, NOW_S)
    assert occupancy.total(NOW_S + 0.5) == reported


# Load that it answers: 141 VMs that place at once at 30 engines, all from the
# same reports. No engine may get more than four times its part.
def test_vms_that_place_at_once_spread_over_engines_alike():
    views = build_views(30)
    for number, view in enumerate(views):
        add_attempts(view, 30 * number)
    work = build_work(prompt_tokens=900, shared_prefix_tokens=0)
    chosen = Counter(
        choose(
            views,
            work,
            seed=seed,
            max_queued_tokens=50_000,
            short_prompt_fractions={view.id: 1.0 for view in views},
            has_late_reports=True,
        ).engine.id
        for seed in range(141)
    )
    assert max(chosen.values()) <= 4 * 141 / 30


# Guards against prefixes that are read at all engines where reports are late.
def test_late_reports_keep_requests_with_their_prefix():
    views = build_views(30)
    work = build_work(prompt_tokens=900, shared_prefix_tokens=800)
    placed = [
        choose(views, work, seed=seed, has_late_reports=late)
        for seed in range(141)
        for late in (False, True)
    ]
    usual, late = placed[::2], placed[1::2]
    assert {choice.engine.id for choice in late} == {
        choice.engine.id for choice in usual
    }
