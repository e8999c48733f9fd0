"""Test the order in which queued requests are tried."""

import collections

import pytest

from arbutusbay.fairness import FairQueue
from arbutusbay.policy import Job, QueuedJob
from arbutusbay.state import Urgency

_NOW_S = 100.0


def _build_waiting(
    team: str,
    *,
    urgency: Urgency = Urgency.URGENT,
    tokens: int = 100,
    age_s: float = 0,
    share: float = 1.0,
) -> QueuedJob:
    job = Job(
        id=team,
        team=team,
        route='m',
        pool='p',
        urgency=urgency,
        hashes=(),
        block_tokens=16,
        prompt_tokens=tokens,
        max_tokens=1,
        arrived_s=_NOW_S - age_s,
        deadline_s=_NOW_S + 10,
        team_share=share,
    )
    return QueuedJob(job=job, caller_data=None)


def _start_next(queue: FairQueue) -> QueuedJob:
    first = next(queue.heads(_NOW_S))
    queue.remove(first, was_placed=True)
    return first


def test_urgent_precedes_normal():
    queue = FairQueue()
    queue.push(_build_waiting('a', urgency=Urgency.NORMAL))
    queue.push(_build_waiting('b'))
    assert _start_next(queue).job.team == 'b'


def test_short_precedes_long_until_long_has_aged():
    queue = FairQueue()
    queue.push(_build_waiting('a', tokens=9000))
    queue.push(_build_waiting('a'))
    assert not _start_next(queue).job.is_long
    queue.push(_build_waiting('b', tokens=9000, age_s=60))
    queue.push(_build_waiting('b'))
    order = [_start_next(queue).job.is_long for _ in range(3)]
    assert order.count(True) == 2


def test_teams_are_served_in_proportion_to_share():
    queue = FairQueue()
    for _ in range(60):
        queue.push(_build_waiting('large', share=2.0))
        queue.push(_build_waiting('small', share=1.0))
    started = collections.Counter(
        _start_next(queue).job.team for _ in range(30)
    )
    assert started['large'] == pytest.approx(20, abs=1)


def test_backlog_of_aged_normal_work_does_not_starve_urgent():
    queue = FairQueue()
    for _ in range(50):
        queue.push(_build_waiting('a', urgency=Urgency.NORMAL, age_s=60))
    for _ in range(20):
        queue.push(_build_waiting('b'))
    started = [_start_next(queue).job.urgency for _ in range(20)]
    assert started.count(Urgency.URGENT) >= 15
    assert Urgency.NORMAL in started


def test_small_team_waits_for_its_own_backlog_only():
    queue = FairQueue()
    for _ in range(100):
        queue.push(_build_waiting('flood'))
    small = _build_waiting('small')
    queue.push(small)
    assert list(queue.in_start_order(_NOW_S)).index(small) <= 1


# Guards against a prediction for an order other than that of the starts.
@pytest.mark.parametrize('started', [0, 3, 10])
def test_predicted_order_is_that_of_the_starts(started):
    queue = FairQueue()
    for number in range(12):
        queue.push(_build_waiting('large', share=2.0))
        queue.push(_build_waiting('small', tokens=100 + number))
        queue.push(_build_waiting('late', urgency=Urgency.NORMAL))
        queue.push(_build_waiting('small', tokens=9000))
    for _ in range(started):
        _start_next(queue)
    predicted = list(queue.in_start_order(_NOW_S))
    assert len(predicted) == len(queue)
    assert predicted == [_start_next(queue) for _ in range(len(queue))]
