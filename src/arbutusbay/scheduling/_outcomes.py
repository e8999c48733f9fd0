"""Decide what follows an attempt, from a closed table of outcomes."""

import enum

import attrs

from arbutusbay.fleet import RequestKind


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


MAX_REJECTIONS = 6


def next_step(
    outcome: Outcome,
    kind: RequestKind,
    count: AttemptCount,
    max_attempts: int,
) -> NextStep:
    """Return what follows ``outcome``."""
    match outcome:
        case Outcome.NOT_SENT:
            return _unless_exhausted(count, NextStep.SEND_ELSEWHERE)
        case Outcome.REJECTED:
            return _unless_exhausted(count, NextStep.RETRY_WITHIN_BUDGET)
        case Outcome.UNKNOWN | Outcome.RAN_AND_FAILED:
            may_repeat = kind is RequestKind.IDEMPOTENT
            if may_repeat and count.runs < max_attempts:
                return NextStep.RETRY_WITHIN_BUDGET
            return NextStep.ANSWER


def _unless_exhausted(count: AttemptCount, step: NextStep) -> NextStep:
    if count.rejections >= MAX_REJECTIONS:
        return NextStep.ANSWER
    return step


def is_known_not_run(count: AttemptCount) -> bool:
    """Tell whether no attempt of the request can have run."""
    return count.runs == 0
