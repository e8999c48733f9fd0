"""Expose the decision what a process that stops still passes on."""

from arbutusbay._planned_stop import (
    PlannedStop,
    TimeNeed,
    can_answer_in_time,
    draining_failure,
    plan_drain,
    plan_stop,
    refuse_in_stop,
)
from arbutusbay._response_durations import ResponseDurations

__all__ = (
    'PlannedStop',
    'ResponseDurations',
    'TimeNeed',
    'can_answer_in_time',
    'draining_failure',
    'plan_drain',
    'plan_stop',
    'refuse_in_stop',
)
