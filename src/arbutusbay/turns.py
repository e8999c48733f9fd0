"""Expose the turns of the event loop."""

from arbutusbay._turns import Turn, longest_turn_s

__all__ = ('Turn', 'longest_turn_s')
