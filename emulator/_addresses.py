"""Find loopback addresses that no other deployment uses."""

import contextlib
import os
import random
import socket
import time

SERVER_PORT = 9000
PLATFORM_HOST = 1
_MAX_ADDRESS_OCTET = 250


def find_free_address_prefix() -> str:
    """Return the first three octets, with dots, of an unused loopback range."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    while True:
        second_octet = rng.randint(1, _MAX_ADDRESS_OCTET)
        third_octet = rng.randint(1, _MAX_ADDRESS_OCTET)
        prefix = f'127.{second_octet}.{third_octet}.'
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((f'{prefix}{PLATFORM_HOST}', SERVER_PORT))
            except OSError:
                continue
        return prefix
