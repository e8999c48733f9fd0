"""Run the node daemon, which routes requests on one VM."""

from arbutusbay.node._main import main

__all__ = ('main',)
