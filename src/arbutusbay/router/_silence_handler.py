"""Outlast the silence of an engine, or move its completion to another one.

A sound engine may send nothing for some seconds and then go on. An attempt is
given up for that only once another engine has a place for it.
"""

from typing import Any

import attrs

from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.policy import QueuedJob
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._event_reader import EngineEvent, EventReader
from arbutusbay.router._prompt_quarantine import refuse_job
from arbutusbay.router._run_progress import (
    CompletionRequest,
    RunProgress,
    StopReason,
    time_left_s,
)
from arbutusbay.router._shared_state import RouterState

_LOG = get_logger('generation')


class SilenceHandler:
    """Decide what becomes of one completion while its engine is silent.

    ``reserved`` is the place at another engine that it is to be moved to. It
    must be taken or released.
    """

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        request: CompletionRequest,
        progress: RunProgress,
    ) -> None:
        """Create a handler for a run, whose ``progress`` it updates."""
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.request = request
        self.progress = progress
        self.reserved: Placement | None = None

    async def outlast(
        self, reader: EventReader, placement: Placement
    ) -> EngineEvent | None:
        """Wait on, and look for another engine; return the event that came.

        None means that the attempt is over: it has no more events, or a place
        elsewhere is reserved, or the time of the completion has passed.
        """
        placement.engine.record_failure()
        moving = self._request_move(placement)
        try:
            has_come = await reader.wait_unless(
                moving.caller_data.placed,
                time_left_s(self.request.job, self.progress),
            )
        finally:
            self.reserved = self.dispatcher.withdraw_move(moving)
        if not has_come:
            self.give_up(placement)
            return None
        self.release_reserved()
        event = reader.take()
        if event is not None and event.is_ok():
            self._record_sound_engine(placement)
        return event

    def give_up(self, placement: Placement) -> None:
        """Record that an attempt is over, as its time is or it is moved."""
        detail = 'engine sent nothing until the deadline'
        if self.reserved is not None:
            detail = f'moved to engine {self.reserved.engine.name}'
        failure = Failure(
            kind=ErrorKind.DEADLINE_EXCEEDED,
            detail=detail,
            run_state=RunState.UNKNOWN,
        )
        self.progress.last_failure = failure
        self.progress.excluded |= {placement.engine.name}
        log_failed_attempt(self.request, self.progress, placement, failure)

    def take_reserved(self) -> Placement | None:
        """Return the reserved place, if any, which the caller must release."""
        placement = self.reserved
        self.reserved = None
        return placement

    def release_reserved(self) -> None:
        """Release the reserved place if it was not taken."""
        placement = self.take_reserved()
        if placement is not None:
            self.dispatcher.release(placement)

    def _request_move(self, placement: Placement) -> QueuedJob:
        may_move = self._may_move()
        _LOG.info(
            'engine silent',
            fields={
                **_log_fields(self.request, self.progress, placement),
                'time_left_s': time_left_s(self.request.job, self.progress),
                'may_move': may_move,
            },
        )
        context = attrs.evolve(
            self.request.context,
            excluded=self.progress.excluded | {placement.engine.name},
            weights_version=self.progress.weights_version,
        )
        return self.dispatcher.request_move(
            self.request.job, context, may_move=may_move
        )

    def _may_move(self) -> bool:
        limits = self.shared_state.settings.limits
        return (
            self.request.idempotent
            and self.progress.has_attempts_left(limits.max_attempts)
            and refuse_job(self.shared_state, self.request.job) is None
        )

    def _record_sound_engine(self, placement: Placement) -> None:
        placement.engine.record_success()
        _LOG.info(
            'engine goes on',
            fields=_log_fields(self.request, self.progress, placement),
        )


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
