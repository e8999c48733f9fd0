"""Expose the base of all controllers."""

from arbutusbay._controller import Controller

__all__ = ('Controller',)
