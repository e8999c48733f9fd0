"""Expose what a process remembers of its own pauses."""

from arbutusbay._own_pauses import CHECK_INTERVAL_S, OwnPauses, is_pause

__all__ = ('CHECK_INTERVAL_S', 'OwnPauses', 'is_pause')
