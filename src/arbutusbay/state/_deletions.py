"""Track recent deletions, so that peers can be sent changes only."""

from collections import deque
from collections.abc import Iterable

import attrs

from arbutusbay.state._config import ConfigState, ResourceId

_MAX_DELETIONS = 1000
_MAX_KNOWN_OFFSETS = 1000


@attrs.frozen(kw_only=True)
class Deletion:
    """Hold a deleted resource and the first offset seen without it."""

    id: ResourceId
    offset: int


class DeletionLog:
    """Keep the most recent deletions, oldest first.

    ``complete_after_offset`` is the offset after which no deletion is missing,
    and None before the first state. ``known_offsets`` are those of the last
    states. Between two of them a resource may have come and gone unnoticed.
    """

    def __init__(self) -> None:
        """Create a log that covers no offset yet."""
        self.deletions: deque[Deletion] = deque()
        self.complete_after_offset: int | None = None
        self.known_offsets: deque[int] = deque(maxlen=_MAX_KNOWN_OFFSETS)

    def record_deletions(self, before: ConfigState, after: ConfigState) -> None:
        """Record the deletions between two successive states.

        Drops the oldest ones above the size limit.
        """
        self.known_offsets.append(after.offset)
        if self.complete_after_offset is None:
            self.complete_after_offset = after.offset
            return
        self.deletions.extend(
            Deletion(id=resource_id, offset=after.offset)
            for resource_id in before.resources
            if resource_id not in after.resources
        )
        while len(self.deletions) > _MAX_DELETIONS:
            self.complete_after_offset = self.deletions.popleft().offset

    def covers(self, offset: int) -> bool:
        """Return whether each deletion since the state at ``offset`` is kept.

        The receiver of changes has a state that was known here as well.
        """
        return (
            self.complete_after_offset is not None
            and offset >= self.complete_after_offset
            and offset in self.known_offsets
        )

    def deleted_since(self, offset: int) -> Iterable[ResourceId]:
        """Return the resources deleted after ``offset``.

        Complete only if ``covers(offset)`` is true.
        """
        return [
            deletion.id
            for deletion in self.deletions
            if deletion.offset > offset
        ]
