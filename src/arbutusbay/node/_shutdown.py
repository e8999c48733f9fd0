"""Drain requests in progress before the process exits."""

import asyncio
import functools

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._idle_connections import IdleConnections
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._request_limit import end_late_uploads, end_requests
from arbutusbay.node._stop_decision import refuse_for_stop, stop_fields
from arbutusbay.planned_stop import PlannedStop, plan_stop

_LOG = get_logger('shutdown')
_POLL_INTERVAL_S = 0.05


async def drain_connections(
    node_state: NodeState,
    dispatcher: Dispatcher,
    idle_connections: IdleConnections,
    shutdown_grace_s: float,
) -> None:
    """Drain connections until none is in use or the grace period almost over.

    The process is killed ``shutdown_grace_s`` seconds after the signal, which
    may have come in a pause of this VM, and must exit a margin earlier. New
    requests are still served until the load balancer has noticed that the VM
    is not ready. Then unused connections are closed and new requests rejected,
    and requests in progress have the rest of the grace period to finish. Those
    that wait are rejected once that is too short for them. Those that have not
    finished by then are ended, and have a moment to answer their clients.
    """
    began_s = node_state.own_pauses.earliest_start_s(now_s())
    stop = plan_stop(began_s, shutdown_grace_s)
    node_state.stop = stop
    node_state.notify_report_changed()
    _LOG.info(
        'draining',
        fields={
            'in_progress': len(node_state.busy_connections),
            **stop_fields(node_state),
        },
    )
    while now_s() < stop.requests_end_s:
        _refuse_late_requests(node_state, dispatcher)
        if not stop.takes_new_requests(now_s()):
            idle_connections.close_unused()
            if idle_connections.are_all_unused():
                break
        await asyncio.sleep(_POLL_INTERVAL_S)
    if node_state.busy_connections:
        await _end_requests(node_state, stop)
    _LOG.info(
        'drained',
        fields={
            'in_progress': len(node_state.busy_connections),
            'unsent_bytes': idle_connections.count_unsent_bytes(),
        },
    )


def _refuse_late_requests(
    node_state: NodeState, dispatcher: Dispatcher
) -> None:
    """Refuse the requests that wait for a body or an engine for too long."""
    end_late_uploads(node_state)
    dispatcher.reject_queued(
        functools.partial(refuse_for_stop, node_state, point='in the queue')
    )


async def _end_requests(node_state: NodeState, stop: PlannedStop) -> None:
    _LOG.info(
        'requests ended with the VM',
        fields={'in_progress': len(node_state.busy_connections)},
    )
    end_requests(node_state)
    while node_state.busy_connections:
        # Also if it is late, they need a turn of the event loop.
        await asyncio.sleep(_POLL_INTERVAL_S)
        if now_s() >= stop.exit_s:
            return
