"""Limit the time that a request may take."""

import asyncio
import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._stop_decision import is_too_late_to_send


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


@asynccontextmanager
async def limit_upload(
    node_state: NodeState, incoming: IncomingRequest
) -> AsyncIterator[None]:
    """Limit the context, which reads a body, to the time of the request.

    Raises ``TimeoutError`` at its deadline, or when ``end_late_uploads`` finds
    that the request would be refused now.
    """
    async with asyncio.timeout(max(0, incoming.remaining_s())) as limit:
        node_state.uploads[limit] = functools.partial(
            is_too_late_to_send, node_state, incoming
        )
        try:
            yield
        finally:
            node_state.uploads.pop(limit)


def end_late_uploads(node_state: NodeState) -> None:
    """End the uploads of requests that must not be sent any more."""
    moment_s = asyncio.get_running_loop().time()
    for limit, is_too_late in node_state.uploads.items():
        if is_too_late() and not limit.expired():
            limit.reschedule(moment_s)


def end_requests(node_state: NodeState) -> None:
    """End all requests in progress now, so that they answer their clients."""
    node_state.is_ending = True
    moment_s = asyncio.get_running_loop().time()
    for limit in node_state.request_limits:
        if not limit.expired():
            limit.reschedule(moment_s)
