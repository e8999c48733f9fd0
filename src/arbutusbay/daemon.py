"""Expose the common start of daemons."""

from arbutusbay._daemon import run_daemon

__all__ = ('run_daemon',)
