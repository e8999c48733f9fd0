"""Follow how the clients of our HTTP servers end their side of a connection."""

import asyncio
import contextlib
import enum
import functools
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage

from arbutusbay._flow_handler import FlowHandler
from arbutusbay.logs import get_logger
from arbutusbay.unsent_bytes import count_unsent_bytes

_LOG = get_logger('client')
_POLL_INTERVAL_S = 0.02
_LINGER_POLL_INTERVAL_S = 0.1
_TRANSIT_S = 0.12


class ClientEnd(enum.StrEnum):
    """Name how a client ended its side of a connection.

    ``SENDING_SIDE_SHUT``: the end of its stream has come. It closed the
    connection, or only its sending side and still waits for the response; both
    look the same until something is sent. ``CLOSED``: the connection was reset,
    or is closed on this side as well.
    """

    SENDING_SIDE_SHUT = 'sending_side_shut'
    CLOSED = 'closed'


class HalfClosedError(Exception):
    """Report that a client has ended its stream before its response began."""


class ClientHandler(FlowHandler):
    """Serve one connection and decide what the end of its stream means.

    The client may have left, so all work for it ends at once. It may also wait
    for its response, so a request that was read whole gets one.

    ``client_end`` is what the event loop has seen, None before that.
    ``request_body`` and ``response_writer`` are those of the latest request,
    None before the first. ``work_limit`` ends the work for it. With
    ``closes_after_queue`` the connection ends behind the requests read so far.
    Behind its last response, at most ``linger_s`` seconds pass until the client
    ends its side as well.
    """

    def __init__(self, server: web.Server, **options: Any) -> None:
        """Accept the same ``options`` as ``web.RequestHandler``."""
        super().__init__(server, **options)
        self.client_end: ClientEnd | None = None
        self.request_body: StreamReader | None = None
        self.response_writer: AbstractStreamWriter | None = None
        self.work_limit: asyncio.Timeout | None = None
        self.closes_after_queue = False
        self.linger_s = self._lingering_time
        self.new_request = server.request_factory
        self._request_factory = self._begin_request

    @property
    def is_last_request(self) -> bool:
        """Return whether no request can follow the one being handled."""
        is_ending = self.client_end is not None or self.closes_after_queue
        return is_ending and not self.has_queued_request

    @property
    def has_queued_request(self) -> bool:
        """Return whether a request was read that is not being handled yet."""
        return bool(self._messages)

    @property
    def is_body_due(self) -> bool:
        """Return whether a part of the latest request's body is missing."""
        return self.request_body is not None and not self.request_body.is_eof()

    @property
    def takes_requests(self) -> bool:
        """Return whether what arrives is parsed, not dropped."""
        return not (self._close or self._force_close)

    def begin_request(self) -> None:
        """Note that the next request leaves the queue of aiohttp."""

    def eof_received(self) -> bool:
        """End the work for the client.

        Returns whether the connection stays open for responses that are due.
        """
        is_awaited = self._is_response_awaited()
        if is_awaited:
            self.record_end()
            self._end_work()
        self.client_end = ClientEnd.SENDING_SIDE_SHUT
        return is_awaited

    def record_end(self) -> None:
        """Record the end of the stream of a client that awaits a response.

        All that the client sent has been read.
        """
        self.client_end = ClientEnd.SENDING_SIDE_SHUT
        self._close_after_last_request()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset, unless the end of the stream came before it."""
        if self.client_end is None and exc is not None:
            self.client_end = ClientEnd.CLOSED
        self.request_body = None
        self.response_writer = None
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection once all requests that were read are handled."""
        self.closes_after_queue = True
        if not self.has_queued_request:
            super().close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Give queued requests up to ``timeout`` seconds, then close.

        ``timeout`` is for them, the one being handled, and the client that
        reads its response, together; None sets no limit. Behind its last
        response a connection lingers only for what crosses it.
        """
        self.linger_s = 2 * _TRANSIT_S
        left_s = timeout
        try:
            async with asyncio.timeout(timeout) as limit:
                await self._handle_queued()
                await self._wait_for_client()
                if timeout is not None:
                    loop = asyncio.get_running_loop()
                    left_s = limit.when() - loop.time()
        except TimeoutError:
            left_s = 0
        if left_s is not None:
            # For aiohttp no time means no limit.
            left_s = max(_POLL_INTERVAL_S, left_s)
        await super().shutdown(left_s)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; end the connection if it was the last one."""
        finished, is_reset = await super().finish_response(
            request, resp, start_time
        )
        is_last = not (finished.keep_alive and self.takes_requests)
        if is_last and not is_reset:
            await self._end_connection()
        return finished, is_reset

    async def _end_connection(self) -> None:
        """Show the end of what is sent, and drop what the client still sends.

        A close with bytes that were not read resets the connection, and what
        the client lacks of the response is lost.
        """
        if self.client_end is not None or self.transport is None:
            return
        if self.transport.is_closing():
            return
        self._drop_queued()
        self._close = True
        self.transport.write_eof()
        self._resume_transport_reading()
        await self._wait_for_client()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() - began_s < self.linger_s:
            await asyncio.sleep(_LINGER_POLL_INTERVAL_S)
        self.force_close()

    def _drop_queued(self) -> None:
        if self.has_queued_request:
            _LOG.info(
                'requests dropped behind the last response of a connection',
                fields={'dropped': len(self._messages)},
            )
            self._messages.clear()

    async def _handle_queued(self) -> None:
        while self.has_queued_request:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_client(self) -> None:
        """Wait until the client has taken what was sent, or stops to read."""
        loop = asyncio.get_running_loop()
        unsent_bytes = count_unsent_bytes(self.transport)
        give_up_s = loop.time() + self._lingering_time
        while unsent_bytes and loop.time() < give_up_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            left_bytes = count_unsent_bytes(self.transport)
            if left_bytes < unsent_bytes:
                give_up_s = loop.time() + self._lingering_time
            unsent_bytes = left_bytes

    def _begin_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        self.request_body = payload
        self.response_writer = writer
        self._close_after_last_request()
        self.begin_request()
        return self.new_request(message, payload, protocol, writer, task)

    def _end_work(self) -> None:
        if self.work_limit is not None and not self.work_limit.expired():
            self.work_limit.reschedule(asyncio.get_running_loop().time())

    def _close_after_last_request(self) -> None:
        if self.is_last_request:
            self.close()

    def _is_response_awaited(self) -> bool:
        """Return whether a request was read whole and has no response yet.

        What follows a response that has begun is lost with it.
        """
        if self.response_writer is None or self.request_body is None:
            return self.has_queued_request
        if self.response_writer.output_size:
            return self.has_queued_request and not self._request_in_progress
        return not self.is_body_due


@contextlib.asynccontextmanager
async def work_for_client(request: web.BaseRequest) -> AsyncIterator[None]:
    """Limit the context to the time until the client ends its stream.

    Raises ``HalfClosedError`` then, if its response can still be sent.
    """
    match request.protocol:
        case ClientHandler() as handler:
            pass
        case _:
            yield
            return
    limit = asyncio.timeout(None if handler.client_end is None else 0)
    handler.work_limit = limit
    try:
        async with limit:
            yield
    except TimeoutError as error:
        if limit.expired():
            raise HalfClosedError from error
        raise
    finally:
        handler.work_limit = None


def has_queued_request(request: web.BaseRequest) -> bool:
    """Return whether a request behind ``request`` was read already."""
    match request.protocol:
        case ClientHandler() as handler:
            return handler.has_queued_request
    return False


def is_last_request(request: web.BaseRequest) -> bool:
    """Return whether no request can follow on the connection."""
    match request.protocol:
        case ClientHandler() as handler:
            return handler.is_last_request
    return False


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
