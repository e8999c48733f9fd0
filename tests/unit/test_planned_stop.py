"""Check what a process that stops still passes on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusbay.errors import ErrorKind, RunState
from arbutusbay.planned_stop import (
    TimeNeed,
    can_answer_in_time,
    plan_stop,
    refuse_in_stop,
)

_GRACES_S = (2, 3, 8, 30)
_LONG_S = 1000.0
_SHORT_S = 0.1


def _need(received_s: float, deadline_s: float, expected_s: float) -> TimeNeed:
    return TimeNeed(
        received_s=received_s, deadline_s=deadline_s, expected_s=expected_s
    )


# Guards against bounds that assume one grace period.
@pytest.mark.parametrize('grace_s', _GRACES_S)
def test_moments_follow_from_the_grace_period(grace_s):
    stop = plan_stop(100.0, grace_s)
    assert stop.notice_end_s < 100 + grace_s / 2
    assert 100 + grace_s * 5 / 6 < stop.requests_end_s < stop.exit_s
    assert stop.exit_s < 100 + grace_s


def test_notice_lasts_until_a_probed_vm_is_out_of_rotation():
    for grace_s in (8, 30):
        assert 2 < plan_stop(0, grace_s).notice_end_s < 3


@pytest.mark.parametrize('grace_s', _GRACES_S)
def test_late_request_needs_a_deadline_before_the_end(grace_s):
    stop = plan_stop(0, grace_s)
    late_s = stop.notice_end_s
    end_s = stop.requests_end_s
    assert can_answer_in_time(stop, _need(late_s, end_s, _SHORT_S), late_s)
    assert not can_answer_in_time(
        stop, _need(late_s, end_s + 0.1, _SHORT_S), late_s
    )


@pytest.mark.parametrize('grace_s', _GRACES_S)
def test_early_request_is_sent_while_its_answer_is_expected_in_time(grace_s):
    stop = plan_stop(0, grace_s)
    need = _need(0, _LONG_S, 0.5)
    last_s = stop.requests_end_s - 0.5
    assert can_answer_in_time(stop, need, last_s - 0.01)
    assert not can_answer_in_time(stop, need, last_s + 0.01)


def test_nothing_is_refused_without_a_stop():
    assert not refuse_in_stop(None, _need(0, _LONG_S, _LONG_S), 0, point='')


@pytest.mark.parametrize(
    ('may_have_run', 'kind', 'run_state'),
    [
        (False, ErrorKind.DRAINING, RunState.NOT_RUN),
        (True, ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    ],
)
def test_refusal_is_true(may_have_run, kind, run_state):
    failure = refuse_in_stop(
        plan_stop(0, 8),
        _need(0, _LONG_S, _LONG_S),
        0,
        point='in the queue',
        may_have_run=may_have_run,
    )
    assert (failure.kind, failure.effective_run_state) == (kind, run_state)
    assert failure.retry_after_s == 0
    assert 'in the queue' in failure.detail


@given(
    grace_s=st.floats(1, 100),
    received_s=st.floats(0, 100),
    deadline_s=st.floats(0, 200),
    expected_s=st.floats(0, 200),
    now_s=st.floats(0, 100),
)
def test_what_is_passed_on_ends_in_time_or_came_in_the_notice(
    grace_s, received_s, deadline_s, expected_s, now_s
):
    stop = plan_stop(0, grace_s)
    need = _need(received_s, deadline_s, expected_s)
    if not can_answer_in_time(stop, need, now_s):
        return
    left_s = stop.time_left_s(now_s)
    is_surely_over = deadline_s - now_s <= left_s
    is_early = received_s < min(3.0, grace_s / 3 + 1e-9)
    assert is_surely_over or (is_early and expected_s <= left_s)
