"""Expose the base class of services that run steps in a loop."""

from arbutusbay._controller import Controller

__all__ = ('Controller',)
