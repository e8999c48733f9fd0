"""Bound what the bodies that a process holds take together.

Each body has a limit of its own; many at once would still fill the memory. A
body may take as many bytes as are left free, so that the longest ones are ended
first, and short ones find room beside any number of them. Bodies that may have
no end have a budget of their own, so that others are not ended for them.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

_MEMORY_RATIO = 0.15
_UNBOUNDED_RATIO = 0.5
_DEFAULT_TOTAL_BYTES = 20_000_000


@attrs.define(kw_only=True)
class ByteBudget:
    """Hold how many bytes all bodies may take, and how many they do."""

    total_bytes: int = _DEFAULT_TOTAL_BYTES
    held_bytes: int = 0

    @contextmanager
    def share(self, *, leaves_room: bool = True) -> Iterator['ByteShare']:
        """Hold the bytes of one body while the context is active.

        Unless it ``leaves_room``, it may take all that is left.
        """
        share = ByteShare(budget=self, leaves_room=leaves_room)
        try:
            yield share
        finally:
            share.hold(0)


@attrs.define(kw_only=True)
class ByteShare:
    """Hold how many bytes one body takes.

    If it ``leaves_room``, as many have to stay free for others.
    """

    budget: ByteBudget
    leaves_room: bool = True
    held_bytes: int = 0

    def hold(self, size_bytes: int) -> bool:
        """Take ``size_bytes`` in place of those before; return if they may.

        The caller ends a body that may not.
        """
        self.budget.held_bytes += size_bytes - self.held_bytes
        self.held_bytes = size_bytes
        free_bytes = self.budget.total_bytes - self.budget.held_bytes
        needed_bytes = size_bytes if self.leaves_room else 0
        return needed_bytes <= free_bytes


BOUNDED_BODIES = ByteBudget()
UNBOUNDED_BODIES = ByteBudget(
    total_bytes=int(_DEFAULT_TOTAL_BYTES * _UNBOUNDED_RATIO)
)


def limit_held_bytes(memory_bytes: int) -> None:
    """Bound the bodies of this process by its ``memory_bytes``."""
    total_bytes = memory_bytes * _MEMORY_RATIO
    BOUNDED_BODIES.total_bytes = int(total_bytes)
    UNBOUNDED_BODIES.total_bytes = int(total_bytes * _UNBOUNDED_RATIO)
