"""Serve a connection whose client is awaited within the budget for readers."""

import asyncio
from typing import Any

from aiohttp import web

from arbutusbay._reader_flow import ReaderFlow


class FlowHandler(web.RequestHandler):
    """Follow how the client takes what is sent.

    ``flow`` is None without a connection.
    """

    def __init__(self, server: web.Server, **options: Any) -> None:
        """Accept the same ``options`` as ``web.RequestHandler``."""
        super().__init__(server, **options)
        self.flow: ReaderFlow | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to follow the client."""
        super().connection_made(transport)
        self.flow = ReaderFlow(transport=transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let nothing wait for the client any more."""
        if self.flow is not None:
            self.flow.lose()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that too much waits for the client."""
        super().pause_writing()
        self.flow.has_room.clear()

    def resume_writing(self) -> None:
        """Note that the client has taken most of what waited for it."""
        super().resume_writing()
        self.flow.has_room.set()

    async def _drain_helper(self) -> None:
        """Wait for the client in place of aiohttp, which knows no budget."""
        if self.flow is None:
            await super()._drain_helper()
        else:
            await self.flow.wait()


def flow_of(request: web.BaseRequest) -> ReaderFlow | None:
    """Return how the client takes what it is sent, None if it is unknown."""
    match request.protocol:
        case FlowHandler() as handler:
            return handler.flow
    return None
