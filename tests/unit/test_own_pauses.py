"""Check when what a VM notices after a pause can have come."""

import pytest

from arbutusbay.own_pauses import OwnPauses

_CHECKS_S = (100.0, 100.2, 103.2)


@pytest.fixture
def pauses():
    """Return pauses after a check that revealed one."""
    checked = OwnPauses()
    for moment_s in _CHECKS_S:
        checked.record_check(moment_s)
    return checked


# Guards against a bound that begins where a VM noticed what came in a pause.
@pytest.mark.parametrize('moment_s', [103.2, 103.25])
def test_what_is_noticed_after_a_pause_may_have_come_at_its_start(
    pauses, moment_s
):
    assert pauses.earliest_start_s(moment_s) == pytest.approx(100.2)


def test_pause_counts_before_a_check_reveals_it():
    pauses = OwnPauses(last_check_s=100.0)
    assert pauses.earliest_start_s(102.0) == pytest.approx(100.0)


def test_what_is_noticed_after_another_check_has_just_come(pauses):
    pauses.record_check(103.4)
    assert pauses.earliest_start_s(103.5) == pytest.approx(103.5)


def test_nothing_is_older_without_a_pause():
    pauses = OwnPauses()
    assert pauses.earliest_start_s(50.0) == pytest.approx(50.0)
    pauses.record_check(50.0)
    assert pauses.earliest_start_s(50.1) == pytest.approx(50.1)
