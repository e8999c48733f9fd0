"""Execute one client request, with retries on other backend servers."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import ClientConnectionResetError
from result import Err, Ok, Result

from arbutusbay.client_ends import HalfClosedError
from arbutusbay.clock import milliseconds, now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.node._attempt_history import AttemptHistory
from arbutusbay.node._attempts import (
    AttemptFailure,
    BufferedResponse,
    OpenResponse,
    open_attempt,
)
from arbutusbay.node._incoming_request import IncomingRequest, recheck_access
from arbutusbay.node._monitored_attempt import (
    MonitoredAttempt,
    Silence,
    aborted_attempt_failure,
)
from arbutusbay.node._mover import (
    Mover,
    create_replacement,
    has_time_to_move,
    move_after_s,
)
from arbutusbay.node._placement import (
    Placement,
    PlacementRequest,
    ResumePoint,
)
from arbutusbay.node._request_dependencies import RequestDependencies
from arbutusbay.node._request_limit import limit_request
from arbutusbay.node._stop_decision import (
    is_too_late_to_send,
    refuse_for_stop,
)
from arbutusbay.node.quarantine import RequestEvidence
from arbutusbay.scheduling import (
    AttemptOutcome,
    RetryAction,
    choose_retry_action,
    was_certainly_not_executed,
)

_LOG = get_logger('request')
_MAY_PASS = frozenset((ErrorKind.NO_BACKEND_SERVER, ErrorKind.OVERLOADED))
_LOOK_INTERVAL_S = 0.1
_ANSWER_TIME_S = 0.2


class RequestExecutor:
    """Execute one request in one or more attempts.

    ``in_flight`` is True from the sending of an attempt until its failure is
    recorded. ``resume_point`` is where a stream goes on in the next attempt,
    and ``last_event_s`` when the client got an event last, None before that.
    """

    def __init__(
        self,
        *,
        dependencies: RequestDependencies,
        incoming: IncomingRequest,
        body: bytes,
        check_client: Callable[[], None],
    ) -> None:
        """Prepare to execute ``incoming``, which credits the retry budget.

        ``check_client`` is called right before each attempt and raises an
        exception if the client has ended its side.
        """
        self.dependencies = dependencies
        self.incoming = incoming
        self.body = body
        self.check_client = check_client
        self.attempt_history = AttemptHistory()
        self.in_flight = False
        self.evidence = RequestEvidence(
            incoming=incoming,
            engine_ends=dependencies.quarantine.engine_ends,
            quarantine=dependencies.node_state.quarantine,
        )
        budget = dependencies.node_state.retry_budget_of(incoming.service.name)
        budget.deposit()
        self.resume_point = ResumePoint()
        self.last_event_s: float | None = None
        self.replacement = create_replacement(dependencies, budget)
        self.mover = Mover(
            request_id=incoming.attempt_id,
            replacement=self.replacement,
            attempt_history=self.attempt_history,
            evidence=self.evidence,
            feedback=dependencies.feedback,
            open_attempt=self._open,
        )
        if incoming.is_model_request:
            dependencies.placer.record_arrival(incoming)

    async def execute(self) -> Result[BufferedResponse, Failure]:
        """Return the buffered response, or the failure once retries end.

        A server that reported a failure has given an answer, which is in the
        attempt history; it is for the caller to prefer that to the failure.
        """
        while True:
            match await self.place():
                case Err() as refused:
                    return refused
                case Ok(placement):
                    pass
            match await self._fetch_once(placement):
                case Ok() as answered:
                    return answered
                case Err(failure):
                    pass
            match await self.record_failed_attempt(placement, failure):
                case RetryAction.RETURN_FAILURE:
                    return Err(self.attempt_history.final_failure(failure))

    async def place(self) -> Result[Placement, Failure]:
        """Place the next attempt on a backend server, waiting for capacity.

        Fails if no server is available or has capacity in time, the deadline
        has passed or access was revoked. A request that may have run can't be
        refused any more, so servers that refused it are asked again until the
        deadline. Raises what ``check_client`` does.

        ``send_attempt`` releases the placement.
        """
        self.check_client()
        reserved = self.replacement.take()
        if reserved is not None:
            return Ok(reserved)
        while True:
            refused = self._check_may_send()
            if refused is not None:
                return Err(refused)
            match await self._find_place():
                case Ok(placement):
                    break
                case Err(failure) if not self._may_look_again(failure):
                    return Err(self._downgrade_if_run(failure))
            await asyncio.sleep(_LOOK_INTERVAL_S)
            self.check_client()
        try:
            self.check_client()
        except (ClientConnectionResetError, HalfClosedError):
            self.dependencies.dispatcher.release(placement)
            raise
        refused = self._check_may_send()
        if refused is not None:
            self.dependencies.dispatcher.release(placement)
            return Err(refused)
        return Ok(placement)

    @asynccontextmanager
    async def send_attempt(
        self,
        placement: Placement,
    ) -> AsyncIterator[Result[OpenResponse, AttemptFailure]]:
        """Send one attempt and yield its response with an unread body.

        An attempt that was sent there already is taken over. Releases
        ``placement`` on exit.
        """
        self.in_flight = True
        self.replacement.retry_token.use()
        pending = self.replacement.take_pending(placement)
        try:
            async with (
                pending.take_over() if pending else self._open(placement)
            ) as opened:
                yield opened
        finally:
            self.dependencies.dispatcher.release(placement)

    @asynccontextmanager
    async def monitor_attempt(
        self, placement: Placement
    ) -> AsyncIterator[MonitoredAttempt]:
        """Monitor an attempt for stalls while the context is active.

        Raises ``TimeoutError`` if a retryable attempt had better go on at
        another server that has accepted it, or if a stream has not begun while
        its weights may be used.
        """
        detector = self.dependencies.stall_detector
        async with asyncio.timeout(None) as abort_timeout:
            monitored = MonitoredAttempt(
                attempt=placement.attempt,
                view=placement.view,
                abort_timeout=abort_timeout,
                last_event_s=now_s(),
                start_by_s=placement.start_by_s
                if self.incoming.is_stream
                else float('inf'),
                move_due_s=now_s() + move_after_s(self.incoming),
                request_id=self.incoming.attempt_id,
                segment_keys=self.incoming.segment_keys,
            )
            monitored.try_move = functools.partial(self._try_move, monitored)
            detector.start_monitoring(monitored)
            try:
                yield monitored
            finally:
                detector.stop_monitoring(monitored)

    async def record_failed_attempt(
        self,
        placement: Placement,
        failure: AttemptFailure,
    ) -> RetryAction:
        """Record a failed attempt and return the next step.

        A retry that the retry budget does not cover, or that might end one more
        engine, becomes ``RetryAction.RETURN_FAILURE``. A request that may have
        run waits for the budget instead, and for a while after a refusal, until
        its client would leave.
        """
        self.in_flight = False
        view = placement.view
        self.attempt_history.record_attempt(view.id, failure)
        self.dependencies.feedback.record_failed_attempt(placement, failure)
        action = choose_retry_action(
            failure.outcome,
            self.attempt_history.attempt_count(),
            is_retryable=self._is_retryable(),
            max_attempts=self.incoming.route.max_attempts,
        )
        has_ended = await self.evidence.has_engine_ended(view, failure)
        wanted = action
        action = self._limit_retry(wanted, has_ended=has_ended)
        is_gone = has_ended
        if action is not RetryAction.RETURN_FAILURE:
            is_gone |= await self.evidence.has_server_gone(view, failure)
        if is_gone:
            self.attempt_history.record_end(view.id)
        _LOG.info(
            'attempt failed',
            fields={
                'request_id': self.incoming.attempt_id,
                'server': view.id,
                'outcome': failure.outcome.value,
                'detail': failure.detail,
                'progress': failure.progress.value,
                'body_end': failure.body_end and failure.body_end.value,
                'ended_here': failure.is_ended_here,
                'segments': [
                    segment.id
                    for segment in self.incoming.parsed_headers.shared_segments
                ],
                'server_ended': is_gone,
                'instance': failure.reported_instance,
                'expected_weights': placement.attempt_headers.weights_version,
                'runs': self.attempt_history.possible_executions,
                'rejections': self.attempt_history.unexecuted_attempts,
                'next': action.value,
                'wanted': wanted.value,
                'after_ms': _elapsed_ms(self.incoming),
            },
        )
        is_elsewhere = self.replacement.reserved is not None
        if self._is_owed() and not failure.may_have_run and not is_elsewhere:
            if not _has_time_to_look(self):
                return RetryAction.RETURN_FAILURE
            await asyncio.sleep(_LOOK_INTERVAL_S)
        while action is RetryAction.RETRY_ONCE_COVERED:
            if self.replacement.retry_token.try_withdraw():
                return RetryAction.RETRY_WITHIN_BUDGET
            if not _has_time_to_look(self):
                return RetryAction.RETURN_FAILURE
            await asyncio.sleep(_LOOK_INTERVAL_S)
        return action

    def deadline_failure(self) -> Failure:
        """Return the failure for a request that exceeded its deadline.

        If no attempt can have run, it is ``NO_BACKEND_SERVER`` instead of
        ``DEADLINE_EXCEEDED``, and the client may send the request again. If
        the VM ends before the deadline, it is ``DRAINING`` or
        ``OUTCOME_UNKNOWN``.
        """
        is_not_executed = not may_have_run(self)
        if self.dependencies.node_state.is_ending:
            return Failure(
                kind=ErrorKind.DRAINING
                if is_not_executed
                else ErrorKind.OUTCOME_UNKNOWN,
                detail='the VM shut down before there was a response',
                retry_after_s=0,
            )
        return Failure(
            kind=ErrorKind.NO_BACKEND_SERVER
            if is_not_executed
            else ErrorKind.DEADLINE_EXCEEDED,
            detail=f'no response in time ({self.attempt_history.last_detail})',
            run_state=None if is_not_executed else RunState.UNKNOWN,
        )

    def _is_owed(self) -> bool:
        """Return whether the request can't be refused truthfully any more."""
        return self._is_retryable() and not was_certainly_not_executed(
            self.attempt_history.attempt_count()
        )

    def _may_look_again(self, failure: Failure) -> bool:
        """Return whether a server may accept a moment later.

        Servers without a free place are there. One that refused may accept, and
        one that gets the weights of the last event. Otherwise none is there,
        and waiting would not help.
        """
        if not self._is_owed() or failure.kind not in _MAY_PASS:
            return False
        placer = self.dependencies.placer
        request = self._build_placement_request(self.attempt_history)
        may_accept = (
            self.attempt_history.unexecuted_attempts > 0
            or placer.find_placement(request) is not None
            or placer.will_get_weights(
                self.incoming, self.resume_point.weights_version
            )
        )
        return may_accept and _has_time_to_look(self)

    def _is_retryable(self) -> bool:
        return self.incoming.is_retryable and self.resume_point.is_certain

    def _try_move(self, monitored: MonitoredAttempt, silence: Silence) -> bool:
        """Send a request whose server is silent to another one as well.

        Returns whether there is one. After a silence that is longer than that
        of a sound server any other one will do. The attempt goes on until the
        other server has accepted.
        """
        if not self._try_reserve(monitored.view.id, silence):
            return False
        self.mover.begin(monitored)
        return True

    def _try_reserve(self, server_id: str, silence: Silence) -> bool:
        """Reserve a place for a request whose server is silent."""
        if not self._is_retryable() or not self.evidence.may_move():
            return False
        if recheck_access(
            self.dependencies.node_state,
            self.incoming,
            has_begun=self.resume_point.has_begun,
        ):
            return False
        if is_too_late_to_send(self.dependencies.node_state, self.incoming):
            return False
        if not has_time_to_move(self.incoming, silence):
            return False
        history = self.attempt_history.if_moved_from(server_id)
        action = choose_retry_action(
            AttemptOutcome.UNKNOWN,
            history.attempt_count(),
            is_retryable=True,
            max_attempts=self.incoming.route.max_attempts,
        )
        if action is RetryAction.RETURN_FAILURE:
            return False
        left_servers = frozenset((server_id,))
        request = self._build_placement_request(history).without(
            left_servers if silence.is_long else silence.quiet_servers
        )
        headless_servers = self.mover.headless_servers
        requests = [request]
        if headless_servers:
            requests.insert(0, request.without(headless_servers))
        return any(
            self.replacement.try_reserve(
                candidate, must_be_better=not silence.is_long
            )
            for candidate in requests
        )

    async def _find_place(self) -> Result[Placement, Failure]:
        """Return a place for the next attempt.

        If no other server is available, some are asked again.
        """
        dispatcher = self.dependencies.dispatcher
        request = self._build_placement_request(self.attempt_history)
        placed = await dispatcher.place(request)
        for servers in self.attempt_history.servers_to_ask_again(
            self.incoming.route.max_attempts
        ):
            match placed:
                case Err(Failure(kind=ErrorKind.NO_BACKEND_SERVER)):
                    placed = await dispatcher.place(
                        attrs.evolve(request, allowed_servers=servers)
                    )
        return placed

    def _limit_retry(
        self, action: RetryAction, *, has_ended: bool
    ) -> RetryAction:
        """Return ``action``, or how it is limited."""
        if has_ended and not self.evidence.may_retry():
            return RetryAction.RETURN_FAILURE
        if self.replacement.reserved is not None:
            return RetryAction.SEND_ELSEWHERE
        if action is not RetryAction.RETRY_WITHIN_BUDGET:
            return action
        if self.replacement.retry_token.try_withdraw():
            return action
        if self._is_owed():
            return RetryAction.RETRY_ONCE_COVERED
        return RetryAction.RETURN_FAILURE

    @asynccontextmanager
    async def _open(
        self, placement: Placement
    ) -> AsyncIterator[Result[OpenResponse, AttemptFailure]]:
        """Send one attempt and record what the head of its response shows."""
        async with open_attempt(
            self.dependencies.session,
            placement.view,
            self.incoming,
            self.body,
            placement.attempt_headers,
            self.dependencies.node_state.own_pauses,
        ) as opened:
            self.dependencies.feedback.record_head(
                placement.view, self.incoming.parsed_headers.model, opened
            )
            yield opened

    async def _fetch_once(
        self,
        placement: Placement,
    ) -> Result[BufferedResponse, AttemptFailure]:
        monitored = None
        try:
            async with self.monitor_attempt(placement) as monitored:
                fetched = await self._fetch_response(placement, monitored)
        except TimeoutError:
            return aborted_attempt_failure(monitored)
        if isinstance(fetched, Ok):
            self.dependencies.feedback.record_success(
                placement.view,
                self.incoming.route,
                placement.attempt.sent_s,
            )
            self.evidence.record_sound_response(
                placement.view, now_s(), is_end_certain=False
            )
        return fetched

    async def _fetch_response(
        self,
        placement: Placement,
        monitored: MonitoredAttempt,
    ) -> Result[BufferedResponse, AttemptFailure]:
        async with self.send_attempt(placement) as opened:
            match opened:
                case Err() as failed:
                    return failed
                case Ok(answer):
                    pass
            # Its body arrives; it is not left for one that has not begun.
            self.mover.drop(monitored)
            monitored.postpone_move(now_s() + move_after_s(self.incoming))
            return await answer.read_response()

    def _check_may_send(self) -> Failure | None:
        """Return a failure if the request may no longer be sent."""
        refused = recheck_access(
            self.dependencies.node_state,
            self.incoming,
            has_begun=self.resume_point.has_begun,
        ) or self.dependencies.quarantine.refuse(self.incoming)
        if refused is not None:
            return self._downgrade_if_run(refused)
        if self.incoming.remaining_s() <= 0:
            return self.deadline_failure()
        return refuse_for_stop(
            self.dependencies.node_state,
            self.incoming,
            point='before it is sent',
            may_have_run=bool(self.attempt_history.possible_executions),
        )

    def _build_placement_request(
        self, history: AttemptHistory
    ) -> PlacementRequest:
        """Build the placement request for the attempt after ``history``."""
        return PlacementRequest(
            incoming=self.incoming,
            excluded_servers=history.excluded_servers,
            allowed_servers=history.allowed_servers(
                self.incoming.route.max_attempts
            ),
            resume_point=self.resume_point,
        )

    def _downgrade_if_run(self, failure: Failure) -> Failure:
        """Make ``failure`` ``OUTCOME_UNKNOWN`` if the request may have run.

        The original kind would promise that the request did not run.
        """
        if was_certainly_not_executed(self.attempt_history.attempt_count()):
            return failure
        return attrs.evolve(failure, kind=ErrorKind.OUTCOME_UNKNOWN)


def _elapsed_ms(incoming: IncomingRequest) -> int:
    return int((now_s() - incoming.received_s) * 1000)


def _has_time_to_look(executor: RequestExecutor) -> bool:
    """Return whether the client still gets an answer after another look.

    The client of a stream may leave long before the deadline; the deadline
    itself has an answer of its own, unless that of a server is in hand.
    """
    incoming = executor.incoming
    leaves_s = _client_leaves_s(executor)
    is_answered = executor.attempt_history.answer_in_hand is not None
    if leaves_s >= incoming.deadline_s and not is_answered:
        return True
    has_time = now_s() + _LOOK_INTERVAL_S + _ANSWER_TIME_S < leaves_s
    if not has_time:
        _LOG.info(
            'given up before the client leaves',
            fields={
                'request_id': incoming.attempt_id,
                'client_waits_ms': milliseconds(leaves_s - now_s()),
                'runs': executor.attempt_history.possible_executions,
                'rejections': executor.attempt_history.unexecuted_attempts,
            },
        )
    return has_time


def _client_leaves_s(executor: RequestExecutor) -> float:
    """Return when the client leaves unless it gets an event."""
    incoming = executor.incoming
    if executor.last_event_s is None:
        return incoming.client_leaves_s
    return min(
        incoming.deadline_s,
        executor.last_event_s + incoming.route.client_patience_s,
    )


async def execute_before_deadline(
    executor: RequestExecutor,
) -> Result[BufferedResponse, Failure]:
    """Return the buffered response, or a failure at the deadline."""
    node_state = executor.dependencies.node_state
    try:
        async with limit_request(node_state, executor.incoming):
            return await executor.execute()
    except TimeoutError:
        return Err(executor.deadline_failure())


def may_have_run(executor: RequestExecutor) -> bool:
    """Return whether a backend server may have executed the request."""
    return (
        executor.in_flight
        or executor.replacement.pending is not None
        or executor.attempt_history.possible_executions > 0
    )


def half_closed_failure(executor: RequestExecutor) -> Failure:
    """Return the failure of a request whose client ended its stream."""
    return Failure(
        kind=ErrorKind.OUTCOME_UNKNOWN
        if may_have_run(executor)
        else ErrorKind.CLIENT_HALF_CLOSED,
        detail='the client ended its sending side before the response',
    )
