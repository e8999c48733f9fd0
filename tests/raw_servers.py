"""Send bytes as they are in place of a server's response.

A server library frames its responses; these have heads and bodies that stop
anywhere.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator, Callable

import attrs

from emulator.raw_response import Ending, end_transport

_HEAD_END = b'\r\n\r\n'
_LENGTH = re.compile(rb'content-length: *([0-9]+)', re.IGNORECASE)
_CHUNK_BYTES = 65_536


@attrs.define(kw_only=True)
class RawServer:
    """Answer each request with ``response``, then end the connection.

    Before that, ``pattern`` is sent until ``limit_bytes`` of it are out;
    ``sent_bytes`` is the most that was sent on one connection. One that
    ``takes_small_windows`` leaves few bytes to the kernel.
    """

    response: bytes = b''
    ending: Ending = Ending.CLOSED
    pattern: bytes = b''
    limit_bytes: int = 0
    url: str = ''
    sent_bytes: int = 0
    takes_small_windows: bool = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await read_request_body(reader)
            if self.takes_small_windows:
                _limit_send_buffer(writer)
            writer.write(self.response)
            await writer.drain()
            for number in range(self.limit_bytes // max(1, len(self.pattern))):
                writer.write(self.pattern)
                await writer.drain()
                sent_bytes = (number + 1) * len(self.pattern)
                self.sent_bytes = max(self.sent_bytes, sent_bytes)
        end_transport(writer.transport, self.ending)


@attrs.define(kw_only=True)
class RepeatingServer:
    """Answer each request of a connection, and its first one twice.

    ``build`` returns the response to the request of that number, from 1 on.
    The copy comes ``copy_after_s`` seconds after the first response.
    """

    build: Callable[[int], bytes]
    copy_after_s: float
    url: str = ''
    requests: int = 0
    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection until the client closes it."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await read_request_body(reader)
                self.requests += 1
                response = self.build(self.requests)
                writer.write(response)
                if self.requests == 1:
                    loop.call_later(self.copy_after_s, writer.write, response)
        writer.close()


def _limit_send_buffer(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, _CHUNK_BYTES
    )


async def read_request_body(reader: asyncio.StreamReader) -> bytes:
    """Read one request and return its body."""
    head = await reader.readuntil(_HEAD_END)
    found = _LENGTH.search(head)
    return await reader.readexactly(int(found[1])) if found else b''


@contextlib.asynccontextmanager
async def running_raw_server(
    server: RawServer | RepeatingServer,
) -> AsyncIterator[RawServer | RepeatingServer]:
    """Run ``server`` and set its URL."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    server.url = f'http://{host}:{port}'
    try:
        yield server
    finally:
        listener.close()


def endless_server(head: bytes, limit_bytes: int) -> RawServer:
    """Return a server that sends ``head`` and then bytes without end."""
    return RawServer(
        response=head, pattern=b'x' * _CHUNK_BYTES, limit_bytes=limit_bytes
    )
