"""Expose how clients end their side of a connection, for both edges."""

from arbutusbay._client_ends import (
    ClientEnd,
    ClientHandler,
    ClientSite,
    client_end_of,
)

__all__ = ('ClientEnd', 'ClientHandler', 'ClientSite', 'client_end_of')
