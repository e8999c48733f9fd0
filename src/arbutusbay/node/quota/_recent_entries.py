"""Remember entries for a while, and no more of them than a bound."""

from typing import Generic, TypeVar

import attrs

Key = TypeVar('Key')
Value = TypeVar('Value')

# Bounds the memory that a flood takes; usual loads are bounded by the time.
MAX_ENTRIES = 16_384


@attrs.define(kw_only=True, eq=False)
class RecentEntries(Generic[Key, Value]):
    """Hold entries for ``life_s`` after each was put last.

    ``entries`` holds when each was put, and its value, the oldest first.
    """

    life_s: float
    entries: dict[Key, tuple[float, Value]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return how many entries take memory."""
        return len(self.entries)

    def put(self, key: Key, value: Value, now_s: float) -> None:
        """Remember ``value``; forget what is too old, or too much."""
        self.entries.pop(key, None)
        self._forget_old(now_s)
        if len(self.entries) >= MAX_ENTRIES:
            self.entries.pop(next(iter(self.entries)))
        self.entries[key] = (now_s, value)

    def get(self, key: Key, now_s: float) -> Value | None:
        """Return what is remembered, None if there is nothing."""
        self._forget_old(now_s)
        entry = self.entries.get(key)
        return entry and entry[1]

    def pop(self, key: Key, now_s: float) -> Value | None:
        """Return what is remembered, and forget it."""
        value = self.get(key, now_s)
        self.entries.pop(key, None)
        return value

    def _forget_old(self, now_s: float) -> None:
        while self.entries:
            oldest = next(iter(self.entries))
            put_s, _ = self.entries[oldest]
            if now_s - put_s < self.life_s:
                return
            self.entries.pop(oldest)
