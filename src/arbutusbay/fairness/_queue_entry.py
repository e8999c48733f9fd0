"""Define what the fair order has to know of a waiting request."""

from typing import Protocol

_OUTPUT_TOKEN_WEIGHT = 4


class QueueEntry(Protocol):
    """Describe a waiting request to the fair order.

    Times are seconds on one clock.
    """

    @property
    def team(self) -> str:
        """Return the name of its team, empty if it has none."""

    @property
    def priority_level(self) -> int:
        """Return its urgency; a lower level is more urgent."""

    @property
    def weighted_work(self) -> float:
        """Return its work in tokens over the share of its team."""

    @property
    def size_class(self) -> int:
        """Return its size class; classes may fit different places."""

    @property
    def arrived_s(self) -> float:
        """Return when it arrived."""

    @property
    def start_due_s(self) -> float:
        """Return by when it is to start; orders those of one team."""

    @property
    def has_returned(self) -> bool:
        """Return whether it was refused before and came back as told."""

    def is_overdue(self, now_s: float) -> bool:
        """Return whether it can no longer meet its target."""


def work_tokens(prompt_tokens: int, output_tokens: int) -> int:
    """Return the work of a request, in prompt tokens."""
    return prompt_tokens + _OUTPUT_TOKEN_WEIGHT * output_tokens
