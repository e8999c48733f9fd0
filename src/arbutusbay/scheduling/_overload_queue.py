"""Order waiting requests when more work arrives than engines can do.

If all wait in the order of arrival, all become late together. So those
that can still be on time go first, and those that can't any more take one
turn in a few, so that long prompts are never starved.
"""

from collections.abc import Iterator

import attrs

_LATE_TURN = 4


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """Hold when a request arrived, should start and must end.

    ``service_s`` is the predicted time to its first event on a free
    engine; a lower ``rank`` goes first. Times are seconds on one clock.
    """

    rank: int
    arrived_s: float
    target_s: float
    end_s: float
    service_s: float

    def is_on_time(self, now_s: float) -> bool:
        """Tell whether the first event may still come on time."""
        return now_s + self.service_s <= self.target_s

    def is_servable(self, now_s: float) -> bool:
        """Tell whether an answer may still come before the end."""
        return now_s + self.service_s < self.end_s


class OverloadQueue:
    """Hold the requests that wait for an engine."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[QueuedRequest] = []
        self.started = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiting)

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        self.waiting.append(request)

    def remove(self, request: QueuedRequest, *, is_started: bool) -> None:
        """Take a request out, because it was started or gave up."""
        self.waiting.remove(request)
        if is_started:
            self.started += 1

    def in_order(self, now_s: float) -> Iterator[QueuedRequest]:
        """Yield the requests in the order to try them."""
        on_time = [
            request for request in self.waiting if request.is_on_time(now_s)
        ]
        late = [
            request for request in self.waiting if not request.is_on_time(now_s)
        ]
        on_time.sort(key=_urgency)
        late.sort(key=_age)
        if self.started % _LATE_TURN == 0:
            yield from late
            yield from on_time
        else:
            yield from on_time
            yield from late

    def unservable(self, now_s: float) -> list[QueuedRequest]:
        """Return the requests that can't be answered in time any more."""
        return [
            request
            for request in self.waiting
            if not request.is_servable(now_s)
        ]


def _urgency(request: QueuedRequest) -> tuple[int, float]:
    return request.rank, request.target_s


def _age(request: QueuedRequest) -> float:
    return request.arrived_s
