"""Decide whether a failed attempt is retried, by its outcome."""

import enum

import attrs


class AttemptOutcome(enum.StrEnum):
    """Classify an attempt that returned no complete response.

    ``NOT_SENT``: no byte of the request was sent. ``REJECTED``: the backend
    server reported that it did not execute the request. ``UNKNOWN``: the
    request may have been executed. ``WITHDRAWN``: so it may, but this VM
    aborted the attempt for a reason that is no fault of the backend server.
    ``MOVED``: so it may, but this VM aborted the attempt at a silent backend
    server after another one had accepted it. ``RAN_AND_FAILED``: the
    backend server executed the request and reported a failure.
    """

    NOT_SENT = 'not_sent'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    WITHDRAWN = 'withdrawn'
    MOVED = 'moved'
    RAN_AND_FAILED = 'ran_and_failed'


class ResponseProgress(enum.StrEnum):
    """Classify how far the response of a failed attempt had come.

    ``NOT_STARTED``: no head was received. ``STARTING``: the head was, but no
    part of the body, or its first part only a moment ago. ``UNDERWAY``: parts
    of the body were received for longer.
    """

    NOT_STARTED = 'not_started'
    STARTING = 'starting'
    UNDERWAY = 'underway'


class RetryAction(enum.StrEnum):
    """Name the action after a failed attempt.

    ``SEND_ELSEWHERE``: send the request to another backend server, without
    using a token of the retry budget. ``RETRY_WITHIN_BUDGET``: retry if the
    retry budget has a token. ``RETRY_ONCE_COVERED``: retry as soon as the retry
    budget has one. ``RETURN_FAILURE``: return the failure to the client.
    """

    SEND_ELSEWHERE = 'send_elsewhere'
    RETRY_WITHIN_BUDGET = 'retry_within_budget'
    RETRY_ONCE_COVERED = 'retry_once_covered'
    RETURN_FAILURE = 'answer'


@attrs.frozen(kw_only=True)
class AttemptCounts:
    """Count the failed attempts of one request.

    ``possible_executions`` counts attempts that may have been executed,
    ``unexecuted_attempts`` those that certainly were not.
    """

    possible_executions: int
    unexecuted_attempts: int


_MAX_UNEXECUTED_ATTEMPTS = 6


def choose_retry_action(
    outcome: AttemptOutcome,
    count: AttemptCounts,
    *,
    is_retryable: bool,
    max_attempts: int,
) -> RetryAction:
    """Return the action after an attempt that ended with ``outcome``.

    A request that may have been executed is retried only if it
    ``is_retryable``, and at most ``max_attempts`` backend servers may execute
    it. After an unknown outcome one more server is allowed, because the last
    one may only have stopped responding; a request that failed on execution
    would fail again. A moved request has its next place and its token of the
    retry budget already. An attempt that was certainly not executed is followed
    by another one until there were ``_MAX_UNEXECUTED_ATTEMPTS`` of them, or
    without such a limit if an earlier one may have been and the request
    ``is_retryable``: it can't be refused any more.
    """
    is_owed = is_retryable and not was_certainly_not_executed(count)
    match outcome:
        case AttemptOutcome.MOVED:
            return RetryAction.SEND_ELSEWHERE
        case AttemptOutcome.NOT_SENT:
            next_action = RetryAction.SEND_ELSEWHERE
            return _unless_exhausted(count, next_action, is_owed=is_owed)
        case AttemptOutcome.REJECTED:
            next_action = RetryAction.RETRY_WITHIN_BUDGET
            return _unless_exhausted(count, next_action, is_owed=is_owed)
        case AttemptOutcome.UNKNOWN | AttemptOutcome.WITHDRAWN:
            return _retry_if(
                is_retryable and count.possible_executions <= max_attempts
            )
        case AttemptOutcome.RAN_AND_FAILED:
            return _retry_if(
                is_retryable and count.possible_executions < max_attempts
            )


def _unless_exhausted(
    count: AttemptCounts, action: RetryAction, *, is_owed: bool
) -> RetryAction:
    if not is_owed and count.unexecuted_attempts >= _MAX_UNEXECUTED_ATTEMPTS:
        return RetryAction.RETURN_FAILURE
    return action


def _retry_if(may_retry: bool) -> RetryAction:
    if may_retry:
        return RetryAction.RETRY_WITHIN_BUDGET
    return RetryAction.RETURN_FAILURE


def was_certainly_not_executed(count: AttemptCounts) -> bool:
    """Return whether it is certain that no attempt was executed."""
    return count.possible_executions == 0
