"""Expose the decision what a process that stops still passes on."""

from arbutusbay._planned_stop import (
    PlannedStop,
    TimeNeed,
    can_answer_in_time,
    plan_stop,
    refuse_in_stop,
)

__all__ = (
    'PlannedStop',
    'TimeNeed',
    'can_answer_in_time',
    'plan_stop',
    'refuse_in_stop',
)
