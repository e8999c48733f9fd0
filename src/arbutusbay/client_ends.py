"""Expose how clients end their side of a connection, for both edges."""

from arbutusbay._client_ends import (
    ClientEnd,
    ClientHandler,
    ClientSite,
    HalfClosedError,
    client_end_of,
    has_queued_request,
    is_last_request,
    work_for_client,
)

__all__ = (
    'ClientEnd',
    'ClientHandler',
    'ClientSite',
    'HalfClosedError',
    'client_end_of',
    'has_queued_request',
    'is_last_request',
    'work_for_client',
)
