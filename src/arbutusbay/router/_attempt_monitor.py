"""Time the attempts of completions."""

import time

from arbutusbay.backend import EngineIdentity
from arbutusbay.policy import Job
from arbutusbay.router._dispatcher import Placement
from arbutusbay.router._shared_state import RouterState

_PREFILL_SMOOTHING = 0.05
_MIN_PREFILL_SAMPLE_TOKENS = 200
_MAX_PIECE_SILENCE_S = 2.0
_MIN_FIRST_PIECE_SILENCE_S = 3.0
_FIRST_PIECE_SILENCE_FACTOR = 5.0


class AttemptMonitor:
    """Time one attempt and update the measurements of its engine and pool."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        placement: Placement,
        job: Job,
    ) -> None:
        """Create a monitor for the attempt of ``placement``."""
        self.shared_state = shared_state
        self.placement = placement
        self.job = job
        self.last_piece_at_s: float | None = None

    def max_silence_s(self) -> float:
        """Return after how long without an event the engine counts as silent.

        Before the first piece, it scales with the predicted time to first
        token.
        """
        if self.last_piece_at_s is not None:
            return _MAX_PIECE_SILENCE_S
        return max(
            _MIN_FIRST_PIECE_SILENCE_S,
            _FIRST_PIECE_SILENCE_FACTOR * self.placement.predicted_s,
        )

    def start_waiting(self) -> None:
        """Record that the router waits for the next event."""
        self._set_awaited_since(time.monotonic())

    def stop_waiting(self) -> None:
        """Record that an event has come, which is to be relayed."""
        self._set_awaited_since(None)

    def update_identity(self, identity: EngineIdentity) -> None:
        """Record the identity that the engine reported in its response."""
        self.placement.engine.update_identity(
            identity.incarnation,
            identity.weights_version,
        )

    def record_piece(self) -> None:
        """Record the arrival of a piece of output."""
        now_s = time.monotonic()
        if self.last_piece_at_s is None:
            self._record_first_token(now_s)
        else:
            self.placement.engine.record_piece_gap(now_s - self.last_piece_at_s)
        self.last_piece_at_s = now_s

    def _set_awaited_since(self, moment_s: float | None) -> None:
        attempt = self.placement.engine.in_flight.get(self.placement.attempt)
        if attempt is not None:
            attempt.awaited_since_s = moment_s

    def _record_first_token(self, now_s: float) -> None:
        placement = self.placement
        engine = placement.engine
        attempt = engine.in_flight.get(placement.attempt)
        if attempt is not None:
            attempt.first_token_seen = True
        first_token_s = now_s - placement.placed_at_s
        self._record_prefill_speed(first_token_s)

    def _record_prefill_speed(self, first_token_s: float) -> None:
        uncached = self.job.uncached_tokens(self.placement.depth)
        if (
            uncached < _MIN_PREFILL_SAMPLE_TOKENS
            or self.placement.engine.waiting
        ):
            return
        pool = self.shared_state.pool_state(self.job.pool)
        sample_s = first_token_s / uncached
        pool.prefill_s_per_token += _PREFILL_SMOOTHING * (
            sample_s - pool.prefill_s_per_token
        )
