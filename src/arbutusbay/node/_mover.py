"""Move a request from a silent server once another one has accepted it.

Until then the response of the silent server is still read, and goes on if that
server does. An answer in hand is not given up for one that may be refused.
"""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

import attrs

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._attempt_history import AttemptHistory
from arbutusbay.node._attempts import AttemptFailure, OpenResponse
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._monitored_attempt import MonitoredAttempt, Silence
from arbutusbay.node._pending_attempt import Opened, PendingAttempt
from arbutusbay.node._placement import Placement
from arbutusbay.node._replacement import Replacement
from arbutusbay.node._request_dependencies import RequestDependencies
from arbutusbay.node._server_feedback import ServerFeedback
from arbutusbay.node.quarantine import RequestEvidence
from arbutusbay.scheduling import AttemptOutcome, RetryBudget

_LOG = get_logger('request')
_MIN_TIME_LEFT_FACTOR = 1.5
_MOVE_AFTER_TARGET_FACTOR = 1.5


def _is_no_failure(answer: OpenResponse) -> bool:
    return not answer.is_failure


@attrs.define(kw_only=True)
class Mover:
    """Move one request to the place that its ``replacement`` has reserved.

    ``may_continue_with`` returns whether a response may be passed on behind
    what the client has received already. ``headless_servers`` holds the ids of
    the servers that began no response in time.
    """

    request_id: str
    replacement: Replacement
    attempt_history: AttemptHistory
    evidence: RequestEvidence
    feedback: ServerFeedback
    open_attempt: Callable[[Placement], AbstractAsyncContextManager[Opened]]
    may_continue_with: Callable[[OpenResponse], bool] = _is_no_failure
    headless_servers: frozenset[str] = frozenset()

    def begin(self, monitored: MonitoredAttempt) -> None:
        """Send the request to the reserved place as well."""
        placement = self.replacement.reserved
        self._log('move begun', monitored, placement)
        pending = self.replacement.send(self.open_attempt(placement))
        self.replacement.watch(self._watch(monitored, pending))

    def drop(self, monitored: MonitoredAttempt) -> None:
        """Give up a move, as the server of ``monitored`` goes on.

        It counts as a run only if the other server has begun.
        """
        monitored.is_moving = False
        pending = self.replacement.pending
        if pending is None:
            return
        self.replacement.release()
        self._log('move dropped', monitored, pending.placement)
        if pending.may_have_run:
            self.attempt_history.record_attempt(
                pending.placement.view.id,
                AttemptFailure(
                    outcome=AttemptOutcome.WITHDRAWN, detail='move dropped'
                ),
            )

    async def _watch(
        self, monitored: MonitoredAttempt, pending: PendingAttempt
    ) -> None:
        """Wait until another server accepts or refuses the request."""
        try:
            failure = await pending.find_refusal(self.may_continue_with)
        except Exception:
            _LOG.exception(
                'move ended for an error in the program',
                fields={'request_id': self.request_id},
            )
            self.replacement.release()
            monitored.is_moving = False
            return
        if failure is None:
            monitored.accept_move(pending.placement.view.id)
            return
        self.replacement.release()
        await self._record_refusal(monitored, pending.placement, failure)
        monitored.is_moving = False

    async def _record_refusal(
        self,
        monitored: MonitoredAttempt,
        placement: Placement,
        failure: AttemptFailure,
    ) -> None:
        """Record why the other server does not go on with the request.

        Refusals are not counted, as the request is at work where it was.
        """
        self._log('move refused', monitored, placement, failure.detail)
        self.feedback.record_failed_attempt(placement, failure)
        if failure.outcome is AttemptOutcome.WITHDRAWN:
            self.headless_servers |= {placement.view.id}
        elif failure.may_have_run:
            self.attempt_history.record_attempt(placement.view.id, failure)
        has_ended = await self.evidence.has_engine_ended(
            placement.view, failure
        )
        if has_ended or await self.evidence.has_server_gone(
            placement.view, failure
        ):
            self.attempt_history.record_end(placement.view.id)

    def _log(
        self,
        message: str,
        monitored: MonitoredAttempt,
        placement: Placement,
        detail: str = '',
    ) -> None:
        _LOG.info(
            message,
            fields={
                'request_id': self.request_id,
                'server': monitored.view.id,
                'to': placement.view.id,
                'silent_ms': milliseconds(now_s() - monitored.last_event_s),
                'detail': detail,
            },
        )


def create_replacement(
    dependencies: RequestDependencies, budget: RetryBudget
) -> Replacement:
    """Return what holds the next place of a request, none yet."""
    return Replacement(
        placer=dependencies.placer,
        dispatcher=dependencies.dispatcher,
        budget=budget,
    )


def has_time_to_move(incoming: IncomingRequest, silence: Silence) -> bool:
    """Return whether another server may well answer a call in time.

    It may take as long as this one has, which begins anew there.
    """
    if incoming.is_stream:
        return True
    needed_s = silence.duration_s * _MIN_TIME_LEFT_FACTOR
    return incoming.remaining_s() > needed_s


def move_after_s(incoming: IncomingRequest) -> float:
    """Return after how long an attempt had better go on elsewhere.

    That is for idempotent requests that are no streams. Infinity means never,
    also where the route has no target latency.
    """
    if incoming.is_stream or not incoming.is_retryable:
        return float('inf')
    return incoming.route.target_latency_s * _MOVE_AFTER_TARGET_FACTOR or float(
        'inf'
    )
