"""Expose the look at unsent bytes that both edges use."""

from arbutusbay._unsent_bytes import count_unsent_bytes

__all__ = ('count_unsent_bytes',)
