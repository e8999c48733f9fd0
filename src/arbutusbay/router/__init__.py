"""Expose the router daemon and its settings.

The router forwards completion requests to engines and other requests to
services.
"""

from arbutusbay.router._main import main
from arbutusbay.router._settings import RouterSettings

__all__ = ('RouterSettings', 'main')
