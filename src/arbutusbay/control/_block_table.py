"""Hold a set of 64-bit block hashes in one compact array.

Open addressing with linear probing; 8 bytes a slot. Multiplication spreads
hashes whose low bits are alike.
"""

from array import array
from collections.abc import Iterable

_MIN_SLOTS = 256
_EMPTY = 0
_WORD = 'Q'
_WORD_BITS = 64
_WORD_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0x9E3779B97F4A7C15
_MAX_LOAD_NUMERATOR = 7
_MAX_LOAD_DENOMINATOR = 10


class BlockTable:
    """Store, remove and find block hashes.

    The hash 0 stands for an empty slot and is stored as 1.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._allocate(_MIN_SLOTS)
        self.used = 0

    def __len__(self) -> int:
        """Return the number of hashes held."""
        return self.used

    def __contains__(self, block_hash: int) -> bool:
        """Tell whether ``block_hash`` is held."""
        return self.slots[self._find(block_hash or 1)] != _EMPTY

    def add(self, block_hash: int) -> None:
        """Store ``block_hash``; a hash already held changes nothing."""
        stored = block_hash or 1
        position = self._find(stored)
        if self.slots[position] == stored:
            return
        self.slots[position] = stored
        self.used += 1
        if self._is_crowded():
            self._grow()

    def discard(self, block_hash: int) -> None:
        """Remove ``block_hash`` if held and close the probe chain."""
        slots = self.slots
        mask = self.mask
        hole = self._find(block_hash or 1)
        if slots[hole] == _EMPTY:
            return
        self.used -= 1
        probe = (hole + 1) & mask
        while slots[probe] != _EMPTY:
            home = self._home(slots[probe])
            if (probe - home) & mask >= (probe - hole) & mask:
                slots[hole] = slots[probe]
                hole = probe
            probe = (probe + 1) & mask
        slots[hole] = _EMPTY

    def clear(self) -> None:
        """Remove all hashes."""
        self._allocate(_MIN_SLOTS)
        self.used = 0

    def size_bytes(self) -> int:
        """Return the memory of the slots."""
        return self.slots.itemsize * len(self.slots)

    def _find(self, stored: int) -> int:
        slots = self.slots
        mask = self.mask
        position = self._home(stored)
        while slots[position] not in {_EMPTY, stored}:
            position = (position + 1) & mask
        return position

    def _home(self, stored: int) -> int:
        return (stored * _MULTIPLIER & _WORD_MASK) >> self.shift

    def _is_crowded(self) -> bool:
        return (
            self.used * _MAX_LOAD_DENOMINATOR
            > len(self.slots) * _MAX_LOAD_NUMERATOR
        )

    def _grow(self) -> None:
        old_slots = self.slots
        self._allocate(2 * len(old_slots))
        self._refill(old_slots)

    def _allocate(self, count: int) -> None:
        self.slots = _empty_slots(count)
        self.mask = count - 1
        self.shift = _WORD_BITS - self.mask.bit_length()

    def _refill(self, old_slots: Iterable[int]) -> None:
        for stored in old_slots:
            if stored != _EMPTY:
                self.slots[self._find(stored)] = stored


def _empty_slots(count: int) -> 'array[int]':
    return array(_WORD, (_EMPTY,)) * count
