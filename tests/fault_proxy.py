"""Stand between two processes and disturb their TCP connections."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

_CHUNK_BYTES = 65_536
_FREEZE_STEP_S = 0.01
_GARBAGE = b'\x00\xffHTTP/9.9 -1 nonsense\r\n\r\n{"half": '


class Mode(enum.Enum):
    """Name what the proxy does with connections and bytes."""

    PASS = enum.auto()
    REFUSE = enum.auto()
    FREEZE = enum.auto()
    DROP_ANSWERS = enum.auto()
    GARBAGE = enum.auto()


class FaultProxy:
    """Forward connections to a target, disturbed by the mode."""

    def __init__(self, *, target_host: str, target_port: int) -> None:
        """Forward to the target until told otherwise."""
        self.target_host = target_host
        self.target_port = target_port
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.connections: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.url = ''

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        self.cut()
        for connection in list(self.connections):
            connection.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def cut(self) -> None:
        """Abort all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._forget(writer)

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self.connections.discard(asyncio.current_task())
        self.writers.discard(writer)
        writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.REFUSE:
            return
        if self.mode is Mode.GARBAGE:
            await reader.read(_CHUNK_BYTES)
            writer.write(_GARBAGE)
            await writer.drain()
            return
        far_reader, far_writer = await asyncio.open_connection(
            self.target_host,
            self.target_port,
        )
        self.writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
            )
        finally:
            self.writers.discard(far_writer)
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                break
            await self._disturb(is_answer=is_answer)
            writer.write(chunk)
            await writer.drain()
        if is_answer:
            raise ConnectionAbortedError
        if writer.can_write_eof():
            writer.write_eof()

    async def _disturb(self, *, is_answer: bool) -> None:
        await asyncio.sleep(self.delay_s)
        while self.mode is Mode.FREEZE:
            await asyncio.sleep(_FREEZE_STEP_S)
        if is_answer and self.mode is Mode.DROP_ANSWERS:
            raise ConnectionAbortedError


@contextlib.asynccontextmanager
async def running_proxy(url: str) -> AsyncIterator[FaultProxy]:
    """Run a proxy before the server at ``url`` for the length of a block."""
    host, _, port = url.removeprefix('http://').partition(':')
    proxy = FaultProxy(target_host=host, target_port=int(port))
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
