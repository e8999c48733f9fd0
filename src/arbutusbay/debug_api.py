"""Expose the health, metrics and state endpoints of daemons."""

from arbutusbay._debug_api import DebugApi

__all__ = ('DebugApi',)
