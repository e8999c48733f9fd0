"""Finish what is in progress before the process ends."""

import asyncio

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s

_LOG = get_logger('shutdown')
_POLL_S = 0.05
_BALANCER_NOTICE_S = 3.0
_EXIT_MARGIN_S = 0.6


async def drain(board: NodeBoard, grace_s: float) -> None:
    """Return once nothing is in progress, or shortly before the kill.

    Clients still reach the VM until the balancer has seen it not ready.
    """
    started_s = now_s()
    board.is_stopping = True
    _LOG.info('draining', fields={'in_progress': board.requests_in_progress})
    while True:
        await asyncio.sleep(_POLL_S)
        elapsed_s = now_s() - started_s
        is_idle = not board.requests_in_progress
        if elapsed_s > _BALANCER_NOTICE_S and is_idle:
            break
        if elapsed_s > grace_s - _EXIT_MARGIN_S:
            break
    _LOG.info('drained', fields={'in_progress': board.requests_in_progress})
