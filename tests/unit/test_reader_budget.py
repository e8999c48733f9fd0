"""Check what is held for clients that read slowly, on data alone.

200 clients read nothing of their streams at a VM with 136 MB, which may take
80 MB with them and about 50 MB without (issue 60, part 7).
"""

from contextlib import ExitStack

import pytest

from arbutusbay.reader_budget import ReaderBudget
from arbutusbay.turns import longest_turn_s

_MEMORY_BYTES = 136_000_000
_TOTAL_BYTES = 13_600_000
_READERS = 200
_SMALLEST_BYTES = 4096
_QUICK_S = 1.0
_STEPS_OF_A_REQUEST = 8


def allowed_of_all(count: int, waited_s: float) -> int:
    """Return what so many clients may leave unread together."""
    budget = ReaderBudget(total_bytes=_TOTAL_BYTES)
    with ExitStack() as stack:
        for _ in range(count):
            stack.enter_context(budget.waiting())
        return count * budget.allowed_bytes(waited_s)


@pytest.mark.parametrize('waited_s', [0.0, 3.0, 600.0])
@pytest.mark.parametrize('count', [1, 3, _READERS, 3000])
def test_readers_stay_within_the_budget_together(count, waited_s):
    assert allowed_of_all(count, waited_s) <= _TOTAL_BYTES


# Guards against a server that is not read at all until its patience ends.
def test_a_client_that_takes_nothing_may_leave_more_each_second():
    budget = ReaderBudget(total_bytes=_TOTAL_BYTES)
    allowed = [budget.allowed_bytes(second) for second in range(5)]
    assert allowed == sorted(set(allowed))


def test_one_client_never_fills_the_budget():
    budget = ReaderBudget(total_bytes=_TOTAL_BYTES)
    assert budget.allowed_bytes(600.0) < _TOTAL_BYTES / 10


def test_a_client_is_always_allowed_something():
    budget = ReaderBudget(total_bytes=0)
    assert budget.allowed_bytes(0.0) == _SMALLEST_BYTES


def test_what_was_held_is_given_back():
    budget = ReaderBudget(total_bytes=_TOTAL_BYTES)
    with budget.waiting() as first, budget.waiting() as second:
        first.hold(5000)
        second.hold(7000)
        second.hold(3000)
        assert (budget.behind_count, budget.held_bytes) == (2, 8000)
    assert (budget.behind_count, budget.held_bytes) == (0, 0)
    assert budget.wait_count == 2


# A quick request waits in several turns of the event loop.
@pytest.mark.parametrize('count', [1, 10, _READERS])
def test_turns_of_many_streams_leave_time_for_quick_requests(count):
    assert count * longest_turn_s(count) * _STEPS_OF_A_REQUEST < _QUICK_S
