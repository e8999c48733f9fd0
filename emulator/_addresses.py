"""Find loopback addresses that no other deployment uses."""

import contextlib
import os
import random
import socket
import time

SERVER_PORT = 9000
STORE_PORT = 8700
PLATFORM_HOST = 1
_RESERVATION_PORT = 8699
_MAX_ADDRESS_OCTET = 250
_reservations: dict[str, socket.socket] = {}


def find_free_address_prefix() -> str:
    """Return the first three octets, with dots, of an unused loopback range.

    It stays reserved until ``release_address_prefix``, also while nothing
    listens there: the deployments of other processes look for theirs.
    """
    rng = random.Random(os.getpid() ^ time.time_ns())
    while True:
        second_octet = rng.randint(1, _MAX_ADDRESS_OCTET)
        third_octet = rng.randint(1, _MAX_ADDRESS_OCTET)
        prefix = f'127.{second_octet}.{third_octet}.'
        reservation = _try_reserve(f'{prefix}{PLATFORM_HOST}')
        if reservation is not None:
            _reservations[prefix] = reservation
            return prefix


def release_address_prefix(prefix: str) -> None:
    """End the reservation of a range that nothing listens in any more."""
    _reservations.pop(prefix).close()


def _try_reserve(host: str) -> socket.socket | None:
    """Return a socket that reserves the range of ``host``, if it is free.

    A deployment without a reservation shows by the ports that it listens on.
    """
    with contextlib.ExitStack() as probes:
        try:
            for port in (SERVER_PORT, STORE_PORT):
                _bind(probes, host, port)
            reservation = _bind(probes, host, _RESERVATION_PORT)
        except OSError:
            return None
        # The reservation outlives the probes.
        return reservation.dup()


def _bind(probes: contextlib.ExitStack, host: str, port: int) -> socket.socket:
    probe = probes.enter_context(socket.socket())
    probe.bind((host, port))
    return probe
