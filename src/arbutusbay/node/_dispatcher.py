"""Bind requests for models to engines as late as possible."""

import asyncio

import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._placement import Demand, Placement, work_of
from arbutusbay.node._placer import Placer
from arbutusbay.scheduling import (
    Attempt,
    EngineView,
    OverloadQueue,
    QueuedRequest,
)

_LOG = get_logger('dispatcher')
_PUMP_S = 0.02
_RETRY_AFTER_S = 1.0
_MIN_TIMED_TOKENS = 2000
_SMOOTHING = 0.1
_MIN_PREFILL_S = 0.000005
_MAX_PREFILL_S = 0.0001


@attrs.define(kw_only=True, eq=False)
class Ticket(QueuedRequest):
    """Hold a waiting request and the future of its placement."""

    demand: Demand
    placed: asyncio.Future[Result[Placement, Failure]]


class Dispatcher:
    """Place requests at once, or when an engine has room for them."""

    def __init__(self, *, board: NodeBoard, placer: Placer) -> None:
        """Place through ``placer``."""
        self.board = board
        self.placer = placer
        self.queues: dict[str, OverloadQueue] = {}

    async def place(self, demand: Demand) -> Result[Placement, Failure]:
        """Return a placement, or why there is none.

        The caller must release every placement that it gets.
        """
        if not demand.may_wait:
            return self._place_now(demand)
        self.placer.put_arrival(demand.incoming)
        name = demand.incoming.service.name
        queue = self.queues.setdefault(name, OverloadQueue())
        ticket = self._ticket(demand)
        queue.push(ticket)
        self._pump_queue(queue)
        if not ticket.placed.done():
            self._log_wait(ticket, queue)
        try:
            return await ticket.placed
        except asyncio.CancelledError:
            self._withdraw(queue, ticket)
            raise

    def release(self, placement: Placement) -> None:
        """Give a place back and use it for who waits."""
        self.placer.release(placement)
        self.pump()

    def put_first_event(self, attempt: Attempt, view: EngineView) -> None:
        """Learn from a first event how long prompts take, and pump."""
        tokens = attempt.uncached_tokens + attempt.ahead_tokens
        if tokens >= _MIN_TIMED_TOKENS:
            moment_s = now_s()
            slowdown = max(1.0, view.current_slowdown(moment_s))
            seen_s = (moment_s - attempt.sent_s) / tokens / slowdown
            held_s = self.board.prefill_s
            learned_s = held_s + _SMOOTHING * (seen_s - held_s)
            self.board.prefill_s = min(
                _MAX_PREFILL_S,
                max(_MIN_PREFILL_S, learned_s),
            )
        self.board.notify_load()
        self.pump()

    async def run(self) -> None:
        """Place waiting requests until cancelled."""
        while True:
            await asyncio.sleep(_PUMP_S)
            self.pump()

    def pump(self) -> None:
        """Place what has room now, refuse what waited too long."""
        for queue in self.queues.values():
            if len(queue):
                self._pump_queue(queue)

    def _pump_queue(self, queue: OverloadQueue) -> None:
        moment_s = now_s()
        for overdue in queue.unservable(moment_s):
            self._resolve(queue, overdue, _unservable(overdue, moment_s))
        is_placing = True
        while is_placing and len(queue):
            is_placing = self._place_next(queue, moment_s)

    def _place_next(self, queue: OverloadQueue, moment_s: float) -> bool:
        for ticket in queue.in_order(moment_s):
            found = self.placer.find(ticket.demand)
            match found:
                case None:
                    self._resolve(queue, ticket, _no_server())
                    return True
                case Placement() if found.has_room:
                    self._resolve(queue, ticket, Ok(found), is_started=True)
                    return True
        return False

    def _resolve(
        self,
        queue: OverloadQueue,
        ticket: QueuedRequest,
        outcome: Result[Placement, Failure],
        *,
        is_started: bool = False,
    ) -> None:
        queue.remove(ticket, is_started=is_started)
        if isinstance(outcome, Ok):
            self.placer.commit(ticket.demand, outcome.ok_value)
        ticket.placed.set_result(outcome)

    def _place_now(self, demand: Demand) -> Result[Placement, Failure]:
        found = self.placer.find(demand)
        if found is None:
            return _no_server()
        self.placer.commit(demand, found)
        return Ok(found)

    def _withdraw(self, queue: OverloadQueue, ticket: Ticket) -> None:
        """Forget a request whose client left while it waited."""
        if ticket in queue.waiting:
            queue.remove(ticket, is_started=False)
        elif ticket.placed.done() and not ticket.placed.cancelled():
            match ticket.placed.result():
                case Ok(placement):
                    self.release(placement)

    def _ticket(self, demand: Demand) -> Ticket:
        loop = asyncio.get_running_loop()
        incoming = demand.incoming
        work = work_of(incoming)
        tokens = work.prompt_tokens - work.shared_tokens
        return Ticket(
            rank=incoming.route.priority,
            arrived_s=incoming.received_s,
            target_s=incoming.received_s + incoming.route.target_latency_s,
            end_s=incoming.deadline_s,
            service_s=tokens * self.board.prefill_s,
            demand=demand,
            placed=loop.create_future(),
        )

    def _log_wait(self, ticket: Ticket, queue: OverloadQueue) -> None:
        _LOG.info(
            'waits for an engine',
            fields={
                'request_id': ticket.demand.incoming.id,
                'waiting': len(queue),
                'service_ms': int(ticket.service_s * 1000),
            },
        )


def _unservable(
    ticket: QueuedRequest,
    moment_s: float,
) -> Err[Failure]:
    waited_s = moment_s - ticket.arrived_s
    return Err(
        Failure(
            kind=ErrorKind.OVERLOADED,
            detail=f'no engine had room for {waited_s:.1f} s',
            retry_after_s=max(_RETRY_AFTER_S, waited_s),
        ),
    )


def _no_server() -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.NO_BACKEND_SERVER,
            detail='no backend server takes the request',
            retry_after_s=_RETRY_AFTER_S / 2,
        ),
    )
