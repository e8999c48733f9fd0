"""Check how limits are read, what requests cost, and single buckets."""

import math
from types import MappingProxyType

import orjson
import pytest

from arbutusbay.fleet import QuotaSpec, QuotaUnit
from arbutusbay.platform import decode_operator_record, parse_request_head
from arbutusbay.quota import (
    Bucket,
    Granted,
    QuotaBounds,
    QuotaOwner,
    QuotaRequest,
    QuotaTerms,
    Refused,
    ShareLender,
    lease_times,
)
from tests.fleet_builders import ODD_NUMBERS, build_configuration

_TEAM = 'jeye930'
_LIMIT = MappingProxyType(
    {
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': 348_977,
        'burst': 300_000,
    }
)
_NUMBERS_OF_NO_LIMIT = tuple(
    odd for odd in ODD_NUMBERS if not isinstance(odd, float) or odd > 2
)

_NOW_S = 100.0
_NEWCOMER = QuotaRequest(cost=5, key=9)


def read_configuration(**fields):
    """Return the configuration with one team that has ``fields``."""
    team = {'name': _TEAM, 'api_keys': ['k'], 'isolated': True, **fields}
    payload = orjson.dumps(build_configuration(tenants=[team]))
    return decode_operator_record('config', payload).unwrap()


def read_quota(**fields):
    """Return the limit of a team that has ``fields``."""
    return read_configuration(**fields).teams_by_api_key['k'].quota


def test_limits_are_read():
    assert read_quota(**_LIMIT) == QuotaSpec(
        unit=QuotaUnit.TOKENS,
        rate_per_s=348_977,
        burst=300_000,
        default_cost=200,
    )
    assert read_quota(rate_per_s=2).unit is QuotaUnit.REQUESTS


@pytest.mark.parametrize('absent', ({}, {'rate_per_s': 0}, {'burst': 5}))
def test_no_rate_is_no_limit(absent):
    assert read_quota(**absent) is None


@pytest.mark.parametrize('field', ('rate_per_s', 'burst', 'uncached_tokens'))
@pytest.mark.parametrize('odd', _NUMBERS_OF_NO_LIMIT)
def test_odd_limits_are_named_and_the_rest_holds(field, odd):
    configuration = read_configuration(**{**_LIMIT, field: odd})
    assert configuration.teams_by_api_key['k'].quota is None
    assert len(configuration.problems) == 1
    assert _TEAM in configuration.problems[0]
    assert field in configuration.problems[0]


@pytest.mark.parametrize('unit', ('bytes', 5, None, ['tokens'], {}))
def test_unknown_unit_is_named(unit):
    configuration = read_configuration(**{**_LIMIT, 'unit': unit})
    assert 'unit' in configuration.problems[0]


@pytest.mark.parametrize(
    ('header', 'tokens'),
    (
        ('6300,9', 6309),
        (' 10 , 5', 15),
        ('10', None),
        ('', None),
        ('a,b', None),
        ('-1,5', None),
    ),
)
def test_tokens_of_a_request_are_both_numbers(header, tokens):
    head = parse_request_head({'Token-Counts': header})
    assert head.counted_tokens == tokens


# Guards against a limit that nobody notices not to hold.
def test_tokens_without_a_count_are_named():
    fields = {name: _LIMIT[name] for name in ('unit', 'rate_per_s', 'burst')}
    configuration = read_configuration(**fields)
    assert configuration.teams_by_api_key['k'].quota.default_cost == 0
    assert 'uncached_tokens' in configuration.problems[0]
    fields['uncached_tokens'] = 0
    assert not read_configuration(**fields).problems


# Guards against a limit without a burst or a tolerance that refuses all. Load:
# a team that asks for five times its limit. What it may use at once, a second
# of its rate or one request, is taken from its rate where a window is limited.
@pytest.mark.parametrize('rate_per_s', (0.5, 5, 50))
@pytest.mark.parametrize('window_s', (0, 8))
def test_rate_without_a_burst_is_granted(rate_per_s, window_s):
    bounds = QuotaBounds(window_s=window_s)
    owner = QuotaOwner(bounds=bounds)
    terms = QuotaTerms(version=1, rate_per_s=rate_per_s, burst=0)
    owner.apply_limits({'t': terms}, 0)
    owner.lend('vm-1', 0, until_s=1000)
    grants = ask_often(owner, terms, duration_s=80)
    owed = rate_per_s * 80
    if window_s:
        owed -= 10 * max(rate_per_s, 1)
        per_window = [
            sum(start_s <= at_s < start_s + 8 for at_s in grants)
            for start_s in range(72)
        ]
        assert max(per_window) <= rate_per_s * 8
    assert 0.9 * owed <= len(grants) <= rate_per_s * 80 + 1


def ask_often(owner: QuotaOwner, terms: QuotaTerms, *, duration_s: float):
    """Ask for five times the rate; return when requests were granted."""
    step_s = 0.2 / terms.rate_per_s
    moments_s = [step_s * step for step in range(int(duration_s / step_s))]
    return [
        now_s
        for now_s in moments_s
        if owner.decide('t', terms, QuotaRequest(cost=1), now_s) == Granted()
    ]


def test_request_larger_than_the_limit_is_refused_for_good():
    owner = QuotaOwner(bounds=QuotaBounds(window_s=8))
    terms = QuotaTerms(version=1, rate_per_s=10, burst=10)
    owner.lend('vm-1', 0, until_s=100)
    refused = owner.decide('t', terms, QuotaRequest(cost=11), 50)
    assert refused.is_final


def test_request_as_large_as_the_limit_is_granted_when_all_is_unused():
    owner = QuotaOwner(bounds=QuotaBounds(window_s=8))
    terms = QuotaTerms(version=1, rate_per_s=10, burst=10)
    owner.apply_limits({'t': terms}, 0)
    owner.lend('vm-1', 0, until_s=100)
    assert owner.decide('t', terms, QuotaRequest(cost=10), 2) == Granted()


def test_unused_tokens_end_with_the_lease_of_a_share():
    owner = QuotaOwner(bounds=QuotaBounds(window_s=8), vm_count=2)
    terms = QuotaTerms(version=1, rate_per_s=10, burst=10)
    owner.apply_limits({'t': terms}, 0)
    owner.lend('vm-1', 0, until_s=5)
    owner.lend('vm-2', 0, until_s=100)
    owner.advance(4)
    assert owner.buckets['t'].level == pytest.approx(10)
    owner.advance(5.1)
    assert owner.buckets['t'].level == pytest.approx(5)


def test_request_that_needs_all_shares_is_granted_with_most_of_them():
    owner = QuotaOwner(bounds=QuotaBounds(window_s=8), vm_count=3)
    terms = QuotaTerms(version=1, rate_per_s=1, burst=1)
    owner.apply_limits({'t': terms}, 0)
    owner.lend('vm-1', 0, until_s=100)
    assert not isinstance(
        owner.decide('t', terms, QuotaRequest(cost=1), 9), Granted
    )
    owner.lend('vm-2', 9, until_s=100)
    assert owner.decide('t', terms, QuotaRequest(cost=1), 12) == Granted()
    again = owner.decide('t', terms, QuotaRequest(cost=1), 12.1)
    assert again.retry_after_s == pytest.approx(1.4, abs=0.1)


def test_returning_caller_comes_before_newcomers():
    bucket = Bucket(level=0, capacity=10, rate_per_s=1)
    told = QuotaRequest(cost=1, key=1, patience_s=5)
    refused = bucket.take(told, 0)
    bucket.add(1.1)
    newcomer = QuotaRequest(cost=1, key=2, patience_s=0)
    for _ in range(20):
        bucket.reservations.newcomers.record(has_returned=True)
    assert isinstance(bucket.take(newcomer, 1), Refused)
    assert bucket.take(told, refused.retry_after_s) == Granted()


# Guards against a promise that is dropped: all of these callers were told a
# time, and come back at that time while others ask for all that is there.
def test_early_caller_is_served_at_the_time_it_is_told_then():
    bucket = build_contended_bucket()
    told = QuotaRequest(cost=5, key=1, patience_s=5)
    bucket.take(told, 0)
    refused = bucket.take(told, 0.1)
    due_s = 0.1 + refused.retry_after_s
    bucket.add(due_s * bucket.rate_per_s)
    let_others_take_all(bucket, due_s)
    assert bucket.take(told, due_s) == Granted()


def test_caller_that_returns_on_time_but_is_short_is_served_next_time():
    bucket = build_contended_bucket()
    told = QuotaRequest(cost=5, key=1, patience_s=5)
    first_s = bucket.take(told, 0).retry_after_s
    again = bucket.take(told, first_s)
    assert isinstance(again, Refused)
    due_s = first_s + again.retry_after_s
    bucket.add(again.retry_after_s * bucket.rate_per_s)
    let_others_take_all(bucket, due_s)
    assert bucket.take(told, due_s) == Granted()


def test_two_callers_with_the_same_request_are_both_served_as_told():
    bucket = build_contended_bucket()
    told = QuotaRequest(cost=5, key=1, patience_s=5)
    due_s = [bucket.take(told, 0).retry_after_s for _ in range(2)]
    assert due_s[0] < due_s[1]
    bucket.add(due_s[0] * bucket.rate_per_s)
    let_others_take_all(bucket, due_s[0])
    assert bucket.take(told, due_s[0]) == Granted()
    bucket.add((due_s[1] - due_s[0]) * bucket.rate_per_s)
    let_others_take_all(bucket, due_s[1])
    assert bucket.take(told, due_s[1]) == Granted()


def test_caller_that_repeats_at_once_and_often_leaves_tokens_to_others():
    bucket = build_contended_bucket()
    for step in range(50):
        bucket.take(QuotaRequest(cost=5, key=1, patience_s=5), step / 100)
    refused = bucket.take(_NEWCOMER, 0.5)
    assert refused.retry_after_s < 5


def let_others_take_all(bucket: Bucket, now_s: float) -> None:
    """Let callers who come first ask for more than there is."""
    decisions = [bucket.take(_NEWCOMER, now_s) for _ in range(20)]
    assert isinstance(decisions[-1], Refused)


def build_contended_bucket() -> Bucket:
    """Return an empty bucket whose refused callers return."""
    bucket = Bucket(level=0, capacity=100, rate_per_s=10)
    for _ in range(40):
        bucket.reservations.newcomers.record(has_returned=True)
    return bucket


def test_tokens_of_a_caller_that_stays_away_go_to_others():
    bucket = Bucket(level=0, capacity=10, rate_per_s=1)
    bucket.take(QuotaRequest(cost=1, key=1, patience_s=5), 0)
    bucket.add(1.1)
    newcomer = QuotaRequest(cost=1, key=2)
    assert bucket.take(newcomer, 2) == Granted()


def test_callers_that_never_return_hold_nothing_back():
    bucket = Bucket(level=0, capacity=10, rate_per_s=10)
    granted = 0
    for step in range(2000):
        bucket.add(0.1)
        decision = bucket.take(
            QuotaRequest(cost=1, key=step, patience_s=5), step / 100
        )
        granted += isinstance(decision, Granted)
    assert granted >= 0.95 * 200


def test_wait_is_finite_without_any_share():
    bucket = Bucket()
    refused = bucket.take(QuotaRequest(cost=1), 0)
    assert 0 < refused.retry_after_s < math.inf


# Guards against a share that is lent to two owners, as the answer to an earlier
# release comes after the owner was lent to again.
def test_late_answer_to_a_release_ends_no_later_loan():
    lender = ShareLender(
        own_vm='a', partition=0, window_s=8, last_credit_s=_NOW_S
    )
    times = lease_times(3)
    assert lender.offer('b', _NOW_S, times).lends
    assert lender.owner_to_leave('c', _NOW_S + 0.1) == 'b'
    lender.begin_release()
    assert lender.owner_to_leave('c', _NOW_S + 0.1) is None
    assert not lender.offer('b', _NOW_S + 0.2, times).lends
    again_s = _NOW_S + times.promise_s
    assert lender.offer('b', again_s, times).lends
    lender.record_release('b', is_released=True)
    assert not lender.offer('c', again_s + 0.1, times).lends


# Guards against names that are kept forever, as VMs are replaced by others.
def test_silent_vms_that_are_gone_are_forgotten():
    lender = ShareLender(
        own_vm='a', partition=0, window_s=8, last_credit_s=_NOW_S
    )
    for vm in ('b', 'c'):
        lender.record_silence(vm, _NOW_S)
    lender.forget_others(('a', 'b'))
    assert list(lender.next_probe_s) == ['b']
