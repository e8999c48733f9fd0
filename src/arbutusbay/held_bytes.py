"""Expose the bound on the bodies that a process holds."""

from arbutusbay._held_bytes import (
    BOUNDED_BODIES,
    UNBOUNDED_BODIES,
    ByteBudget,
    ByteShare,
    limit_held_bytes,
)

__all__ = (
    'BOUNDED_BODIES',
    'UNBOUNDED_BODIES',
    'ByteBudget',
    'ByteShare',
    'limit_held_bytes',
)
