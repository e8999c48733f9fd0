"""Read the bytes of a client's connection as they are.

A client library hides what stands in the wrong place: it reads one response
and drops the rest.
"""

import asyncio
import socket
import struct
import time

import attrs

_READ_LIMIT_S = 10.0
_READ_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


@attrs.frozen(kw_only=True)
class RawResponse:
    """Hold the first response on a connection, and what follows it.

    ``is_complete`` means that the body has its length or its last chunk.
    ``rest`` holds the bytes that belong to no chunk and no body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    rest: bytes


@attrs.frozen(kw_only=True)
class Received:
    """Hold all bytes of a connection, and whether a reset ended it.

    ``end_delay_s`` is the time between the last bytes and the end.
    """

    content: bytes
    is_reset: bool
    end_delay_s: float = 0.0


async def exchange_bytes(
    host: str, port: int, request: bytes, *, limit_s: float = _READ_LIMIT_S
) -> bytes:
    """Return all that arrives, as ``receive_all`` does, however it ends."""
    received = await receive_all(host, port, request, limit_s=limit_s)
    return received.content


async def receive_all(
    host: str,
    port: int,
    request: bytes,
    *,
    limit_s: float = _READ_LIMIT_S,
    wait_s: float = 0.0,
) -> Received:
    """Send ``request`` and return all that arrives until the connection ends.

    The request has to ask for the connection to be closed. Nothing is read for
    ``wait_s`` seconds behind it. Raises ``TimeoutError`` if the connection is
    not closed within ``limit_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    received = b''
    arrived_s = time.monotonic()
    with socket.socket() as connection:
        connection.setblocking(False)
        async with asyncio.timeout(limit_s):
            await loop.sock_connect(connection, (host, port))
            try:
                await loop.sock_sendall(connection, request)
                await asyncio.sleep(wait_s)
                while chunk := await loop.sock_recv(connection, _READ_BYTES):
                    received += chunk
                    arrived_s = time.monotonic()
            except ConnectionError:
                return Received(content=received, is_reset=True)
    return Received(
        content=received,
        is_reset=False,
        end_delay_s=time.monotonic() - arrived_s,
    )


async def half_close_after(
    host: str,
    port: int,
    parts: list[bytes],
    *,
    pause_s: float = 0.0,
    wait_s: float = 0.0,
    limit_s: float = _READ_LIMIT_S,
) -> bytes:
    """Send ``parts``, shut down the sending side and return all that arrives.

    ``pause_s`` passes before each part and ``wait_s`` before the end. Raises
    ``TimeoutError`` if the connection does not end within ``limit_s`` seconds
    after that.
    """
    reader, writer = await asyncio.open_connection(host, port)
    for part in parts:
        await asyncio.sleep(pause_s)
        writer.write(part)
    await asyncio.sleep(wait_s)
    writer.write_eof()
    try:
        return await _read_to_end(reader, limit_s)
    finally:
        writer.close()


async def _read_to_end(reader: asyncio.StreamReader, limit_s: float) -> bytes:
    received = b''
    async with asyncio.timeout(limit_s):
        try:
            while chunk := await reader.read(_READ_BYTES):
                received += chunk
        except ConnectionResetError:
            return received
    return received


def reset_at_close(writer: asyncio.StreamWriter) -> None:
    """Let the close of a connection reset it."""
    connection = writer.get_extra_info('socket')
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


def build_bytes(
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    *,
    version: str = '1.1',
) -> bytes:
    """Return a whole request that asks for the connection to be closed."""
    fields = {
        'Connection': 'close',
        'Content-Length': str(len(body)),
        **headers,
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    return f'POST {path} HTTP/{version}\r\n{lines}\r\n'.encode() + body


def parse_bytes(received: bytes) -> RawResponse:
    """Parse the first response strictly."""
    head, _, rest = received.partition(_HEAD_END)
    lines = head.decode().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines[1:])
    status = int(lines[0].split()[1])
    if 'Transfer-Encoding' in headers:
        body, is_complete, rest = _parse_chunks(rest)
    else:
        length = int(headers['Content-Length'])
        body, rest = rest[:length], rest[length:]
        is_complete = len(body) == length
    return RawResponse(
        status=status,
        headers=headers,
        body=body,
        is_complete=is_complete,
        rest=rest,
    )


def parse_received(received: Received) -> RawResponse:
    """Parse the first response, whose body the connection may end.

    Such a body is complete if the connection was closed, not reset.
    """
    head, _, body = received.content.partition(_HEAD_END)
    names = {line.partition(b':')[0].lower() for line in head.splitlines()}
    if names & {b'content-length', b'transfer-encoding'}:
        return parse_bytes(received.content)
    status, *lines = head.decode().split('\r\n')
    return RawResponse(
        status=int(status.split()[1]),
        headers=dict(line.split(': ', 1) for line in lines),
        body=body,
        is_complete=not received.is_reset,
        rest=b'',
    )


def _parse_chunks(received: bytes) -> tuple[bytes, bool, bytes]:
    """Return the content, whether the last chunk came, and what follows."""
    body = b''
    while received:
        if received.startswith(_LAST_CHUNK):
            return body, True, received.removeprefix(_LAST_CHUNK)
        size, _, rest = received.partition(_LINE_END)
        try:
            length = int(size, 16)
        except ValueError:
            return body, False, received
        chunk, end = rest[:length], rest[length : length + 2]
        if end != _LINE_END:
            return body, False, received
        body += chunk
        received = rest[length + 2 :]
    return body, False, received
