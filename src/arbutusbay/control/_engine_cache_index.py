"""Index the cached blocks of one engine and hold its load report."""

from collections.abc import Sequence

import attrs

from arbutusbay.backend import CacheEventPage, LoadReport
from arbutusbay.clock import now_s
from arbutusbay.control._block_hash_set import BlockHashSet
from arbutusbay.wire import EngineView

_INITIAL_SEQUENCE = 0


@attrs.define(kw_only=True)
class EngineCacheIndex:
    """Hold the cache index that results from an engine's cache events.

    The entries are valid for one incarnation and one weights version of the
    engine and are dropped when either changes. After a gap in the events,
    entries may remain that the engine has evicted. They can make a placement
    worse but no response wrong, because the engine itself checks what it has
    cached.

    ``sequence`` is the sequence number after which the next page starts,
    ``gaps`` counts the pages with lost events, and ``reported_at_s`` is the
    arrival of ``load`` in seconds on the clock of ``now_s``.
    """

    name: str
    pool: str
    incarnation: str = ''
    weights_version: str = ''
    sequence: int = _INITIAL_SEQUENCE
    blocks: BlockHashSet = attrs.field(factory=BlockHashSet)
    load: LoadReport | None = None
    reported_at_s: float = 0.0
    gaps: int = 0
    reachable: bool = False

    def apply(self, page: CacheEventPage) -> None:
        """Apply the events and the load report of one page."""
        if self._invalidates_entries(page):
            self.blocks.clear()
        self.gaps += page.gap
        self.incarnation = page.incarnation
        self.weights_version = page.weights_version
        self.sequence = page.next_sequence
        self.load = page.load
        self.reported_at_s = now_s()
        self.reachable = True
        for event in page.events:
            for stored in event.stored:
                self.blocks.add(stored)
            for removed in event.removed:
                self.blocks.discard(removed)

    def mark_unreachable(self) -> None:
        """Mark the engine as unreachable and drop its entries."""
        self.reachable = False
        self.blocks.clear()
        self.sequence = _INITIAL_SEQUENCE
        self.incarnation = ''

    def cached_depth_of(self, hashes: Sequence[int]) -> int:
        """Return how many leading ``hashes`` are cached without a miss."""
        for depth, block_hash in enumerate(hashes):
            if block_hash not in self.blocks:
                return depth
        return len(hashes)

    def to_engine_view(self, hashes: Sequence[int]) -> EngineView:
        """Return the load and the cached depth of ``hashes`` for a lookup.

        An engine that is unreachable or has sent no load report is returned
        as not ready, with an empty incarnation.
        """
        load = self.load
        if load is None or not self.reachable:
            return EngineView(
                name=self.name,
                incarnation='',
                weights_version='',
                ready=False,
            )
        return EngineView(
            name=self.name,
            incarnation=self.incarnation,
            weights_version=self.weights_version,
            depth=self.cached_depth_of(hashes),
            running=load.running,
            waiting=load.waiting,
            queued_tokens=load.queued_tokens,
            slots=load.slots,
            age_ms=int((now_s() - self.reported_at_s) * 1000),
            ready=load.ready,
            leaving=load.leaving,
        )

    def _invalidates_entries(self, page: CacheEventPage) -> bool:
        return (
            page.incarnation != self.incarnation
            or page.weights_version != self.weights_version
        )
