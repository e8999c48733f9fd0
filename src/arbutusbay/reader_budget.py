"""Expose the bound on what is held for clients that read slowly."""

from arbutusbay._reader_budget import (
    READERS,
    STEP_S,
    ReaderBudget,
    limit_unread_bytes,
)

__all__ = ('READERS', 'STEP_S', 'ReaderBudget', 'limit_unread_bytes')
