"""Hold what one router knows of one engine."""

import time
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from arbutusbay.wire import EngineView

_MAX_RECENT_BLOCKS = 20_000
_GAP_QUANTILE = 0.3
_QUANTILE_STEP = 0.2
_FAILURE_PAUSE_S = 1.0
_MAX_FAILURE_PAUSE_S = 8.0
_FACTOR_HALF_LIFE_S = 3.0
MAX_SLOW_FACTOR = 20.0


@attrs.define(kw_only=True)
class InFlight:
    """Hold one attempt that this router has out at an engine."""

    uncached_tokens: int
    sent_at_s: float
    first_token_seen: bool = False


@attrs.define(kw_only=True)
class EngineState:
    """Hold identity, load, speed and recent prompts of one engine.

    Times are seconds on the monotonic clock; ``piece_s`` is a low quantile
    of the time between pieces.
    """

    name: str
    url: str
    zone: str
    pool: str
    draining: bool = False
    leaving: bool = False
    ready: bool = True
    incarnation: str = ''
    weights_version: str = ''
    slots: int = 0
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    reported_at_s: float = 0.0
    in_flight: dict[str, InFlight] = attrs.field(factory=dict)
    recent: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    piece_s: float = 0.0
    piece_seen_at_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0

    def is_usable(self) -> bool:
        """Tell whether new work may be sent."""
        return self.ready and not self.draining and not self.leaving

    def is_avoided(self, now_s: float) -> bool:
        """Tell whether recent failures speak for other engines."""
        return now_s < self.avoid_until_s

    def put_view(self, view: EngineView) -> None:
        """Take up what the engine's index owner told."""
        if not view.incarnation:
            return
        reported_at_s = time.monotonic() - view.age_ms / 1000
        if reported_at_s <= self.reported_at_s:
            return
        self.put_identity(view.incarnation, view.weights_version)
        self.slots = view.slots
        self.running = view.running
        self.waiting = view.waiting
        self.queued_tokens = view.queued_tokens
        self.reported_at_s = reported_at_s
        self.ready = view.ready
        self.leaving = view.leaving

    def may_run(self, weights_version: str) -> bool:
        """Tell whether the engine may run ``weights_version``, '' for any.

        An engine whose version is not known yet may: it refuses what
        differs, and tells which version it runs.
        """
        if not weights_version or not self.weights_version:
            return True
        return self.weights_version == weights_version

    def put_identity(self, incarnation: str, weights_version: str) -> None:
        """Drop what is remembered of another life or other weights."""
        known = (self.incarnation, self.weights_version)
        if known != (incarnation, weights_version):
            self.recent.clear()
        self.incarnation = incarnation
        self.weights_version = weights_version

    def remember(self, hashes: Iterable[int]) -> None:
        """Note the blocks that an attempt leaves in the cache."""
        now_s = time.monotonic()
        for block_hash in hashes:
            self.recent[block_hash] = now_s
            self.recent.move_to_end(block_hash)
        while len(self.recent) > _MAX_RECENT_BLOCKS:
            self.recent.popitem(last=False)

    def recent_depth(self, hashes: Sequence[int], since_s: float) -> int:
        """Return how many leading ``hashes`` were sent after ``since_s``."""
        for depth, block_hash in enumerate(hashes):
            if self.recent.get(block_hash, 0) < since_s:
                return depth
        return len(hashes)

    def sent_since_report(self) -> list[InFlight]:
        """Return attempts that the last load report can't include."""
        return [
            attempt
            for attempt in self.in_flight.values()
            if attempt.sent_at_s > self.reported_at_s
        ]

    def backlog_tokens(self) -> int:
        """Return uncached tokens that wait for prefill."""
        own = sum(
            attempt.uncached_tokens
            for attempt in self.sent_since_report()
            if not attempt.first_token_seen
        )
        return self.queued_tokens + own

    def put_piece_gap(self, gap_s: float) -> None:
        """Take up one time between pieces.

        The estimate follows a low quantile: steps that compute prompts
        stretch some gaps of a healthy engine, but slowness stretches all.
        """
        self.piece_s = self.piece_s or gap_s
        if gap_s < self.piece_s:
            self.piece_s *= 1 - _QUANTILE_STEP * (1 - _GAP_QUANTILE)
        else:
            self.piece_s *= 1 + _QUANTILE_STEP * _GAP_QUANTILE
        self.piece_seen_at_s = time.monotonic()

    def put_failure(self) -> None:
        """Avoid the engine for longer after each failure in a row."""
        self.failures += 1
        pause_s = _FAILURE_PAUSE_S * 2 ** (self.failures - 1)
        self.avoid_until_s = time.monotonic() + min(
            pause_s,
            _MAX_FAILURE_PAUSE_S,
        )

    def put_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.avoid_until_s = 0.0

    def slow_factor(self, median_piece_s: float, now_s: float) -> float:
        """Return how many times slower than its pool the engine seems.

        Suspicion halves with each half-life without a sample, so that a
        little traffic probes whether the engine has recovered.
        """
        if not self.piece_s or not median_piece_s:
            return 1.0
        seen = min(self.piece_s / median_piece_s, MAX_SLOW_FACTOR)
        silent_s = max(0.0, now_s - self.piece_seen_at_s)
        faded = 0.5 ** (silent_s / _FACTOR_HALF_LIFE_S)
        return max(1.0, 1.0 + (seen - 1.0) * faded)
