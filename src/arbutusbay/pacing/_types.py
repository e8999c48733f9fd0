"""Define what waits to be sent."""

import enum

import attrs


class Lane(enum.StrEnum):
    """List the lanes that share a link by turns, the first one first.

    ``ANNOUNCEMENTS``: what other VMs must know at once. ``REPORTS``: all else.
    """

    ANNOUNCEMENTS = 'announcements'
    REPORTS = 'reports'


@attrs.frozen(kw_only=True)
class PendingDatagram:
    """Hold a datagram and the address of the VM that it is for."""

    address: tuple[str, int]
    payload: bytes
