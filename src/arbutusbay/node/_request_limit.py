"""Limit the time that a request may take."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState


@asynccontextmanager
async def limit_request(
    node_state: NodeState, incoming: IncomingRequest
) -> AsyncIterator[None]:
    """Limit the context to the time that is left of a request.

    Raises ``TimeoutError`` at its deadline, or when ``end_requests`` is
    called.
    """
    async with asyncio.timeout(max(0, incoming.remaining_s())) as limit:
        node_state.request_limits.add(limit)
        try:
            yield
        finally:
            node_state.request_limits.discard(limit)


def end_requests(node_state: NodeState) -> None:
    """End all requests in progress now, so that they answer their clients."""
    node_state.is_ending = True
    moment_s = asyncio.get_running_loop().time()
    for limit in node_state.request_limits:
        if not limit.expired():
            limit.reschedule(moment_s)
