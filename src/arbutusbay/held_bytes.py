"""Expose the bound on the bodies that a process holds."""

from arbutusbay._held_bytes import (
    PROCESS_BUDGET,
    ByteBudget,
    ByteShare,
    limit_held_bytes,
)

__all__ = ('PROCESS_BUDGET', 'ByteBudget', 'ByteShare', 'limit_held_bytes')
