"""Expose the turns of the event loop."""

from arbutusbay._turns import Turn

__all__ = ('Turn',)
