"""Run the daemon that serves one VM of the users' platform."""

from arbutusbay.node._main import main

__all__ = ('main',)
