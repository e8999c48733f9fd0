"""Pace datagrams so that a burst of them doesn't fill the link of a VM.

Everything here is free of I/O: datagrams go in, those that are due come out.
"""

from arbutusbay.pacing._pacer import DatagramPacer
from arbutusbay.pacing._types import Lane, PendingDatagram

__all__ = (
    'DatagramPacer',
    'Lane',
    'PendingDatagram',
)
