"""Expose the client sessions that both edges use."""

from arbutusbay._client_connections import (
    StrictConnection,
    StrictConnector,
    is_ended_here,
    open_client_session,
)

__all__ = (
    'StrictConnection',
    'StrictConnector',
    'is_ended_here',
    'open_client_session',
)
