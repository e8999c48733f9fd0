"""Check which engines hold shared prefixes, under load and with a failure."""

import attrs
import pytest
from tests.prefix_builders import (
    PREFILL_S_PER_TOKEN,
    STORES,
    ZONES,
    Fleet,
    build_caches,
    build_plan,
    build_prefix,
)

from arbutusbay.prefixes import (
    EngineCaches,
    PrefixLoad,
    PrefixPopularity,
    SharedPrefix,
)

SUBJECTS = tuple(f'shared/subject-{number}' for number in range(700))
SKEW = 0.3
HOT_SHARE = 0.37
WEIGHTS = tuple((rank + 1) ** -SKEW for rank in range(len(SUBJECTS)))
HOT_WEIGHTS = (sum(WEIGHTS) * HOT_SHARE / (1 - HOT_SHARE), *WEIGHTS[1:])


def build_team_subjects() -> tuple[list[str], list[float]]:
    """Return subjects by the teams that may share them, and their weights."""
    subjects = {}
    for team in range(16):
        scope = f'team-{team}' if team % 3 == 2 else 'shared'
        for rank in range(1223):
            key = f'{scope}/subject-{rank}'
            weight = (team + 1) ** -1.2 * (rank + 1) ** -SKEW
            subjects[key] = subjects.get(key, 0) + weight
    return list(subjects), list(subjects.values())


def build_fleet() -> Fleet:
    """Return engines with memory for about as much as is asked for."""
    return Fleet(
        vms=71, engines=30, engine_tokens=109_000, store_tokens=1_410_000
    )


# 700 subjects of 3,780 tokens behind 2,520 that they share, 2.7 million tokens
# of subjects before engines with 3.3 million; 95 requests/s of many VMs that
# learn of each other's requests after 0.1 s.
@pytest.mark.parametrize('weights', [WEIGHTS, HOT_WEIGHTS])
def test_few_shared_tokens_are_read_again(weights):
    fleet = build_fleet()
    fleet.play(SUBJECTS, weights, per_s=95, seconds=30)
    assert fleet.read_again_tokens < 0.05 * fleet.shared_tokens
    assert fleet.busiest_to_mean() < 2
    # Each save moves the whole prompt.
    assert fleet.saves < 0.6 * fleet.sent.total()


# 16 teams of which five share nothing with others, 1,223 subjects, and new
# weights every 4 s: few subjects come twice before all is read anew, but their
# four forms come at every engine. Moving cache takes half as long as reading
# within a zone, and as long between zones.
def test_beginnings_are_fetched_after_each_load_of_weights():
    fleet = Fleet(
        vms=141,
        engines=30,
        engine_tokens=104_000,
        store_tokens=2_370_000,
        token_s=PREFILL_S_PER_TOKEN / 2,
    )
    subjects, weights = build_team_subjects()
    for _ in range(5):
        fleet.play(subjects, weights, per_s=60, seconds=4)
        fleet.load_weights()
    assert fleet.read_again_tokens < 0.05 * fleet.shared_tokens


def test_lost_reports_cost_few_tokens():
    fleet = build_fleet()
    fleet.is_reporting = False
    fleet.play(SUBJECTS, WEIGHTS, per_s=95, seconds=30)
    assert fleet.read_again_tokens < 0.05 * fleet.shared_tokens


def test_restart_of_an_engine_costs_few_tokens():
    fleet = build_fleet()
    fleet.play(SUBJECTS, WEIGHTS, per_s=95, seconds=20)
    before = fleet.read_again_tokens
    fleet.shared_tokens = 0
    for number in range(3):
        fleet.restart(f'engine-{number}')
    fleet.play(SUBJECTS, WEIGHTS, per_s=95, seconds=10)
    assert fleet.read_again_tokens - before < 0.05 * fleet.shared_tokens


def test_vms_agree_on_the_owner_without_messages():
    caches = build_caches()
    plans = [build_plan(caches), build_plan(list(reversed(caches)))]
    assert len({next(iter(plan.owners)) for plan in plans}) == 1


def test_owner_is_kept_when_another_engine_leaves():
    caches = build_caches()
    plan = build_plan(caches)
    owner, *_, last = plan.owners
    fewer = [cache for cache in caches if cache.id != last]
    assert next(iter(build_plan(fewer).owners)) == owner


def test_all_engines_fetch_a_prefix_from_one_store():
    plan = build_plan(build_caches())
    sources = {plan.source_of(name) for name in plan.caches}
    assert len(sources) == 1
    assert sources < {store.address for store in STORES}


def test_prefixes_are_spread_over_the_stores():
    caches = build_caches()
    sources = {
        build_plan(caches, prefix=build_prefix(key)).source_of('engine-0')
        for key in SUBJECTS
    }
    assert sources == {store.address for store in STORES}


def test_others_fetch_from_the_owner_where_there_is_no_store():
    plan = build_plan(build_caches(), stores=())
    owner, second, *_ = plan.owners
    assert plan.source_of(second) == plan.caches[owner].address
    assert not plan.source_of(owner)


@pytest.mark.parametrize('changes', [{'weights_version': 2}, None])
def test_owner_that_holds_nothing_is_no_source(changes):
    """It loaded other weights, or is gone."""
    caches = build_caches()
    owner = next(iter(build_plan(caches).owners))
    caches = [
        attrs.evolve(cache, **(changes or {})) if cache.id == owner else cache
        for cache in caches
        if changes or cache.id != owner
    ]
    plan = build_plan(caches, stores=())
    address = f'10.1.0.{owner.split("-")[1]}:1'
    others = [cache.id for cache in caches if cache.id != owner]
    assert all(plan.source_of(other) != address for other in others)


def test_request_without_any_source_reads():
    plan = build_plan(build_caches(1), stores=())
    assert not plan.source_of('engine-0')
    assert not plan.save_address('engine-0')


def test_engines_of_other_zones_fetch_what_they_would_read_as_long():
    token_s = PREFILL_S_PER_TOKEN / 2
    plan = build_plan(build_caches(), token_s=token_s)
    assert all(plan.source_of(name) for name in plan.caches)
    plan = build_plan(build_caches(), token_s=1.1 * token_s)
    zones = {
        plan.caches[name].zone for name in plan.caches if plan.source_of(name)
    }
    assert zones == {plan.store.zone}


def test_slow_link_makes_no_fetch_worth_it():
    plan = build_plan(build_caches(), token_s=1.0)
    assert not any(plan.source_of(name) for name in plan.caches)
    other = list(plan.owners)[1]
    assert plan.read_tokens(other) == build_prefix().tokens


@pytest.mark.parametrize(('stores', 'share'), [(STORES, 0.1), ((), 1)])
def test_new_cache_reads_or_fetches(stores, share):
    new = build_plan(
        build_caches(filled_since_s=0.0), stores=stores, saved_versions={1}
    )
    old = build_plan(build_caches(), stores=stores, saved_versions={1})
    owner = next(iter(new.owners))
    assert old.read_tokens(owner) == 0
    expected = pytest.approx(share * build_prefix().tokens, abs=1)
    assert new.read_tokens(owner) == expected


def test_prefix_that_no_store_got_is_read_and_saved():
    unsaved = build_plan(build_caches(), saved_versions={2})
    saved = build_plan(build_caches(), saved_versions={1})
    for name in unsaved.caches:
        assert unsaved.read_tokens(name) == build_prefix().tokens
        assert unsaved.save_address(name) == unsaved.source_of(name)
        assert not saved.save_address(name)


@pytest.mark.parametrize('stores', [STORES, ()])
def test_request_without_a_shared_prefix_moves_nothing(stores):
    prefix = SharedPrefix(key='a1', tokens=0, prompt_tokens=9000)
    plan = build_plan(build_caches(), prefix=prefix, stores=stores)
    for name in plan.caches:
        assert not plan.source_of(name)
        assert not plan.save_address(name)
    assert plan.read_tokens(next(iter(plan.owners))) == 0


def test_owner_with_too_much_load_takes_none():
    caches = build_caches()
    owner, second, *_ = build_plan(caches).owners
    attempts = {cache.id: 2 for cache in caches} | {owner: 12}
    plan = build_plan(caches, load=PrefixLoad(now_s=0.0, attempts=attempts))
    assert next(iter(plan.owners)) == second
    assert plan.copy_cost_tokens(second) == 0
    assert plan.copy_cost_tokens(owner) > 0


def test_copies_cost_more_the_later_an_engine_comes():
    plan = build_plan(build_caches())
    costs = [plan.copy_cost_tokens(name) for name in plan.owners]
    assert costs[0] == 0
    assert costs == sorted(costs)


@pytest.mark.parametrize('others', [0, 4, 400])
def test_prefix_asked_for_twice_is_not_hot(others):
    popularity = PrefixPopularity()
    for number in range(others):
        popularity.record(f'other-{number}', 10.0)
    popularity.record('key', 10.0)
    assert popularity.replicas('key', 30, 10.1) == 1


def test_prefix_with_a_third_of_the_requests_soon_has_engines_for_it():
    popularity = PrefixPopularity()
    for number in range(18):
        popularity.record(f'other-{number}', 10 + number / 4)
        if number % 2:
            popularity.record('hot', 10 + number / 4)
    assert 10 <= popularity.replicas('hot', 30, 14.5) < 30


def test_popularity_forgets_rare_prefixes():
    popularity = PrefixPopularity()
    for number in range(3000):
        popularity.record(f'shared/{number}', number / 100)
        popularity.record('hot', number / 100)
    assert len(popularity.counts) <= 512
    assert popularity.replicas('hot', 30, 30.0) > 10


def find_since_s(caches, incarnation, weights_version, now_s) -> float:
    """Return since when an engine is taken to fill its cache."""
    return caches.find(
        'e',
        incarnation,
        weights_version,
        address='10.1.0.1:1',
        zone=ZONES[0],
        now_s=now_s,
    ).filled_since_s


def test_cache_is_filled_anew_after_a_restart_or_new_weights():
    caches = EngineCaches(started_s=0)
    assert find_since_s(caches, 1, 1, 1.0) == float('-inf')
    assert find_since_s(caches, 1, 2, 10.0) == 10
    assert find_since_s(caches, 1, 2, 12.0) == 10
    assert find_since_s(caches, 2, 2, 13.0) == 13
    caches.retain(('e',))
    assert find_since_s(caches, 2, 2, 20.0) == 13


def test_engines_that_are_gone_are_forgotten():
    caches = EngineCaches(started_s=0)
    for number in range(1000):
        caches.find(f'e{number}', 1, 1, address='', zone='', now_s=number)
        caches.retain((f'e{number}',))
    assert len(caches.known) < 100
    assert 'e999' in caches.known
