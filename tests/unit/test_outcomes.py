"""Check the action that follows each outcome of an attempt."""

import pytest

from arbutusbay.scheduling import (
    AttemptCount,
    NextStep,
    Outcome,
    is_known_not_run,
    next_step,
)


@pytest.mark.parametrize(
    ('outcome', 'runs', 'is_repeatable', 'expected'),
    [
        (Outcome.NOT_SENT, 0, False, NextStep.SEND_ELSEWHERE),
        (Outcome.NOT_SENT, 1, True, NextStep.SEND_ELSEWHERE),
        (Outcome.REJECTED, 0, False, NextStep.RETRY_WITHIN_BUDGET),
        (Outcome.UNKNOWN, 1, False, NextStep.ANSWER),
        (Outcome.UNKNOWN, 1, True, NextStep.RETRY_WITHIN_BUDGET),
        (Outcome.UNKNOWN, 2, True, NextStep.RETRY_WITHIN_BUDGET),
        (Outcome.UNKNOWN, 3, True, NextStep.ANSWER),
        (Outcome.RAN_AND_FAILED, 1, False, NextStep.ANSWER),
        (Outcome.RAN_AND_FAILED, 1, True, NextStep.RETRY_WITHIN_BUDGET),
        (Outcome.RAN_AND_FAILED, 2, True, NextStep.ANSWER),
    ],
)
def test_next_step(outcome, runs, is_repeatable, expected):
    step = next_step(
        outcome,
        AttemptCount(runs=runs, rejections=1),
        is_repeatable=is_repeatable,
        max_attempts=2,
    )
    assert step is expected


@pytest.mark.parametrize('outcome', [Outcome.NOT_SENT, Outcome.REJECTED])
def test_rejections_are_limited(outcome):
    step = next_step(
        outcome,
        AttemptCount(runs=0, rejections=6),
        is_repeatable=True,
        max_attempts=2,
    )
    assert step is NextStep.ANSWER


def test_request_without_runs_is_known_not_run():
    assert is_known_not_run(AttemptCount(runs=0, rejections=3))
    assert not is_known_not_run(AttemptCount(runs=1, rejections=0))
