"""Follow how the clients of our HTTP servers end their side of a connection."""

import asyncio
import enum
import functools
from typing import Any

from aiohttp import web


class ClientEnd(enum.StrEnum):
    """Name how a client ended its side of a connection.

    ``SENDING_SIDE_SHUT``: the end of its stream has come. It closed the
    connection, or only its sending side and still waits for the response; both
    look the same until something is sent. ``CLOSED``: the connection was reset,
    or is closed on this side as well.
    """

    SENDING_SIDE_SHUT = 'sending_side_shut'
    CLOSED = 'closed'


class ClientHandler(web.RequestHandler):
    """Serve one connection and record how its client ended it.

    ``client_end`` is what the event loop has seen, None before that.
    """

    def __init__(self, server: web.Server, **options: Any) -> None:
        """Accept the same ``options`` as ``web.RequestHandler``."""
        super().__init__(server, **options)
        self.client_end: ClientEnd | None = None

    def eof_received(self) -> None:
        """Record the end of the client's stream."""
        self.client_end = ClientEnd.SENDING_SIDE_SHUT
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset, unless the end of the stream came before it."""
        if self.client_end is None and exc is not None:
            self.client_end = ClientEnd.CLOSED
        super().connection_lost(exc)


def client_end_of(request: web.BaseRequest) -> ClientEnd | None:
    """Return how the client ended its side, None if it was not seen."""
    match request.protocol:
        case ClientHandler() as handler:
            return handler.client_end
    return None


class ClientSite(web.BaseSite):
    """Listen for clients and serve their connections by ``ClientHandler``."""

    def __init__(
        self,
        runner: web.AppRunner,
        host: str,
        port: int,
        *,
        keepalive_timeout_s: float,
        backlog: int,
    ) -> None:
        """Serve the application of ``runner``, which was set up before."""
        super().__init__(runner, backlog=backlog)
        self.host = host
        self.port = port
        self.new_handler = functools.partial(
            ClientHandler,
            runner.server,
            access_log=None,
            keepalive_timeout=keepalive_timeout_s,
        )

    @property
    def name(self) -> str:
        """Return the address as a URL."""
        return f'http://{self.host}:{self.port}'

    async def start(self) -> None:
        """Open the listening socket."""
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            functools.partial(self.new_handler, loop=loop),
            self.host,
            self.port,
            backlog=self._backlog,
            reuse_address=True,
        )
