"""Expose the router daemon and its settings.

The router serves completions and plain services and forwards them to backend
servers.
"""

from arbutusbay.router._main import main
from arbutusbay.router._settings import RouterSettings

__all__ = ('RouterSettings', 'main')
