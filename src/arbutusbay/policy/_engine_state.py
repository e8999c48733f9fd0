"""Track one engine's state as seen by one router."""

import math
import time
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from arbutusbay.clock import now_s
from arbutusbay.wire import EngineView

_MAX_RECENT_BLOCKS = 20_000
_PIECE_GAP_QUANTILE = 0.3
_QUANTILE_STEP_RATIO = 0.2
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 8.0
_MAX_DOUBLINGS = 8
_ACCEPTS_FOR_S = 1.0
_MAX_ASKED = 8
_INITIAL_REFUSAL_PAUSE_S = 0.1
_MAX_REFUSAL_PAUSE_S = 0.8
_SLOW_FACTOR_HALF_LIFE_S = 3.0
_QUIET_AFTER_S = 0.5
_HUNG_AFTER_S = 10.0
MAX_SLOW_FACTOR = 20.0


@attrs.define(kw_only=True)
class InFlightAttempt:
    """Describe an attempt that this router has in flight on an engine.

    ``sent_at_s`` is in seconds on the clock of ``now_s``. ``awaited_since_s``
    is when the router began to wait for the next event, in seconds on the
    monotonic clock, None while it does not wait.
    """

    uncached_tokens: int
    sent_at_s: float
    first_token_seen: bool = False
    awaited_since_s: float | None = None

    def is_lively(self, moment_s: float) -> bool:
        """Return whether an event came lately, or waits to be passed on."""
        return (
            self.awaited_since_s is None
            or moment_s - self.awaited_since_s <= _QUIET_AFTER_S
        )

    def is_hung(self, moment_s: float) -> bool:
        """Return whether nothing came for longer than engines are silent."""
        return (
            self.awaited_since_s is not None
            and moment_s - self.awaited_since_s > _HUNG_AFTER_S
        )


@attrs.define(kw_only=True)
class EngineState:
    """Hold the identity, load, speed and recent prompts of one engine.

    ``reported_at_s`` is when the engine reported its load, and
    ``recent_blocks`` maps prompt block hashes to the time they were last sent,
    both in seconds on the clock of ``now_s``. ``piece_s`` is a low quantile of
    the seconds between two pieces of a stream. ``asked`` holds the attempts
    that are open elsewhere as well until the engine accepts, and
    ``accepted_at_s`` is when it last did. ``piece_seen_at_s``,
    ``backoff_until_s``, ``refuses_until_s`` and ``accepted_at_s`` are in
    seconds on the monotonic clock.
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
    in_flight: dict[str, InFlightAttempt] = attrs.field(factory=dict)
    recent_blocks: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    piece_s: float = 0.0
    piece_seen_at_s: float = 0.0
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    refuses_until_s: float = 0.0
    accepted_at_s: float = -math.inf
    asked: set[str] = attrs.field(factory=set)
    backoff_until_s: float = 0.0

    def is_usable(self) -> bool:
        """Return whether the engine accepts new requests."""
        return self.ready and not self.draining and not self.leaving

    def is_in_backoff(self, moment_s: float) -> bool:
        """Return whether the engine is in its backoff after a failure."""
        return moment_s < self.backoff_until_s

    def is_dependable(self, moment_s: float) -> bool:
        """Return whether nothing speaks against the engine.

        Its weights are known, it neither failed nor refused to go on with a
        completion lately, and the streams of this router there go on.
        """
        return (
            bool(self.weights_version)
            and not self.is_in_backoff(moment_s)
            and moment_s >= self.refuses_until_s
            and not self.is_quiet(moment_s)
        )

    def may_be_asked(self, moment_s: float) -> bool:
        """Return whether the engine may be asked to go on with a completion.

        One at a time until it has accepted: all would cost a token each.
        """
        if moment_s - self.accepted_at_s < _ACCEPTS_FOR_S:
            return len(self.asked) < _MAX_ASKED
        return not self.asked

    def is_quiet(self, moment_s: float) -> bool:
        """Return whether streams are under way and none had an event lately."""
        has_streams = False
        for attempt in self.in_flight.values():
            if attempt.first_token_seen and not attempt.is_hung(moment_s):
                if attempt.is_lively(moment_s):
                    return False
                has_streams = True
        return has_streams

    def apply_load_report(self, view: EngineView) -> None:
        """Apply a report from the control daemon that indexes this engine.

        Ignores a report without an incarnation, and one that is not newer
        than the last report applied.
        """
        if not view.incarnation:
            return
        reported_at_s = now_s() - view.age_ms / 1000
        if reported_at_s <= self.reported_at_s:
            return
        self.update_identity(view.incarnation, view.weights_version)
        self.slots = view.slots
        self.running = view.running
        self.waiting = view.waiting
        self.queued_tokens = view.queued_tokens
        self.reported_at_s = reported_at_s
        self.ready = view.ready
        self.leaving = view.leaving

    def can_run_weights(self, weights_version: str) -> bool:
        """Return whether the engine may run ``weights_version``, '' for any.

        True if the engine's version is not known yet: the engine itself
        rejects a request for another version and reports its own.
        """
        if not weights_version or not self.weights_version:
            return True
        return self.weights_version == weights_version

    def update_identity(self, incarnation: str, weights_version: str) -> None:
        """Set the identity; clear recent blocks if the identity changed.

        A restart or other weights invalidate the engine's prefix cache.
        """
        previous = (self.incarnation, self.weights_version)
        if previous != (incarnation, weights_version):
            self.recent_blocks.clear()
        self.incarnation = incarnation
        self.weights_version = weights_version

    def record_sent_blocks(self, hashes: Iterable[int]) -> None:
        """Record the blocks that an attempt leaves in the engine's cache.

        Evicts the least recently sent blocks above the size limit.
        """
        moment_s = now_s()
        for block_hash in hashes:
            self.recent_blocks[block_hash] = moment_s
            self.recent_blocks.move_to_end(block_hash)
        while len(self.recent_blocks) > _MAX_RECENT_BLOCKS:
            self.recent_blocks.popitem(last=False)

    def recently_sent_depth(self, hashes: Sequence[int], since_s: float) -> int:
        """Return how many leading ``hashes`` were sent since ``since_s``."""
        for depth, block_hash in enumerate(hashes):
            if self.recent_blocks.get(block_hash, 0) < since_s:
                return depth
        return len(hashes)

    def attempts_since_report(self) -> list[InFlightAttempt]:
        """Return the attempts sent after the last load report."""
        return [
            attempt
            for attempt in self.in_flight.values()
            if attempt.sent_at_s > self.reported_at_s
        ]

    def prefill_backlog_tokens(self) -> int:
        """Return the uncached tokens that wait for prefill.

        Adds the attempts sent since the last load report to its count.
        """
        unreported_tokens = sum(
            attempt.uncached_tokens
            for attempt in self.attempts_since_report()
            if not attempt.first_token_seen
        )
        return self.queued_tokens + unreported_tokens

    def record_piece_gap(self, gap_s: float) -> None:
        """Update ``piece_s`` with the seconds between two pieces.

        Estimates a low quantile, because prefill steps lengthen some gaps
        of a healthy engine, while a slow engine lengthens all of them.
        """
        self.piece_s = self.piece_s or gap_s
        if gap_s < self.piece_s:
            self.piece_s *= 1 - _QUANTILE_STEP_RATIO * (1 - _PIECE_GAP_QUANTILE)
        else:
            self.piece_s *= 1 + _QUANTILE_STEP_RATIO * _PIECE_GAP_QUANTILE
        self.piece_seen_at_s = time.monotonic()

    def record_failure(self) -> None:
        """Record a failure and back off, exponentially if failures repeat."""
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        self.consecutive_failures += 1
        pause_s = _INITIAL_BACKOFF_S * 2**doublings
        self.backoff_until_s = time.monotonic() + min(
            pause_s,
            _MAX_BACKOFF_S,
        )

    def record_refusal(self) -> None:
        """Record that the engine did not go on with a completion of another.

        It is not asked for a while, which is longer if refusals repeat. Those
        that were under way together count as one.
        """
        if time.monotonic() < self.refuses_until_s:
            return
        doublings = min(self.consecutive_refusals, _MAX_DOUBLINGS)
        self.consecutive_refusals += 1
        self.refuses_until_s = time.monotonic() + min(
            _INITIAL_REFUSAL_PAUSE_S * 2**doublings, _MAX_REFUSAL_PAUSE_S
        )

    def record_acceptance(self, attempt: str) -> None:
        """Record that the engine goes on with a completion of another."""
        self.asked.discard(attempt)
        self.accepted_at_s = time.monotonic()
        self.consecutive_refusals = 0
        self.refuses_until_s = 0.0

    def record_success(self) -> None:
        """Reset the failure count and end the backoff."""
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0

    def slow_factor(self, median_piece_s: float, moment_s: float) -> float:
        """Return how many times slower than its pool the engine is.

        At least 1. The excess over 1 decays exponentially while there are
        no new samples, so that some requests are sent to a slow engine and
        show whether it has recovered.
        """
        if not self.piece_s or not median_piece_s:
            return 1.0
        observed_factor = min(self.piece_s / median_piece_s, MAX_SLOW_FACTOR)
        idle_s = max(0.0, moment_s - self.piece_seen_at_s)
        decay = 0.5 ** (idle_s / _SLOW_FACTOR_HALF_LIFE_S)
        return max(1.0, 1.0 + (observed_factor - 1.0) * decay)
