"""Drain requests in progress before the process exits."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._idle_connections import IdleConnections
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._request_limit import end_requests

_LOG = get_logger('shutdown')
_POLL_INTERVAL_S = 0.05
_READINESS_PROPAGATION_S = 2.6
_EXIT_MARGIN_S = 0.6
_ANSWER_TIME_S = 0.2


async def drain_connections(
    node_state: NodeState,
    idle_connections: IdleConnections,
    shutdown_grace_s: float,
) -> None:
    """Drain connections until none is in use or the grace period almost over.

    The process is killed ``shutdown_grace_s`` seconds after the shutdown
    starts, and must exit a margin earlier. New requests are still served
    until the load balancer has noticed that the VM is not ready. Then unused
    connections are closed and new requests rejected, and requests in progress
    have the rest of the grace period to finish. Those that have not by then
    are ended, and have a moment to answer their clients.
    """
    end_s = now_s() + shutdown_grace_s - _EXIT_MARGIN_S
    node_state.is_stopping = True
    _LOG.info(
        'draining', fields={'in_progress': len(node_state.busy_connections)}
    )
    await asyncio.sleep(_READINESS_PROPAGATION_S)
    node_state.is_rejecting_requests = True
    idle_connections.close_unused()
    while now_s() < end_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
        idle_connections.close_unused()
        if idle_connections.are_all_unused():
            break
    if node_state.busy_connections:
        await _end_requests(node_state)
    _LOG.info(
        'drained', fields={'in_progress': len(node_state.busy_connections)}
    )


async def _end_requests(node_state: NodeState) -> None:
    _LOG.info(
        'requests ended with the VM',
        fields={'in_progress': len(node_state.busy_connections)},
    )
    end_requests(node_state)
    end_s = now_s() + _ANSWER_TIME_S
    while node_state.busy_connections and now_s() < end_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
