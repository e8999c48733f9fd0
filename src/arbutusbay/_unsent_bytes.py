"""Look how much of what was sent a client has not taken yet."""

import asyncio
import fcntl
import struct
import termios

from arbutusbay.logs import get_logger

_LOG = get_logger('client')
_QUEUE_FORMAT = '=i'
_EMPTY_QUEUE = struct.pack(_QUEUE_FORMAT, 0)


def count_unsent_bytes(transport: asyncio.WriteTransport | None) -> int:
    """Return how many bytes the client has not acknowledged yet.

    They are in the event loop or in the kernel. Of a connection being closed,
    and where the kernel does not count them, only the former are returned.
    """
    if transport is None:
        return 0
    unsent = transport.get_write_buffer_size()
    if transport.is_closing():
        return unsent
    try:
        queued = fcntl.ioctl(
            transport.get_extra_info('socket').fileno(),
            termios.TIOCOUTQ,
            _EMPTY_QUEUE,
        )
    except OSError as error:
        _LOG.debug(
            'unsent bytes are not counted', fields={'error': repr(error)}
        )
        return unsent
    return unsent + struct.unpack(_QUEUE_FORMAT, queued)[0]
