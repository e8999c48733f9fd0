"""Decide which changes of a topic a VM can pass on."""

import attrs

from arbutusbay.platform import StorePosition


@attrs.frozen(kw_only=True)
class Coverage:
    """Hold between which positions all changes of a topic are known.

    A removal leaves no trace in the newest records of all keys. So a VM that
    has read these, to ``end``, has no change from before ``first_offset``. Both
    are of one era.
    """

    first_offset: int
    end: StorePosition

    def has_changes_since(self, position: StorePosition | None) -> bool:
        """Return whether all changes from ``position`` on are known.

        A VM whose records end at another position needs all records.
        """
        return (
            position is not None
            and position.era == self.end.era
            and position.offset >= self.first_offset
        )

    def extend(self, end: StorePosition, *, is_complete: bool) -> 'Coverage':
        """Return the coverage after records up to ``end`` of the same era.

        If they are the newest of all keys, what came and went before ``end``
        is unknown.
        """
        if end.offset <= self.end.offset:
            return self
        return Coverage(
            first_offset=end.offset if is_complete else self.first_offset,
            end=end,
        )


def cover_all_keys(end: StorePosition) -> Coverage:
    """Return the coverage after a read of the newest record of each key."""
    return Coverage(first_offset=end.offset, end=end)
