"""Describe a queued job to the fair order."""

from types import MappingProxyType
from typing import Any

import attrs

from arbutusbay.policy._job import Job
from arbutusbay.state import Urgency

_MAX_AGE_S = 3.0
_MIN_SHARE = 0.01
_LEVELS = MappingProxyType({Urgency.URGENT: 0, Urgency.NORMAL: 1})


@attrs.define(kw_only=True, eq=False)
class QueuedJob:
    """Hold a queued job and ``caller_data``, opaque data of its caller."""

    job: Job
    caller_data: Any

    @property
    def team(self) -> str:
        """Return the name of the team."""
        return self.job.team

    @property
    def priority_level(self) -> int:
        """Return the urgency, 0 for the most urgent."""
        return _LEVELS[self.job.urgency]

    @property
    def weighted_work(self) -> float:
        """Return the work in tokens over the share of the team."""
        return self.job.cost_tokens / max(self.job.team_share, _MIN_SHARE)

    @property
    def size_class(self) -> int:
        """Return 1 for a long job, 0 for a short one."""
        return int(self.job.is_long)

    @property
    def arrived_s(self) -> float:
        """Return when the job arrived."""
        return self.job.arrived_s

    @property
    def start_due_s(self) -> float:
        """Return by when to start it: short jobs first until long ones age."""
        grace_s = _MAX_AGE_S if self.job.is_long else 0
        return self.job.arrived_s + grace_s

    @property
    def has_returned(self) -> bool:
        """Return that no job is known to have come back."""
        return False

    def is_overdue(self, now_s: float) -> bool:
        """Return whether a normal job is over the age limit.

        Urgent jobs need none: they come first.
        """
        is_normal = self.job.urgency is Urgency.NORMAL
        return is_normal and now_s - self.job.arrived_s > _MAX_AGE_S
