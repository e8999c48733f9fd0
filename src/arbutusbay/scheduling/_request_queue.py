"""Hold the requests that wait for an engine, in their fair order.

If requests were served in order of arrival, an overload would make each of
them miss its latency target. Requests that can still meet their target are
therefore served first within their urgency.
"""

import attrs

from arbutusbay.fairness import FairQueue


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """Describe a queued request.

    Requests with a lower ``priority_level`` are served first. The first event
    is due at ``first_event_due_s`` and useless after the deadline
    ``deadline_s``; times are seconds on one clock. ``service_s`` is the
    predicted time in seconds to the first event on an idle engine. A request
    is not kept waiting for a start later than ``latest_start_s``, which leaves
    time for the work that its engine does first. ``team``, ``weighted_work``,
    ``size_class`` and ``has_returned`` are those of ``fairness.QueueEntry``.
    ``newcomers_before`` is how many came per place before it did.
    """

    priority_level: int
    arrived_s: float
    first_event_due_s: float
    deadline_s: float
    service_s: float
    latest_start_s: float = float('inf')
    team: str = ''
    weighted_work: float = 0.0
    size_class: int = 0
    has_returned: bool = False
    newcomers_before: float = 0.0

    @property
    def start_due_s(self) -> float:
        """Return by when it must start to meet its target."""
        return self.first_event_due_s - self.service_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the first event can no longer meet the target."""
        return not self.can_meet_target(now_s)

    def can_meet_target(self, now_s: float) -> bool:
        """Return whether the first event can still meet the target."""
        return now_s + self.service_s <= self.first_event_due_s

    def can_meet_deadline(self, now_s: float) -> bool:
        """Return whether the first event can still precede the deadline."""
        return now_s + self.service_s < self.deadline_s


class RequestQueue(FairQueue[QueuedRequest]):
    """Hold the requests that wait for an engine."""

    def expired_requests(self, now_s: float) -> list[QueuedRequest]:
        """Return the requests that can no longer meet their deadline."""
        return [
            request
            for request in self.waiting
            if not request.can_meet_deadline(now_s)
        ]
