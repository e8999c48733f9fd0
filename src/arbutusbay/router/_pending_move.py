"""Ask other engines to go on with a completion whose engine is silent.

The attempt at the silent engine stays open until another engine has accepted.
An engine that refuses, or does not accept at once, costs time and nothing else:
the next place is looked for.
"""

import asyncio
from typing import Any

import attrs
from result import Err, Ok

from arbutusbay.backend import EngineIdentity, EngineMismatch
from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.policy import EngineState
from arbutusbay.router._attempt import (
    Attempt,
    AttemptOpener,
    engine_process_of,
)
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._prompt_quarantine import refuse_job, segment_keys_of
from arbutusbay.router._run_progress import CompletionRequest, RunProgress
from arbutusbay.router._shared_state import RouterState

# Until it has accepted, two engines may work on the completion.
_FIRST_PATIENCE_S = 0.15
_MAX_PATIENCE_S = 0.35
_PATIENCE_GROWTH = 2
_MIN_PAUSE_S = 0.05

_LOG = get_logger('generation')


class PendingMove:
    """Look for an engine that accepts a completion, until stopped.

    ``accepted`` is done once one has. The attempt there must be taken, or the
    move be stopped, which closes it.
    """

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        opener: AttemptOpener,
        request: CompletionRequest,
        progress: RunProgress,
        silent_engine: str,
    ) -> None:
        """Begin to look for an engine other than ``silent_engine``."""
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.opener = opener
        self.request = request
        self.progress = progress
        self.silent_engine = silent_engine
        self.asked: Attempt | None = None
        self.is_suspect = False
        self.patience_s = _FIRST_PATIENCE_S
        self.accepted = asyncio.create_task(self._find_engine())

    def may_ask(self) -> bool:
        """Return whether another engine may be asked now."""
        limits = self.shared_state.settings.limits
        job = self.request.job
        return (
            self.request.idempotent
            and self.progress.has_attempts_left(limits.max_attempts)
            and refuse_job(self.shared_state, job) is None
            and not self.is_suspect
        )

    def take(self) -> Attempt | None:
        """Return the accepted attempt, if any, which the caller must close."""
        if not self.accepted.done() or self.accepted.cancelled():
            return None
        self.accepted.result()
        attempt = self.asked
        self.asked = None
        return attempt

    async def stop(self) -> None:
        """Look no further; close the attempt that was not taken, if any."""
        if self.asked is not None:
            self.progress.may_have_run = True
            self._log('move dropped', self.asked)
        if not self.accepted.done():
            self.accepted.cancel()
            await asyncio.wait((self.accepted,))
        attempt = self.take()
        if attempt is not None:
            await attempt.aclose()

    async def _find_engine(self) -> None:
        while True:
            placement = await self._reserve()
            if not self.may_ask():
                self.dispatcher.release(placement)
            elif await self._is_accepted(placement):
                return
            await asyncio.sleep(_MIN_PAUSE_S)

    async def _reserve(self) -> Placement:
        context = attrs.evolve(
            self.request.context,
            excluded=self.progress.excluded | {self.silent_engine},
            weights_version=self.progress.weights_version,
        )
        moving = self.dispatcher.request_move(
            self.request.job, context, may_move=self.may_ask()
        )
        try:
            await asyncio.wait((moving.caller_data.placed,))
        except asyncio.CancelledError:
            placement = self.dispatcher.withdraw_move(moving)
            if placement is not None:
                self.dispatcher.release(placement)
            raise
        return moving.caller_data.placed.result()

    async def _is_accepted(self, placement: Placement) -> bool:
        attempt = self.opener.open(placement)
        self.asked = attempt
        self._log('move begun', attempt)
        is_accepted = False
        try:
            refusal = await self._await_refusal(attempt)
            is_accepted = refusal is None
        finally:
            if not is_accepted:
                self.asked = None
                await attempt.aclose()
        if refusal is not None:
            await self._record_refusal(placement, attempt, refusal)
            return False
        placement.engine.record_acceptance(placement.attempt)
        self._log('move accepted', attempt)
        return True

    async def _await_refusal(self, attempt: Attempt) -> Failure | None:
        """Return why an engine does not go on, None if it has accepted.

        What it accepted with is left to be read. The longer the silence, the
        longer another engine may take.
        """
        if not await attempt.reader.wait(self.patience_s):
            self.patience_s = min(
                _MAX_PATIENCE_S, self.patience_s * _PATIENCE_GROWTH
            )
            return _NOT_ACCEPTED
        match attempt.reader.peek():
            case None:
                return _NOT_ACCEPTED
            case Ok(EngineMismatch(identity=identity)):
                attempt.monitor.update_identity(identity)
                return _MISMATCH
            case Ok(EngineIdentity() as identity) if not attempt.fits(identity):
                attempt.monitor.update_identity(identity)
                return _OTHER_IDENTITY
            case Err(failure):
                return failure
        return None

    async def _record_refusal(
        self, placement: Placement, attempt: Attempt, refusal: Failure
    ) -> None:
        """Record that the completion stays where it is.

        An engine that broke off, or was slow to accept, may have run it.
        """
        engine = placement.engine
        engine.record_refusal()
        self._log('move refused', attempt, refusal)
        is_run = refusal.effective_run_state is not RunState.NOT_RUN
        self.progress.may_have_run |= is_run
        if refusal.kind is ErrorKind.STREAM_BROKEN:
            engine.record_failure()
            if is_run:
                await self._record_break(engine)

    async def _record_break(self, engine: EngineState) -> None:
        """Count an attempt; look for no more if its prompt is a suspect."""
        keys = segment_keys_of(self.request.job)
        self.progress.count_broken_move(engine.name)
        has_ended = await self.shared_state.engine_ends.record_break(
            engine_process_of(engine), keys, is_starting=False
        )
        quarantine = self.shared_state.quarantine
        if has_ended and not quarantine.may_retry(keys, now_s()):
            self.is_suspect = True

    def _log(
        self, message: str, attempt: Attempt, refusal: Failure | None = None
    ) -> None:
        fields: dict[str, Any] = {
            'request_id': self.request.job.id,
            'engine': self.silent_engine,
            'other_engine': attempt.placement.engine.name,
            'relayed': self.progress.relayed_pieces,
        }
        if refusal is not None:
            fields['refusal'] = refusal.detail
        _LOG.info(message, fields=fields)


_NOT_ACCEPTED = Failure(
    kind=ErrorKind.DEADLINE_EXCEEDED,
    detail='engine did not accept at once',
    run_state=RunState.UNKNOWN,
)
_MISMATCH = Failure(
    kind=ErrorKind.NO_BACKEND_SERVER,
    detail='engine refused, as its weights or its incarnation differ',
    run_state=RunState.NOT_RUN,
)
_OTHER_IDENTITY = Failure(
    kind=ErrorKind.NO_BACKEND_SERVER,
    detail='engine accepted with other weights, or as another incarnation',
    run_state=RunState.UNKNOWN,
)
