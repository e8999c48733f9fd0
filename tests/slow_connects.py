"""Let connections to an address wait, as its host does not accept them."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

_TCP_TABLE = Path('/proc/net/tcp')
_SYN_SENT = '02'


@contextmanager
def full_listener(address: str) -> Iterator[None]:
    """Listen at ``address`` but answer no attempt to connect.

    The kernel repeats an unanswered attempt after a second.
    """
    host, _, port = address.partition(':')
    with socket.socket() as listener, socket.socket() as only_client:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        only_client.connect((host, int(port)))
        yield


def is_connecting_to(address: str) -> bool:
    """Return whether a process waits for a connection to ``address``."""
    host, _, port = address.partition(':')
    number = int.from_bytes(socket.inet_aton(host), 'little')
    remote = f'{number:08X}:{int(port):04X}'
    lines = _TCP_TABLE.read_text().splitlines()[1:]
    return [remote, _SYN_SENT] in [line.split()[2:4] for line in lines]
