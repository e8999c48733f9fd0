"""Record the events of a run in its progress, and what they show of engines."""

import time

from result import Err, Ok, Result

from arbutusbay.backend import (
    EngineIdentity,
    EngineMismatch,
    GenerationEnd,
    GenerationEvent,
    GenerationStart,
    TextPiece,
)
from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.router._attempt import Attempt
from arbutusbay.router._dispatcher import Placement
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._prompt_quarantine import segment_keys_of
from arbutusbay.router._run_progress import (
    CompletionRequest,
    RunProgress,
    is_unreached,
)
from arbutusbay.router._shared_state import RouterState
from arbutusbay.router._silence_handler import log_failed_attempt


class EventRecorder:
    """Record what the events of one completion show."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        metrics: RouterMetrics,
        request: CompletionRequest,
        progress: RunProgress,
    ) -> None:
        """Create a recorder, which updates ``progress``."""
        self.shared_state = shared_state
        self.metrics = metrics
        self.request = request
        self.progress = progress

    def record(
        self, event: Result[GenerationEvent, Failure], attempt: Attempt
    ) -> None:
        """Record an event of the open attempt."""
        placement = attempt.placement
        monitor = attempt.monitor
        match event:
            case Ok(EngineMismatch(identity=identity)) | Ok(
                EngineIdentity() as identity
            ):
                monitor.update_identity(identity)
            case Ok(GenerationStart() as start):
                self._record_start(start)
            case Ok(TextPiece()):
                monitor.record_piece()
                self._record_piece(placement)
            case Ok(GenerationEnd()):
                self.progress.finished = True
                placement.engine.record_success()
                self._record_sound_response()
            case Err(failure):
                self._record_failure(placement, failure)

    def _record_sound_response(self) -> None:
        self.shared_state.quarantine.record_answer(
            segment_keys_of(self.request.job),
            request_id=self.request.job.id,
            started_s=self.progress.first_piece_s or now_s(),
            now_s=now_s(),
        )

    def _record_piece(self, placement: Placement) -> None:
        progress = self.progress
        if progress.first_piece_s is None:
            progress.first_piece_s = now_s()
        progress.last_piece_at_s = time.monotonic()
        progress.relayed_pieces += 1
        progress.unproductive_attempts = 0
        progress.weights_version = placement.engine.weights_version

    def _record_start(self, start: GenerationStart) -> None:
        progress = self.progress
        progress.has_started = True
        if progress.attempts == 1:
            progress.prompt_tokens = start.prompt_tokens
            progress.cached_tokens = start.cached_tokens
        self.metrics.count_prompt_tokens(start, is_repeat=progress.attempts > 1)

    def _record_failure(self, placement: Placement, failure: Failure) -> None:
        progress = self.progress
        progress.last_failure = failure
        if failure.kind is not ErrorKind.NO_BACKEND_SERVER:
            placement.engine.record_failure()
        if failure.effective_run_state is not RunState.NOT_RUN:
            progress.exclude(placement.engine.name)
        if is_unreached(failure):
            progress.record_unreached(placement.engine.name)
        elif progress.is_refused_midway():
            progress.uncount_attempt()
        log_failed_attempt(self.request, progress, placement, failure)
