"""Queue requests for models until an engine has capacity.

Requests are placed as late as possible: they wait in a queue of this VM
rather than at an engine, so that the engine and the order of requests are
chosen from current state.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator, Mapping

import attrs
from result import Err, Ok, Result

from arbutusbay.admission import StartEstimate, retry_after_s
from arbutusbay.clock import milliseconds, now_s
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fairness import ExpectedReturns, work_tokens
from arbutusbay.logs import get_logger
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._left_places import leaves_place
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placement import (
    Placement,
    PlacementRequest,
    request_size_of,
    return_key_of,
)
from arbutusbay.node._placer import Placer
from arbutusbay.node._store_checks import record_fetch
from arbutusbay.scheduling import (
    AdmissionQueue,
    Attempt,
    EngineView,
    QueuedRequest,
)

_LOG = get_logger('dispatcher')
_DISPATCH_INTERVAL_S = 0.02
_MAX_TRIED_PER_TURN = 16
_RETRY_AFTER_S = 1.0
_MIN_SAMPLE_TOKENS = 2000
_SMOOTHING_FACTOR = 0.1
_MIN_PREFILL_S_PER_TOKEN = 0.000005
_MAX_PREFILL_S_PER_TOKEN = 0.0001
# An engine may have as much queued prefill before a request, see the placer.
_START_MARGIN_LATENCY_SHARE = 0.6
_MAX_MARGIN_SHARE = 0.5
_CALL_MARGIN_SHARE = 0.25
_MIN_CALL_S = 0.01
# The work of teams is compared within a service, so any unit would do.
_CALL_TOKENS_PER_S = 10_000
_RETURNING = frozenset((ErrorKind.OVERLOADED, ErrorKind.NO_BACKEND_SERVER))
# How many times the mean work of the teams a team may get before the others
# come first: see ``FairQueue``. Within it the target decides.
_TEAM_ALLOWANCE = 1.1


@attrs.define(kw_only=True, eq=False)
class PendingPlacement(QueuedRequest):
    """Represent a queued request and the future of its placement.

    ``has_waited`` is set once it was not placed at its arrival. ``estimate`` is
    the last prediction of its start, None while it has not waited.
    ``lacks`` counts the engines by what they lacked when it was last tried.
    """

    request: PlacementRequest
    future: asyncio.Future[Result[Placement, Failure]]
    has_waited: bool = False
    estimate: StartEstimate | None = None
    lacks: Mapping[str, int] = attrs.field(factory=dict)


class Dispatcher:
    """Place requests on backend servers, queueing those that may wait.

    ``queues`` maps the names of services to their queues.
    """

    def __init__(self, *, node_state: NodeState, placer: Placer) -> None:
        """Choose backend servers with ``placer``."""
        self.node_state = node_state
        self.placer = placer
        self.queues: dict[str, AdmissionQueue] = {}
        self.has_waiting = asyncio.Event()

    async def place(
        self, request: PlacementRequest
    ) -> Result[Placement, Failure]:
        """Return a placement, waiting for capacity if the request may wait.

        Fails with ``NO_BACKEND_SERVER`` if no server is eligible, and with
        ``OVERLOADED`` once the request is not predicted to start while its
        client waits, or if all servers asked for a pause that ends too late.
        The caller must release every placement that it gets.
        """
        if not request.can_queue:
            return self._place_immediately(request)
        name = request.incoming.service.name
        queue = self._queue_of(name)
        pending = self._build_pending(request)
        queue.push(pending)
        self._dispatch_queue(queue)
        if now_s() - queue.decided_s >= _DISPATCH_INTERVAL_S:
            self._decide_on_waiting(queue)
        if not pending.future.done():
            self.has_waiting.set()
        try:
            return await pending.future
        except asyncio.CancelledError:
            self._withdraw(queue, pending)
            raise

    def release(self, placement: Placement) -> None:
        """Release a placement, then place queued requests that now fit."""
        self.placer.release(placement)
        self.place_waiting()

    def record_first_event(self, attempt: Attempt, view: EngineView) -> None:
        """Update the prefill time per token, then place queued requests.

        The estimate is an exponential moving average, corrected for the
        engine's slowdown. Prompts of few tokens are ignored, and so are
        samples that span a pause of this VM.
        """
        tokens = attempt.uncached_tokens + attempt.queued_ahead_tokens
        moment_s = now_s()
        has_paused = self.node_state.own_pauses.has_paused_since(
            attempt.sent_s, moment_s
        )
        if not has_paused:
            self.node_state.speeds.record_first_event(view, attempt, moment_s)
            record_fetch(self.node_state, attempt, moment_s)
        if tokens >= _MIN_SAMPLE_TOKENS and not has_paused:
            slowdown = max(1.0, view.current_slowdown(moment_s))
            sample_s = (moment_s - attempt.sent_s) / tokens / slowdown
            previous_s = self.node_state.prefill_s_per_token
            estimate_s = previous_s + _SMOOTHING_FACTOR * (
                sample_s - previous_s
            )
            self.node_state.prefill_s_per_token = min(
                _MAX_PREFILL_S_PER_TOKEN,
                max(_MIN_PREFILL_S_PER_TOKEN, estimate_s),
            )
        self.node_state.notify_report_changed()
        self.place_waiting()

    def reject_queued(
        self, refuse: Callable[[IncomingRequest], Failure | None]
    ) -> None:
        """Reject the queued requests for which ``refuse`` returns a failure."""
        for queue in self.queues.values():
            for pending in tuple(queue.waiting):
                failure = refuse(pending.request.incoming)
                if failure is not None and not pending.future.done():
                    self._resolve(queue, pending, Err(failure))

    async def run(self) -> None:
        """Place or refuse queued requests at a fixed interval until cancelled.

        Without queued requests it sleeps.
        """
        while True:
            await self.has_waiting.wait()
            await asyncio.sleep(_DISPATCH_INTERVAL_S)
            self.place_waiting()
            self.decide_on_waiting()
            if not any(self.queues.values()):
                self.has_waiting.clear()

    def place_waiting(self) -> None:
        """Place queued requests that fit now and reject expired ones."""
        for queue in self.queues.values():
            if queue:
                self._dispatch_queue(queue)

    def decide_on_waiting(self) -> None:
        """Refuse queued requests that can't start while their client waits."""
        for queue in self.queues.values():
            self._decide_on_waiting(queue)

    def _dispatch_queue(self, queue: AdmissionQueue) -> None:
        moment_s = now_s()
        queue.begin_turn(
            moment_s,
            has_engines=self.placer.has_accepting_engine(queue.service),
        )
        _remove_cancelled(queue)
        for expired in queue.expired_requests(moment_s):
            estimate = _predict_again(queue, expired, moment_s)
            is_new = not expired.has_waited and moment_s < expired.deadline_s
            if is_new:
                self._place_or_refuse(queue, expired, estimate)
            else:
                self._refuse_start(queue, expired, estimate)
        has_progress = True
        while has_progress and queue:
            has_progress = self._place_next(queue, moment_s)
        queue.record_waiting(moment_s)

    def _decide_on_waiting(self, queue: AdmissionQueue) -> None:
        """Decide again on each queued request, in the order of starts."""
        if not queue:
            return
        moment_s = now_s()
        queue.decided_s = moment_s
        returning = self.placer.returning_places(queue.service)
        held = self.placer.held_places(queue.service)
        for pending, estimate in queue.estimates(moment_s, returning, held):
            pending.estimate = estimate
            if not pending.has_waited:
                pending.has_waited = True
                self.node_state.notify_report_changed()
                _log_wait(pending, queue)
            if not estimate.is_in_time(pending.latest_start_s):
                self._place_or_refuse(queue, pending, estimate)
        queue.record_waiting(moment_s)

    def _place_or_refuse(
        self,
        queue: AdmissionQueue,
        pending: PendingPlacement,
        estimate: StartEstimate,
    ) -> None:
        """Refuse a request, unless it fits now: few are tried in a turn."""
        placement = self.placer.find_placement(pending.request)
        if placement is not None and placement.has_capacity:
            self._resolve(queue, pending, Ok(placement), was_placed=True)
            return
        pending.lacks = placement.lack_counts if placement else {}
        self._refuse_start(queue, pending, estimate)

    def _refuse_start(
        self,
        queue: AdmissionQueue,
        pending: PendingPlacement,
        estimate: StartEstimate,
    ) -> None:
        """Refuse a request that would start after its client has left."""
        incoming = pending.request.incoming
        left_s = incoming.client_leaves_s - estimate.predicted_s
        failure = Failure(
            kind=ErrorKind.OVERLOADED
            if incoming.is_model_request
            else ErrorKind.NO_BACKEND_SERVER,
            detail=f'a start is predicted in {estimate.delay_s:.2f} s, '
            f'the client waits for {left_s:.2f} s: {estimate.ahead} '
            f'requests ahead, {estimate.places_per_s:.2f} places/s',
            retry_after_s=retry_after_s(
                estimate,
                remaining_s=incoming.deadline_s - estimate.predicted_s,
                spread=self.node_state.rng.random(),
            ),
        )
        self._resolve(queue, pending, Err(failure))

    def _place_next(self, queue: AdmissionQueue, moment_s: float) -> bool:
        """Resolve the first request that can be placed or has no server.

        Returns False if all queued requests have to keep waiting. Only the
        first ones are tried, and the first of each team, urgency and size:
        where these do not fit, the others rarely do.
        """
        for pending in _tried_requests(queue, moment_s):
            placement = self.placer.find_placement(pending.request)
            match placement:
                case None if self._may_be_accepted_later(pending):
                    continue
                case None:
                    self._resolve(
                        queue, pending, self._rejection_of(pending.request)
                    )
                    return True
                case Placement() if placement.has_capacity and leaves_place(
                    self.node_state, queue, pending, moment_s
                ):
                    return False
                case Placement() if placement.has_capacity:
                    self._resolve(
                        queue, pending, Ok(placement), was_placed=True
                    )
                    return True
                case Placement():
                    pending.lacks = placement.lack_counts
        return False

    def _may_be_accepted_later(self, pending: PendingPlacement) -> bool:
        """Return whether a server that asked for a pause may accept in time.

        Calls to plain servers don't wait for the end of a pause.
        """
        if not pending.request.incoming.is_model_request:
            return False
        accepted_s = self.placer.next_acceptance_s(pending.request)
        return accepted_s is not None and pending.can_meet_deadline(accepted_s)

    def _rejection_of(self, request: PlacementRequest) -> Err[Failure]:
        """Return the failure of a request that no server accepts now."""
        accepted_s = self.placer.next_acceptance_s(request)
        if accepted_s is None:
            return _no_server(self.placer.count_obstacles(request))
        return _pause_requested(accepted_s - now_s())

    def _resolve(
        self,
        queue: AdmissionQueue,
        pending: PendingPlacement,
        outcome: Result[Placement, Failure],
        *,
        was_placed: bool = False,
    ) -> None:
        if was_placed:
            queue.record_place(pending, now_s())
            known = self.node_state.fleet_queues.of_service(queue.service)
            known.left_places.record_start(now_s())
        queue.remove(pending, was_placed=was_placed)
        _log_end_of_wait(pending, queue, 'placed' if was_placed else 'refused')
        if isinstance(outcome, Ok):
            self.placer.commit(pending.request, outcome.ok_value)
        else:
            _expect_return(self.node_state.returns, pending, outcome.err_value)
        pending.future.set_result(outcome)

    def _queue_of(self, service: str) -> AdmissionQueue:
        if service not in self.queues:
            known = self.node_state.fleet_queues.of_service(service)
            known.queue = AdmissionQueue(
                service=service,
                team_work=known.team_work,
                allowance=_TEAM_ALLOWANCE,
            )
            self.queues[service] = known.queue
        return self.queues[service]

    def _place_immediately(
        self, request: PlacementRequest
    ) -> Result[Placement, Failure]:
        placement = self.placer.find_placement(request)
        if placement is not None:
            self.placer.commit(request, placement)
            return Ok(placement)
        return self._rejection_of(request)

    def _withdraw(
        self, queue: AdmissionQueue, pending: PendingPlacement
    ) -> None:
        """Remove a request whose client disconnected while it was queued.

        A placement that was granted but not collected is released.
        """
        if pending in queue.waiting:
            queue.remove(pending, was_placed=False)
            _log_end_of_wait(pending, queue, 'client left')
        elif pending.future.done() and not pending.future.cancelled():
            match pending.future.result():
                case Ok(placement):
                    self.release(placement)

    def _build_pending(self, request: PlacementRequest) -> PendingPlacement:
        loop = asyncio.get_running_loop()
        incoming = request.incoming
        size = request_size_of(incoming)
        tokens = size.prompt_tokens - size.shared_prefix_tokens
        service_s = _service_s(self.node_state, incoming, tokens)
        margin_s = min(
            _start_margin_s(incoming, service_s),
            (incoming.client_leaves_s - now_s()) * _MAX_MARGIN_SHARE,
        )
        return PendingPlacement(
            priority_level=incoming.route.priority,
            arrived_s=incoming.received_s,
            first_event_due_s=incoming.received_s
            + incoming.route.target_latency_s,
            deadline_s=incoming.client_leaves_s,
            service_s=service_s,
            latest_start_s=incoming.client_leaves_s - service_s - margin_s,
            team=incoming.team.name if incoming.team else '',
            weighted_work=_work_of(incoming, tokens, service_s),
            size_class=size.prompt_tokens.bit_length(),
            has_returned=self.node_state.returns.take(
                return_key_of(incoming), now_s()
            ),
            request=request,
            future=loop.create_future(),
        )


def _service_s(
    node_state: NodeState, incoming: IncomingRequest, tokens: int
) -> float:
    """Return how long a server works before the first event or the answer."""
    if incoming.is_model_request:
        return tokens * node_state.prefill_s_per_token
    return node_state.speeds.book.expected_s(
        incoming.service.name, incoming.route.name
    )


def _work_of(incoming: IncomingRequest, tokens: int, service_s: float) -> float:
    """Return the work of a request, which its team got once it is placed."""
    if incoming.is_model_request:
        return work_tokens(tokens, request_size_of(incoming).output_tokens)
    return _CALL_TOKENS_PER_S * max(_MIN_CALL_S, service_s)


def _start_margin_s(incoming: IncomingRequest, service_s: float) -> float:
    """Return how much earlier to start than the expected work needs."""
    if incoming.is_model_request:
        return incoming.route.target_latency_s * _START_MARGIN_LATENCY_SHARE
    return service_s * _CALL_MARGIN_SHARE


def _predict_again(
    queue: AdmissionQueue, pending: PendingPlacement, moment_s: float
) -> StartEstimate:
    """Return the prediction of a start as of now.

    A request that waits expires only while this VM stands still, so its last
    prediction is from before.
    """
    known = pending.estimate
    ahead = len(queue) if known is None else known.ahead
    return queue.starts.predict(ahead=ahead, now_s=moment_s)


def _tried_requests(
    queue: AdmissionQueue, moment_s: float
) -> Iterator[PendingPlacement]:
    """Yield the queued requests that are tried in one turn."""
    first = tuple(
        itertools.islice(queue.in_service_order(moment_s), _MAX_TRIED_PER_TURN)
    )
    yield from first
    if len(queue) > len(first):
        others = (head for head in queue.heads(moment_s) if head not in first)
        yield from itertools.islice(others, _MAX_TRIED_PER_TURN)


def _expect_return(
    returns: ExpectedReturns, pending: PendingPlacement, failure: Failure
) -> None:
    """Remember a refused request, so that it goes first if it returns."""
    if failure.kind in _RETURNING and failure.retry_after_s:
        returns.expect(
            return_key_of(pending.request.incoming),
            after_s=failure.retry_after_s,
            now_s=now_s(),
        )


def _log_wait(pending: PendingPlacement, queue: AdmissionQueue) -> None:
    incoming = pending.request.incoming
    _LOG.info(
        'waits for an engine',
        fields={
            'request_id': incoming.attempt_id,
            'waiting': len(queue),
            'service_ms': milliseconds(pending.service_s),
            'team': pending.team,
            'priority': pending.priority_level,
            'has_returned': pending.has_returned,
            'client_waits_ms': milliseconds(incoming.client_leaves_s - now_s()),
            **_estimate_fields(pending),
        },
    )


def _log_end_of_wait(
    pending: PendingPlacement, queue: AdmissionQueue, outcome: str
) -> None:
    """Log how a request left the queue, unless it was placed at once."""
    if not pending.has_waited:
        return
    incoming = pending.request.incoming
    moment_s = now_s()
    _LOG.info(
        'left the queue',
        fields={
            'request_id': incoming.attempt_id,
            'outcome': outcome,
            'waited_ms': milliseconds(moment_s - pending.arrived_s),
            'waiting': len(queue),
            'client_waits_ms': milliseconds(
                incoming.client_leaves_s - moment_s
            ),
            'lacks': dict(pending.lacks),
            **_estimate_fields(pending),
        },
    )


def _estimate_fields(
    pending: PendingPlacement,
) -> dict[str, float | int | None]:
    return pending.estimate.log_fields() if pending.estimate else {}


def _remove_cancelled(queue: AdmissionQueue) -> None:
    """Remove requests that were cancelled but whose tasks did not run yet."""
    for pending in tuple(queue.waiting):
        if pending.future.cancelled():
            queue.remove(pending, was_placed=False)
            _log_end_of_wait(pending, queue, 'client left')


def _pause_requested(pause_s: float) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.OVERLOADED,
            detail='all backend servers asked for a pause',
            retry_after_s=pause_s,
        ),
    )


def _no_server(obstacles: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.NO_BACKEND_SERVER,
            detail=f'no backend server is available: {obstacles}',
            retry_after_s=_RETRY_AFTER_S / 2,
        ),
    )
