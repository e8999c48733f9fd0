"""Expose the client sessions that both edges use."""

from arbutusbay._client_connections import (
    StrictConnection,
    StrictConnector,
    open_client_session,
)

__all__ = ('StrictConnection', 'StrictConnector', 'open_client_session')
