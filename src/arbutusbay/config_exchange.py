"""Expose the conversion between configuration state and messages."""

from arbutusbay._config_exchange import (
    entries_from_state,
    keys_from_ids,
    state_from_reply,
)

__all__ = ('entries_from_state', 'keys_from_ids', 'state_from_reply')
