"""Check the action that follows each outcome of an attempt."""

import pytest

from arbutusbay.scheduling import (
    AttemptCounts,
    AttemptOutcome,
    RetryAction,
    choose_retry_action,
    was_certainly_not_executed,
)


@pytest.mark.parametrize(
    ('outcome', 'runs', 'is_retryable', 'expected'),
    [
        (AttemptOutcome.NOT_SENT, 0, False, RetryAction.SEND_ELSEWHERE),
        (AttemptOutcome.NOT_SENT, 1, True, RetryAction.SEND_ELSEWHERE),
        (AttemptOutcome.REJECTED, 0, False, RetryAction.RETRY_WITHIN_BUDGET),
        (AttemptOutcome.UNKNOWN, 1, False, RetryAction.RETURN_FAILURE),
        (AttemptOutcome.UNKNOWN, 1, True, RetryAction.RETRY_WITHIN_BUDGET),
        (AttemptOutcome.UNKNOWN, 2, True, RetryAction.RETRY_WITHIN_BUDGET),
        (AttemptOutcome.UNKNOWN, 3, True, RetryAction.RETURN_FAILURE),
        (AttemptOutcome.WITHDRAWN, 1, False, RetryAction.RETURN_FAILURE),
        (AttemptOutcome.WITHDRAWN, 2, True, RetryAction.RETRY_WITHIN_BUDGET),
        (AttemptOutcome.RAN_AND_FAILED, 1, False, RetryAction.RETURN_FAILURE),
        (
            AttemptOutcome.RAN_AND_FAILED,
            1,
            True,
            RetryAction.RETRY_WITHIN_BUDGET,
        ),
        (AttemptOutcome.RAN_AND_FAILED, 2, True, RetryAction.RETURN_FAILURE),
    ],
)
def test_next_step(outcome, runs, is_retryable, expected):
    step = choose_retry_action(
        outcome,
        AttemptCounts(possible_executions=runs, unexecuted_attempts=1),
        is_retryable=is_retryable,
        max_attempts=2,
    )
    assert step is expected


@pytest.mark.parametrize(
    'outcome', [AttemptOutcome.NOT_SENT, AttemptOutcome.REJECTED]
)
def test_rejections_are_limited(outcome):
    step = choose_retry_action(
        outcome,
        AttemptCounts(possible_executions=0, unexecuted_attempts=6),
        is_retryable=True,
        max_attempts=2,
    )
    assert step is RetryAction.RETURN_FAILURE


def test_request_without_runs_is_known_not_run():
    assert was_certainly_not_executed(
        AttemptCounts(possible_executions=0, unexecuted_attempts=3)
    )
    assert not was_certainly_not_executed(
        AttemptCounts(possible_executions=1, unexecuted_attempts=0)
    )


# Guards against an answer that is owed, and given up after six refusals within
# milliseconds; one that is not owed can still be refused.
@pytest.mark.parametrize(
    'outcome', [AttemptOutcome.NOT_SENT, AttemptOutcome.REJECTED]
)
@pytest.mark.parametrize('is_retryable', [False, True])
def test_rejections_of_what_may_have_run_are_not_counted(outcome, is_retryable):
    step = choose_retry_action(
        outcome,
        AttemptCounts(possible_executions=1, unexecuted_attempts=6),
        is_retryable=is_retryable,
        max_attempts=2,
    )
    assert (step is not RetryAction.RETURN_FAILURE) is is_retryable
