"""Decide what a process that was asked to stop still passes on.

A request is sent to a backend server only if its answer can be complete
before the process ends. All times are in seconds on the clock that the caller
uses for the whole stop.
"""

import attrs

from arbutusbay.errors import ErrorKind, Failure

# A load balancer that probes once a second takes a VM out after two misses.
_FULL_NOTICE_S = 2.6
_NOTICE_SHARE = 1 / 3
_FULL_EXIT_MARGIN_S = 0.6
_EXIT_MARGIN_SHARE = 0.15
_ANSWER_SHARE = 1 / 3


@attrs.frozen(kw_only=True)
class PlannedStop:
    """Hold the moments of one stop.

    New requests are taken until ``notice_end_s``. What is in progress at
    ``requests_end_s`` is ended, and has until ``exit_s`` to answer.
    """

    began_s: float
    notice_end_s: float
    requests_end_s: float
    exit_s: float

    def takes_new_requests(self, now_s: float) -> bool:
        """Return whether a load balancer may still send requests here."""
        return now_s < self.notice_end_s

    def time_left_s(self, now_s: float) -> float:
        """Return how long a request that is sent now may take."""
        return self.requests_end_s - now_s


@attrs.frozen(kw_only=True)
class TimeNeed:
    """Describe how long a request may take.

    ``received_s`` is when its last byte arrived, ``deadline_s`` when it is over
    at the latest, ``expected_s`` how long its answer probably takes.
    """

    received_s: float
    deadline_s: float
    expected_s: float


def plan_stop(began_s: float, grace_s: float) -> PlannedStop:
    """Return the moments of a stop whose process is killed after ``grace_s``.

    In a short grace period requests in progress have most of it.
    """
    margin_s = min(_FULL_EXIT_MARGIN_S, grace_s * _EXIT_MARGIN_SHARE)
    end_s = began_s + grace_s - margin_s
    return PlannedStop(
        began_s=began_s,
        notice_end_s=began_s + min(_FULL_NOTICE_S, grace_s * _NOTICE_SHARE),
        requests_end_s=end_s,
        exit_s=end_s + margin_s * _ANSWER_SHARE,
    )


def plan_drain(
    began_s: float, *, notice_s: float, limit_s: float
) -> PlannedStop:
    """Return the moments of a stop with a given notice and limit after it."""
    margin_s = min(_FULL_EXIT_MARGIN_S, limit_s * _EXIT_MARGIN_SHARE)
    notice_end_s = began_s + notice_s
    return PlannedStop(
        began_s=began_s,
        notice_end_s=notice_end_s,
        requests_end_s=notice_end_s + limit_s - margin_s,
        exit_s=notice_end_s + limit_s,
    )


def can_answer_in_time(stop: PlannedStop, need: TimeNeed, now_s: float) -> bool:
    """Return whether a request that is sent now is answered before the end.

    One that came whole while new requests were taken may rely on how long an
    answer probably takes; a later one only on its deadline, as its client had
    another process to go to.
    """
    left_s = stop.time_left_s(now_s)
    if need.deadline_s - now_s <= left_s:
        return True
    return (
        stop.takes_new_requests(need.received_s) and need.expected_s <= left_s
    )


def refuse_in_stop(
    stop: PlannedStop | None,
    need: TimeNeed,
    now_s: float,
    *,
    point: str,
    may_have_run: bool = False,
) -> Failure | None:
    """Return a failure unless the request may be sent now.

    ``point`` names for people where on its way the request was found.
    """
    if stop is None or can_answer_in_time(stop, need, now_s):
        return None
    return draining_failure(point, may_have_run=may_have_run)


def draining_failure(point: str, *, may_have_run: bool) -> Failure:
    """Return the failure of a request that the stop leaves no time for."""
    return Failure(
        kind=ErrorKind.OUTCOME_UNKNOWN if may_have_run else ErrorKind.DRAINING,
        detail=f'the VM is shutting down ({point})',
        retry_after_s=0,
    )
