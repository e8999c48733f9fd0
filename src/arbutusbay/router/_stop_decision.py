"""Refuse calls that can't be answered before this router ends."""

import math
import time

from arbutusbay.errors import Failure
from arbutusbay.planned_stop import TimeNeed, refuse_in_stop
from arbutusbay.policy import Job
from arbutusbay.router._shared_state import RouterState

_EXPECTED_SERVICE_FACTOR = 1.5


def refuse_call_for_stop(
    shared_state: RouterState,
    pool: str,
    *,
    received_s: float,
    deadline_s: float,
) -> Failure | None:
    """Return a failure if a call to a service must not be sent any more."""
    return refuse_in_stop(
        shared_state.stop,
        TimeNeed(
            received_s=received_s,
            deadline_s=deadline_s,
            expected_s=shared_state.durations.expected_s(pool),
        ),
        time.monotonic(),
        point='before it is sent',
    )


def refuse_job_for_stop(
    shared_state: RouterState, job: Job, *, may_have_run: bool
) -> Failure | None:
    """Return a failure if a completion must not be sent any more.

    Its route limits only the time to its next piece of output.
    """
    service_s = shared_state.pool_state(job.pool).service_s
    return refuse_in_stop(
        shared_state.stop,
        TimeNeed(
            received_s=job.received_s,
            deadline_s=math.inf,
            expected_s=service_s * _EXPECTED_SERVICE_FACTOR,
        ),
        time.monotonic(),
        point='before it is sent',
        may_have_run=may_have_run,
    )
