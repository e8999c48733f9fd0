"""Throttle what one VM sends: all its connections share one rate.

A link has one queue. What a connection sends waits behind all that was queued
before, whatever connection it belongs to. A connection is accepted at once: the
handshake does not cross the link.
"""

import asyncio
import contextlib
import enum
import functools
import socket
from collections.abc import AsyncIterator
from typing import Any

import attrs

_READ_BYTES = 4096
_SOCKET_BUFFER_BYTES = 16_384
_BACKLOG = 512
_BITS_PER_BYTE = 8
_ANY_PORT = ('127.0.0.1', 0)


class LinkSide(enum.Enum):
    """Name on which side of a forwarded port the VM is.

    ``TARGET``: the VM listens, so its responses are throttled. ``CALLER``: the
    VM connects, so its requests are.
    """

    TARGET = enum.auto()
    CALLER = enum.auto()


@attrs.frozen(kw_only=True, eq=False)
class QueuedChunk:
    """Hold bytes in the queue of a link and the connection they go to.

    ``window`` is released once they have crossed. No ``content`` marks the
    end of the stream.
    """

    content: bytes
    writer: asyncio.StreamWriter
    window: asyncio.Semaphore


class ThrottledLink:
    """Forward ports of one VM at ``rate_bits_s`` in its sending direction.

    Up to ``window_bytes`` of each connection wait in the queue; what a VM sends
    beyond them stays in its own buffers.
    """

    def __init__(
        self, *, rate_bits_s: float, window_bytes: int = 65_536
    ) -> None:
        """Start without ports and with an empty queue."""
        self.rate_bits_s = rate_bits_s
        self.window_chunks = max(1, window_bytes // _READ_BYTES)
        self.crossed_bytes = 0
        self.queue: asyncio.Queue[QueuedChunk] = asyncio.Queue()
        self.servers: list[asyncio.Server] = []
        self.connections: set[asyncio.Task[None]] = set()
        self.carrier = asyncio.create_task(self._carry())

    async def forward(
        self,
        target: tuple[str, int],
        vm_side: LinkSide,
        *,
        listen: tuple[str, int] = _ANY_PORT,
    ) -> tuple[str, int]:
        """Forward connections to ``target`` and return where it listens.

        Raises ``OSError`` if ``listen`` can't be bound.
        """
        listener = _new_socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(listen)
        server = await asyncio.start_server(
            functools.partial(self._handle_connection, target, vm_side),
            sock=listener,
            backlog=_BACKLOG,
            limit=_READ_BYTES,
        )
        self.servers.append(server)
        return listener.getsockname()

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        for server in self.servers:
            server.close()
        tasks = (self.carrier, *self.connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry(self) -> None:
        """Deliver what is queued in its order, at the link's rate."""
        loop = asyncio.get_running_loop()
        free_s = loop.time()
        while True:
            chunk = await self.queue.get()
            duration_s = len(chunk.content) * _BITS_PER_BYTE / self.rate_bits_s
            free_s = max(free_s, loop.time()) + duration_s
            await asyncio.sleep(free_s - loop.time())
            self.crossed_bytes += len(chunk.content)
            _deliver(chunk)
            chunk.window.release()

    async def _handle_connection(
        self,
        target: tuple[str, int],
        vm_side: LinkSide,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections.add(asyncio.current_task())
        try:
            await self._forward_connection(target, vm_side, reader, writer)
        except OSError:
            writer.transport.abort()
        finally:
            self.connections.discard(asyncio.current_task())
            writer.close()

    async def _forward_connection(
        self,
        target: tuple[str, int],
        vm_side: LinkSide,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = _new_socket()
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, target)
        target_reader, target_writer = await asyncio.open_connection(
            sock=connection, limit=_READ_BYTES
        )
        requests = (reader, target_writer)
        responses = (target_reader, writer)
        if vm_side is LinkSide.CALLER:
            requests, responses = responses, requests
        try:
            async with asyncio.TaskGroup() as both_ways:
                both_ways.create_task(self._queue_bytes(*responses))
                both_ways.create_task(_copy_bytes(*requests))
        except* OSError:
            writer.transport.abort()
        finally:
            target_writer.close()

    async def _queue_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Let what the VM sends cross the link, until it has crossed."""
        window = asyncio.Semaphore(self.window_chunks)
        has_ended = False
        while not has_ended:
            await window.acquire()
            content = await reader.read(_READ_BYTES)
            has_ended = not content
            self.queue.put_nowait(
                QueuedChunk(content=content, writer=writer, window=window)
            )
        for _ in range(self.window_chunks):
            await window.acquire()


async def _copy_bytes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Pass on what the VM receives without a limit."""
    while content := await reader.read(_READ_BYTES):
        writer.write(content)
        await writer.drain()
    writer.write_eof()


def _deliver(chunk: QueuedChunk) -> None:
    if chunk.writer.is_closing():
        return
    if chunk.content:
        chunk.writer.write(chunk.content)
    else:
        chunk.writer.write_eof()


def _new_socket() -> socket.socket:
    """Return a TCP socket with small buffers."""
    opened = socket.socket()
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
    return opened


@contextlib.asynccontextmanager
async def running_link(**options: Any) -> AsyncIterator[ThrottledLink]:
    """Run a link for the block; ``options`` are those of ``ThrottledLink``."""
    link = ThrottledLink(**options)
    try:
        yield link
    finally:
        await link.stop()
