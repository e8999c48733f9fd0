"""Decide how much a process holds for clients that read slowly.

What a client has not taken may fill a small buffer at once. Beyond it a little
more is allowed the longer the client takes nothing: the server behind is read
again and again, as it ends a response that stays unread for some seconds. All
clients that are behind share a budget: the more there are, the less each one
may leave unread, but always a few KiB.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

STEP_S = 1.0
_STEP_BYTES = 16_384
_FIRST_BYTES = 32_768
_REQUEST_BYTES = 262_144
_LEAST_BYTES = 4096
_MEMORY_RATIO = 0.1
_DEFAULT_MEMORY_BYTES = 128_000_000


@attrs.define(kw_only=True)
class ReaderBudget:
    """Hold what clients that are behind may leave unread, and what they do.

    ``behind_count`` is how many clients are awaited now, ``held_bytes`` what is
    held for them, ``wait_count`` how often one was awaited. No client is
    awaited that leaves no more than ``first_bytes``.
    """

    total_bytes: int = int(_DEFAULT_MEMORY_BYTES * _MEMORY_RATIO)
    held_bytes: int = 0
    behind_count: int = 0
    wait_count: int = 0
    first_bytes: int = _FIRST_BYTES

    def allowed_bytes(self, waited_s: float) -> int:
        """Return what may wait for a client that took nothing for a time."""
        steps = int(waited_s / STEP_S)
        wanted_bytes = _FIRST_BYTES + steps * _STEP_BYTES
        share_bytes = self.total_bytes // max(1, self.behind_count)
        allowed_bytes = min(wanted_bytes, share_bytes, _REQUEST_BYTES)
        return max(_LEAST_BYTES, allowed_bytes)

    @contextmanager
    def waiting(self) -> Iterator['WaitingReader']:
        """Count a client as behind while the context is active."""
        self.wait_count += 1
        self._count_behind(1)
        reader = WaitingReader(budget=self)
        try:
            yield reader
        finally:
            self._count_behind(-1)
            reader.hold(0)

    def _count_behind(self, change: int) -> None:
        self.behind_count += change
        self.first_bytes = self.allowed_bytes(0)


@attrs.define(kw_only=True)
class WaitingReader:
    """Hold how many bytes wait for one client."""

    budget: ReaderBudget
    held_bytes: int = 0

    def hold(self, size_bytes: int) -> None:
        """Hold ``size_bytes`` in place of those before."""
        self.budget.held_bytes += size_bytes - self.held_bytes
        self.held_bytes = size_bytes


READERS = ReaderBudget()


def limit_unread_bytes(memory_bytes: int) -> None:
    """Bound what is held for all clients by the memory of this process."""
    READERS.total_bytes = int(memory_bytes * _MEMORY_RATIO)
