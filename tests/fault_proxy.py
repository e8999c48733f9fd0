"""Inject faults into the TCP connections between two processes."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

_READ_SIZE_BYTES = 65_536
_FREEZE_POLL_INTERVAL_S = 0.01
_INVALID_RESPONSE = b'\x00\xffHTTP/9.9 -1 nonsense\r\n\r\n{"half": '


class FaultMode(enum.Enum):
    """List the ways in which the proxy treats connections.

    ``REFUSE`` closes new connections, ``FREEZE`` forwards nothing,
    ``DROP_ANSWERS`` forwards requests but closes the connection when the
    response begins, and ``GARBAGE`` responds with invalid HTTP.
    """

    PASS = enum.auto()
    REFUSE = enum.auto()
    FREEZE = enum.auto()
    DROP_ANSWERS = enum.auto()
    GARBAGE = enum.auto()


class FaultProxy:
    """Forward connections to a target and inject the faults of ``mode``.

    ``delay_s`` delays each chunk in both directions.
    """

    def __init__(self, *, target_host: str, target_port: int) -> None:
        """Forward to the target, at first without faults or delay."""
        self.target_host = target_host
        self.target_port = target_port
        self.mode = FaultMode.PASS
        self.delay_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.url = ''

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._handle_connection, host, 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        self.abort_connections()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def abort_connections(self) -> None:
        """Abort all open connections, as a network failure would."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._close_connection(writer)

    def _close_connection(self, writer: asyncio.StreamWriter) -> None:
        self.tasks.discard(asyncio.current_task())
        self.writers.discard(writer)
        writer.transport.abort()

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is FaultMode.REFUSE:
            return
        if self.mode is FaultMode.GARBAGE:
            await reader.read(_READ_SIZE_BYTES)
            writer.write(_INVALID_RESPONSE)
            await writer.drain()
            return
        target_reader, target_writer = await asyncio.open_connection(
            self.target_host,
            self.target_port,
        )
        self.writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward_chunks(reader, target_writer, is_response=False),
                self._forward_chunks(target_reader, writer, is_response=True),
            )
        finally:
            self.writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward_chunks(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_READ_SIZE_BYTES)
            if not chunk:
                break
            await self._apply_fault(is_response=is_response)
            writer.write(chunk)
            await writer.drain()
        if is_response:
            raise ConnectionAbortedError
        if writer.can_write_eof():
            writer.write_eof()

    async def _apply_fault(self, *, is_response: bool) -> None:
        await asyncio.sleep(self.delay_s)
        while self.mode is FaultMode.FREEZE:
            await asyncio.sleep(_FREEZE_POLL_INTERVAL_S)
        if is_response and self.mode is FaultMode.DROP_ANSWERS:
            raise ConnectionAbortedError


@contextlib.asynccontextmanager
async def running_proxy(url: str) -> AsyncIterator[FaultProxy]:
    """Run a proxy in front of the server at ``url`` within a context."""
    host, _, port = url.removeprefix('http://').partition(':')
    proxy = FaultProxy(target_host=host, target_port=int(port))
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
