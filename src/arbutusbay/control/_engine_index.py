"""Hold what one engine has cached and how loaded it said it is."""

import time
from collections.abc import Sequence

import attrs

from arbutusbay.backend import CacheEventPage, LoadReport
from arbutusbay.control._block_table import BlockTable
from arbutusbay.wire import EngineView

_NO_SEQUENCE = 0


@attrs.define(kw_only=True)
class EngineIndex:
    """Fold an engine's cache events.

    Entries belong to one incarnation and one weights version and are
    dropped with either. A gap leaves entries that the engine may have
    evicted: they mislead a prediction, never an answer, because the engine
    itself checks what it has cached.
    """

    name: str
    pool: str
    incarnation: str = ''
    weights_version: str = ''
    sequence: int = _NO_SEQUENCE
    blocks: BlockTable = attrs.field(factory=BlockTable)
    load: LoadReport | None = None
    reported_at_s: float = 0.0
    gaps: int = 0
    reachable: bool = False

    def apply(self, page: CacheEventPage) -> None:
        """Take up one page of events and the load report in it."""
        if self._is_stale(page):
            self.blocks.clear()
        self.gaps += page.gap
        self.incarnation = page.incarnation
        self.weights_version = page.weights_version
        self.sequence = page.next_sequence
        self.load = page.load
        self.reported_at_s = time.monotonic()
        self.reachable = True
        for event in page.events:
            for stored in event.stored:
                self.blocks.add(stored)
            for removed in event.removed:
                self.blocks.discard(removed)

    def lose(self) -> None:
        """Forget the entries of an engine that can't be reached."""
        self.reachable = False
        self.blocks.clear()
        self.sequence = _NO_SEQUENCE
        self.incarnation = ''

    def depth_of(self, hashes: Sequence[int]) -> int:
        """Return how many leading ``hashes`` are all cached."""
        for depth, block_hash in enumerate(hashes):
            if block_hash not in self.blocks:
                return depth
        return len(hashes)

    def view(self, hashes: Sequence[int]) -> EngineView:
        """Return this engine as a lookup answers it."""
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
            depth=self.depth_of(hashes),
            running=load.running,
            waiting=load.waiting,
            queued_tokens=load.queued_tokens,
            slots=load.slots,
            age_ms=int((time.monotonic() - self.reported_at_s) * 1000),
            ready=load.ready,
            leaving=load.leaving,
        )

    def _is_stale(self, page: CacheEventPage) -> bool:
        return (
            page.incarnation != self.incarnation
            or page.weights_version != self.weights_version
        )
