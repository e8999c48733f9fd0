"""Provide a compact hash set of 64-bit block hashes.

It uses open addressing with linear probing in one array of 8 bytes a slot.
Multiplicative hashing spreads block hashes that have the same low bits.
"""

from array import array
from collections.abc import Iterable

_MIN_SLOTS = 256
_EMPTY_SLOT = 0
_TYPECODE = 'Q'
_HASH_BITS = 64
_HASH_MASK = 0xFFFFFFFFFFFFFFFF
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MAX_LOAD_FACTOR_NUMERATOR = 7
_MAX_LOAD_FACTOR_DENOMINATOR = 10


class BlockHashSet:
    """Store a set of block hashes.

    The value 0 marks an empty slot, so ``has_zero`` is whether the hash 0
    is stored. ``hash_count`` is the number of occupied slots, ``slots`` has a
    power of two as its length, ``mask`` is that length minus one, and
    ``shift`` reduces a product to the bits of a slot index.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self.clear()

    def __len__(self) -> int:
        """Return the number of stored hashes."""
        return self.hash_count + self.has_zero

    def __contains__(self, block_hash: int) -> bool:
        """Return whether ``block_hash`` is stored."""
        if not block_hash:
            return self.has_zero
        return self.slots[self._find_slot(block_hash)] != _EMPTY_SLOT

    def add(self, block_hash: int) -> None:
        """Store ``block_hash`` unless it is already stored."""
        if not block_hash:
            self.has_zero = True
            return
        slot = self._find_slot(block_hash)
        if self.slots[slot] == block_hash:
            return
        self.slots[slot] = block_hash
        self.hash_count += 1
        if self._exceeds_max_load():
            self._grow()

    def discard(self, block_hash: int) -> None:
        """Remove ``block_hash`` if it is stored.

        Moves later entries of the probe sequence back into the freed slot,
        so that no tombstone is needed.
        """
        if not block_hash:
            self.has_zero = False
            return
        slots = self.slots
        mask = self.mask
        free_slot = self._find_slot(block_hash)
        if slots[free_slot] == _EMPTY_SLOT:
            return
        self.hash_count -= 1
        probed_slot = (free_slot + 1) & mask
        while slots[probed_slot] != _EMPTY_SLOT:
            home_slot = self._home_slot(slots[probed_slot])
            if (probed_slot - home_slot) & mask >= (
                probed_slot - free_slot
            ) & mask:
                slots[free_slot] = slots[probed_slot]
                free_slot = probed_slot
            probed_slot = (probed_slot + 1) & mask
        slots[free_slot] = _EMPTY_SLOT

    def clear(self) -> None:
        """Remove all hashes and shrink to the minimum size."""
        self._allocate(_MIN_SLOTS)
        self.hash_count = 0
        self.has_zero = False

    def size_bytes(self) -> int:
        """Return the size of the slot array in bytes."""
        return self.slots.itemsize * len(self.slots)

    def _find_slot(self, stored: int) -> int:
        slots = self.slots
        mask = self.mask
        slot = self._home_slot(stored)
        while slots[slot] not in {_EMPTY_SLOT, stored}:
            slot = (slot + 1) & mask
        return slot

    def _home_slot(self, stored: int) -> int:
        return (stored * _HASH_MULTIPLIER & _HASH_MASK) >> self.shift

    def _exceeds_max_load(self) -> bool:
        return (
            self.hash_count * _MAX_LOAD_FACTOR_DENOMINATOR
            > len(self.slots) * _MAX_LOAD_FACTOR_NUMERATOR
        )

    def _grow(self) -> None:
        old_slots = self.slots
        self._allocate(2 * len(old_slots))
        self._reinsert(old_slots)

    def _allocate(self, count: int) -> None:
        self.slots = _empty_slots(count)
        self.mask = count - 1
        self.shift = _HASH_BITS - self.mask.bit_length()

    def _reinsert(self, old_slots: Iterable[int]) -> None:
        for stored in old_slots:
            if stored != _EMPTY_SLOT:
                self.slots[self._find_slot(stored)] = stored


def _empty_slots(count: int) -> 'array[int]':
    return array(_TYPECODE, (_EMPTY_SLOT,)) * count
