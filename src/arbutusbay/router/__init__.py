"""Expose the router."""

from arbutusbay.router._main import main
from arbutusbay.router._settings import RouterSettings

__all__ = ('RouterSettings', 'main')
