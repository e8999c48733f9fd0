"""Answer requests whose upload is still being written, and reset them.

The server runs in a thread and its sockets block: what it does goes on while
the event loop of the caller stands still.
"""

import contextlib
import enum
import socket
import struct
import threading
import time
from collections.abc import Iterator

import attrs

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_READ_BYTES = 65_536
_RECEIVE_BUFFER_BYTES = 65_536
_ACCEPT_LIMIT_S = 10.0
_SEEN_S = 0.02
_HEAD_END = b'\r\n\r\n'


class UploadEnd(enum.StrEnum):
    """List the ways in which a connection ends within an upload.

    ``RESET``: by a reset alone. ``UNREAD``: it is closed while bytes of the
    upload are unread, which resets it. ``SHUT``: the sending side is shut
    first, so that the end of the answer comes before the reset. ``TAKEN``: the
    same, after the rest of the upload was taken.
    """

    RESET = 'reset'
    UNREAD = 'unread'
    SHUT = 'shut'
    TAKEN = 'taken'


@attrs.define(kw_only=True)
class EarlyServer:
    """Send ``answer`` to each request and end its connection.

    ``read_bytes`` of the upload are read before the answer; ``pause_s`` pass
    between the answer and the end. The kernel takes little of the rest.
    """

    answer: bytes
    end: UploadEnd = UploadEnd.RESET
    read_bytes: int = 0
    pause_s: float = 0.0
    url: str = ''
    answers: int = 0
    is_serving: bool = True
    listener: socket.socket = attrs.Factory(socket.socket)

    def serve(self) -> None:
        """Answer one connection after the other until the listener closes."""
        with contextlib.suppress(OSError):
            while self.is_serving:
                connection, _ = self.listener.accept()
                with connection, contextlib.suppress(OSError):
                    self.answer_one(connection)

    def stop(self) -> None:
        """Stop listening."""
        self.is_serving = False
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def answer_one(self, connection: socket.socket) -> None:
        """Answer one request."""
        connection.settimeout(_ACCEPT_LIMIT_S)
        received = b''
        while _HEAD_END not in received:
            received += connection.recv(_READ_BYTES)
        taken_bytes = 0
        while taken_bytes < self.read_bytes:
            taken_bytes += len(connection.recv(_READ_BYTES))
        connection.sendall(self.answer)
        self.answers += 1
        time.sleep(self.pause_s)
        if self.end is UploadEnd.RESET:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        if self.end is UploadEnd.TAKEN:
            _take_rest(connection)
        if self.end in {UploadEnd.SHUT, UploadEnd.TAKEN}:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(_SEEN_S)


def _take_rest(connection: socket.socket) -> None:
    """Read until nothing more comes for a moment."""
    connection.settimeout(_SEEN_S)
    taken = b' '
    with contextlib.suppress(TimeoutError):
        while taken:
            taken = connection.recv(_READ_BYTES)


@contextlib.contextmanager
def running_early_server(server: EarlyServer) -> Iterator[EarlyServer]:
    """Run ``server`` and set its URL."""
    server.listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    server.listener.bind(('127.0.0.1', 0))
    server.listener.listen()
    host, port = server.listener.getsockname()
    server.url = f'http://{host}:{port}'
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join(_ACCEPT_LIMIT_S)
