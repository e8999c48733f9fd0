"""Hold an emulated engine's cached blocks and publish its events."""

import asyncio
import random
import time
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

import attrs

_MAX_EVENTS = 5000


@attrs.define(kw_only=True)
class Event:
    """Hold one published event; it is visible after the lag."""

    sequence: int
    at_s: float
    stored: list[int]
    removed: list[int]


class PrefixCache:
    """Keep blocks by least recent use and record events."""

    def __init__(
        self,
        *,
        capacity_blocks: int,
        lag_s: float,
        loss_ratio: float,
        rng: random.Random,
    ) -> None:
        """Publish events after ``lag_s`` and lose some of them."""
        self.capacity_blocks = capacity_blocks
        self.lag_s = lag_s
        self.loss_ratio = loss_ratio
        self.rng = rng
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: deque[Event] = deque(maxlen=_MAX_EVENTS)
        self.sequence = 0
        self.published = asyncio.Event()

    def match(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached and touch them."""
        for depth, block_hash in enumerate(hashes):
            if block_hash not in self.blocks:
                return depth
            self.blocks.move_to_end(block_hash)
        return len(hashes)

    def store(self, hashes: Sequence[int]) -> None:
        """Cache the blocks of a prompt and evict the oldest."""
        stored = [
            block_hash for block_hash in hashes if block_hash not in self.blocks
        ]
        for block_hash in hashes:
            self.blocks[block_hash] = None
            self.blocks.move_to_end(block_hash)
        removed = []
        while len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            removed.append(evicted)
        if stored or removed:
            self._publish(stored, removed)

    def clear(self) -> None:
        """Drop all blocks, as new weights do."""
        self._publish([], list(self.blocks))
        self.blocks.clear()

    def visible_since(self, after: int) -> tuple[list[Event], bool]:
        """Return visible events after a sequence, and whether some lack."""
        visible_at_s = time.monotonic() - self.lag_s
        found = [
            event
            for event in self.events
            if event.sequence > after and event.at_s <= visible_at_s
        ]
        lacks = bool(found) and (
            found[0].sequence != after + 1
            or found[-1].sequence - found[0].sequence + 1 != len(found)
        )
        return found, lacks

    def _publish(self, stored: list[int], removed: list[int]) -> None:
        self.sequence += 1
        if self.rng.random() < self.loss_ratio:
            return
        self.events.append(
            Event(
                sequence=self.sequence,
                at_s=time.monotonic(),
                stored=stored,
                removed=removed,
            ),
        )
        self.published.set()


def event_to_json(event: Event) -> list[Any]:
    """Return an event as the engines' protocol writes it."""
    return [event.stored, event.removed]
