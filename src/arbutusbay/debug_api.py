"""Expose the endpoints that every daemon has."""

from arbutusbay._debug_api import DebugApi

__all__ = ('DebugApi',)
