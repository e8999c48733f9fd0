"""Expose the function that runs a daemon from its command line."""

from arbutusbay._daemon import run_daemon

__all__ = ('run_daemon',)
