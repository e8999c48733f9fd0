"""Drain requests in progress before the process exits."""

import asyncio

from aiohttp import web

from arbutusbay.logs import get_logger
from arbutusbay.node._clock import now_s
from arbutusbay.node._node_state import NodeState

_LOG = get_logger('shutdown')
_POLL_INTERVAL_S = 0.05
_READINESS_PROPAGATION_S = 2.6
_EXIT_MARGIN_S = 0.6


async def drain(
    board: NodeState, clients: web.Server, shutdown_grace_s: float
) -> None:
    """Drain connections until none is busy or the grace period is almost over.

    Return early enough for the process to exit before it is killed,
    ``shutdown_grace_s`` seconds after the start. New requests are still served
    until the load balancer has noticed that the VM is not ready. Then idle
    connections are closed and new requests rejected, and requests in progress
    have the rest of the grace period to finish.
    """
    end_s = now_s() + shutdown_grace_s - _EXIT_MARGIN_S
    board.is_stopping = True
    _LOG.info('draining', fields={'in_progress': len(board.busy)})
    await asyncio.sleep(_READINESS_PROPAGATION_S)
    board.is_rejecting_requests = True
    while now_s() < end_s:
        _close_idle_connections(board, clients)
        if not board.busy:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    _LOG.info('drained', fields={'in_progress': len(board.busy)})


def _close_idle_connections(board: NodeState, clients: web.Server) -> None:
    for connection in clients.connections:
        if connection not in board.busy:
            connection.force_close()
