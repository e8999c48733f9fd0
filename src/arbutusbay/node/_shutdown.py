"""Finish what is in progress before the process ends."""

import asyncio

from aiohttp import web

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s

_LOG = get_logger('shutdown')
_POLL_S = 0.05
_BALANCER_NOTICE_S = 2.6
_EXIT_MARGIN_S = 0.6


async def drain(board: NodeBoard, clients: web.Server, grace_s: float) -> None:
    """Return once nothing is in progress, or shortly before the kill.

    Until the balancer has seen the VM not ready, requests are served;
    then idle connections are closed and new requests refused, so that what
    is in progress has the rest of the time to finish.
    """
    end_s = now_s() + grace_s - _EXIT_MARGIN_S
    board.is_stopping = True
    _LOG.info('draining', fields={'in_progress': len(board.busy)})
    await asyncio.sleep(_BALANCER_NOTICE_S)
    board.is_refusing = True
    while now_s() < end_s:
        _close_idle(board, clients)
        if not board.busy:
            break
        await asyncio.sleep(_POLL_S)
    _LOG.info('drained', fields={'in_progress': len(board.busy)})


def _close_idle(board: NodeBoard, clients: web.Server) -> None:
    for connection in clients.connections:
        if connection not in board.busy:
            connection.force_close()
