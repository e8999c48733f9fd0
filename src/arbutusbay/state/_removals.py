"""Remember which resources were deleted lately, to send only changes."""

from collections import deque
from collections.abc import Iterable

import attrs

from arbutusbay.state._config import ConfigState, ResourceId

_MAX_REMOVALS = 1000


@attrs.frozen(kw_only=True)
class Removal:
    """Hold a deleted resource and an offset at which it was gone."""

    id: ResourceId
    offset: int


class Removals:
    """Keep the deletions after ``complete_after``, oldest first."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.kept: deque[Removal] = deque()
        self.complete_after: int | None = None

    def note(self, before: ConfigState, after: ConfigState) -> None:
        """Take up the step from one state in force to the next."""
        if self.complete_after is None:
            self.complete_after = after.offset
            return
        self.kept.extend(
            Removal(id=resource_id, offset=after.offset)
            for resource_id in before.resources
            if resource_id not in after.resources
        )
        while len(self.kept) > _MAX_REMOVALS:
            self.complete_after = self.kept.popleft().offset

    def covers(self, offset: int) -> bool:
        """Tell whether all deletions after ``offset`` are kept."""
        return self.complete_after is not None and offset >= self.complete_after

    def since(self, offset: int) -> Iterable[ResourceId]:
        """Return what was deleted after ``offset``."""
        return [removal.id for removal in self.kept if removal.offset > offset]
