"""Decide what follows an attempt, from a closed table of outcomes."""

import enum

import attrs


class Outcome(enum.StrEnum):
    """Say what is known of an attempt that gave no whole answer.

    ``NOT_SENT``: no byte of the request left. ``REJECTED``: the backend
    server said that it has not run. ``UNKNOWN``: it may have run.
    ``RAN_AND_FAILED``: the backend server ran it and said that it failed.
    """

    NOT_SENT = 'not_sent'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    RAN_AND_FAILED = 'ran_and_failed'


class NextStep(enum.StrEnum):
    """Say what to do after an attempt."""

    SEND_ELSEWHERE = 'send_elsewhere'
    RETRY_WITHIN_BUDGET = 'retry_within_budget'
    ANSWER = 'answer'


@attrs.frozen(kw_only=True)
class AttemptCount:
    """Count what one request has used up.

    ``runs`` are attempts that may have run; ``rejections`` are attempts
    that certainly have not.
    """

    runs: int
    rejections: int


_MAX_REJECTIONS = 6


def next_step(
    outcome: Outcome,
    count: AttemptCount,
    *,
    is_repeatable: bool,
    max_attempts: int,
) -> NextStep:
    """Return what follows ``outcome``.

    ``max_attempts`` bounds the backend servers that may run the request.
    One that was silent may be asked once more; one that failed would fail
    again.
    """
    match outcome:
        case Outcome.NOT_SENT:
            return _unless_exhausted(count, NextStep.SEND_ELSEWHERE)
        case Outcome.REJECTED:
            return _unless_exhausted(count, NextStep.RETRY_WITHIN_BUDGET)
        case Outcome.UNKNOWN:
            return _if(is_repeatable and count.runs <= max_attempts)
        case Outcome.RAN_AND_FAILED:
            return _if(is_repeatable and count.runs < max_attempts)


def _unless_exhausted(count: AttemptCount, step: NextStep) -> NextStep:
    if count.rejections >= _MAX_REJECTIONS:
        return NextStep.ANSWER
    return step


def _if(may_retry: bool) -> NextStep:
    if may_retry:
        return NextStep.RETRY_WITHIN_BUDGET
    return NextStep.ANSWER


def is_known_not_run(count: AttemptCount) -> bool:
    """Tell whether no attempt of the request can have run."""
    return count.runs == 0
