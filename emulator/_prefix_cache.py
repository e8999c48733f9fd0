"""Emulate an engine's prefix cache and the event feed that describes it.

Blocks are evicted in least-recently-used order. Events become readable
after a lag, and some are lost, so that readers must detect gaps.
"""

import asyncio
import random
import time
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

import attrs

_MAX_RETAINED_EVENTS = 5000


@attrs.define(kw_only=True)
class CacheEvent:
    """Describe one change of the cache.

    ``stored`` and ``removed`` are block hashes. ``published_at_s`` is the
    monotonic time of the change; readers see it once the event lag has passed.
    """

    sequence: int
    published_at_s: float
    stored: list[int]
    removed: list[int]


class PrefixCache:
    """Cache prompt blocks in LRU order and publish an event per change."""

    def __init__(
        self,
        *,
        capacity_blocks: int,
        event_lag_s: float,
        event_loss_ratio: float,
        rng: random.Random,
    ) -> None:
        """Start empty.

        Events become visible after ``event_lag_s`` seconds; the fraction
        ``event_loss_ratio`` of them is lost.
        """
        self.capacity_blocks = capacity_blocks
        self.event_lag_s = event_lag_s
        self.event_loss_ratio = event_loss_ratio
        self.rng = rng
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=_MAX_RETAINED_EVENTS)
        self.last_sequence = 0
        self.event_published = asyncio.Event()

    def match_prefix(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached and mark them as used."""
        for depth, block_hash in enumerate(hashes):
            if block_hash not in self.blocks:
                return depth
            self.blocks.move_to_end(block_hash)
        return len(hashes)

    def store(self, hashes: Sequence[int]) -> None:
        """Cache the blocks of a prompt and evict the least recently used."""
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
        """Drop all blocks, as loading new weights does."""
        self._publish([], list(self.blocks))
        self.blocks.clear()

    def visible_events_after(self, after: int) -> tuple[list[CacheEvent], bool]:
        """Return visible events after a sequence number, and if any is lost.

        The second item is True when the numbers of the returned events don't
        follow ``after`` without a gap.
        """
        latest_visible_s = time.monotonic() - self.event_lag_s
        visible = [
            event
            for event in self.events
            if event.sequence > after
            and event.published_at_s <= latest_visible_s
        ]
        has_gap = bool(visible) and (
            visible[0].sequence != after + 1
            or visible[-1].sequence - visible[0].sequence + 1 != len(visible)
        )
        return visible, has_gap

    def _publish(self, stored: list[int], removed: list[int]) -> None:
        self.last_sequence += 1
        if self.rng.random() < self.event_loss_ratio:
            return
        self.events.append(
            CacheEvent(
                sequence=self.last_sequence,
                published_at_s=time.monotonic(),
                stored=stored,
                removed=removed,
            ),
        )
        self.event_published.set()


def cache_event_to_json(event: CacheEvent) -> list[Any]:
    """Return an event as ``[stored, removed]`` for ``/v1/events``."""
    return [event.stored, event.removed]
