"""Outlast the silence of an engine, or move its completion to another one.

A sound engine may send nothing for some seconds and then go on. An attempt is
given up for that only once another engine has accepted the completion.
"""

from typing import Any

from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.router._attempt import Attempt, AttemptOpener
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._event_reader import EngineEvent
from arbutusbay.router._pending_move import PendingMove
from arbutusbay.router._run_progress import (
    CompletionRequest,
    RunProgress,
    StopReason,
    time_left_s,
)
from arbutusbay.router._shared_state import RouterState

_LOG = get_logger('generation')


class SilenceHandler:
    """Decide what becomes of one completion while its engine is silent."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        opener: AttemptOpener,
        request: CompletionRequest,
        progress: RunProgress,
    ) -> None:
        """Create a handler for a run, whose ``progress`` it updates."""
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.opener = opener
        self.request = request
        self.progress = progress

    async def outlast(self, attempt: Attempt) -> EngineEvent | Attempt | None:
        """Wait on, and ask other engines; return the event that came.

        Or return the attempt at the engine that has accepted the completion,
        which the caller must close. None means that the attempt is over: it has
        no more events, or the time of the completion has passed.
        """
        attempt.placement.engine.record_failure()
        move = self._begin_move(attempt)
        try:
            has_come = await attempt.reader.wait_unless(
                move.accepted, time_left_s(self.request.job, self.progress)
            )
            accepted = None if has_come else move.take()
        finally:
            await move.stop()
        if accepted is not None:
            self._give_up(attempt.placement, _moved_to(accepted.placement))
            return accepted
        if not has_come:
            self.give_up(attempt.placement)
            return None
        event = attempt.reader.take()
        if event is not None and event.is_ok():
            self._record_sound_engine(attempt.placement)
        return event

    def give_up(self, placement: Placement) -> None:
        """Record that an attempt is over, as its time is."""
        self._give_up(placement, 'engine sent nothing until the deadline')

    def _give_up(self, placement: Placement, detail: str) -> None:
        failure = Failure(
            kind=ErrorKind.DEADLINE_EXCEEDED,
            detail=detail,
            run_state=RunState.UNKNOWN,
        )
        self.progress.last_failure = failure
        self.progress.exclude(placement.engine.name)
        log_failed_attempt(self.request, self.progress, placement, failure)

    def _begin_move(self, attempt: Attempt) -> PendingMove:
        move = PendingMove(
            shared_state=self.shared_state,
            dispatcher=self.dispatcher,
            opener=self.opener,
            request=self.request,
            progress=self.progress,
            silent_engine=attempt.placement.engine.name,
        )
        _LOG.info(
            'engine silent',
            fields={
                **_log_fields(self.request, self.progress, attempt.placement),
                'time_left_s': time_left_s(self.request.job, self.progress),
                'may_move': move.may_ask(),
            },
        )
        return move

    def _record_sound_engine(self, placement: Placement) -> None:
        placement.engine.record_success()
        _LOG.info(
            'engine goes on',
            fields=_log_fields(self.request, self.progress, placement),
        )


def _moved_to(placement: Placement) -> str:
    return f'moved to engine {placement.engine.name}'


def log_failed_attempt(
    request: CompletionRequest,
    progress: RunProgress,
    placement: Placement,
    failure: Failure,
) -> None:
    """Log that an attempt failed, or was ended here."""
    _LOG.warning(
        'attempt failed: {}',
        failure.detail,
        fields=_log_fields(request, progress, placement),
    )


def log_stop(
    request: CompletionRequest,
    progress: RunProgress,
    placement: Placement,
    reason: StopReason,
) -> None:
    """Log why no further attempt follows a failed one."""
    _LOG.warning(
        'completion not repeated',
        fields={
            **_log_fields(request, progress, placement),
            'reason': reason.value,
            'has_started': progress.has_started,
            'attempts': progress.attempts,
        },
    )


def _log_fields(
    request: CompletionRequest, progress: RunProgress, placement: Placement
) -> dict[str, Any]:
    return {
        'request_id': request.job.id,
        'engine': placement.engine.name,
        'relayed': progress.relayed_pieces,
    }
