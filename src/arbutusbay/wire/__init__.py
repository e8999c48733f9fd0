"""Expose the messages between processes and their Cap'n Proto codec."""

from arbutusbay.wire._codec import decode_message, encode_message
from arbutusbay.wire._messages import (
    NO_OFFSET,
    ConfigReply,
    ConfigRequest,
    EngineView,
    Heartbeat,
    LedgerReply,
    LedgerRequest,
    LookupReply,
    LookupRequest,
    Member,
    ResourceEntry,
    ResourceKey,
)

__all__ = (
    'NO_OFFSET',
    'ConfigReply',
    'ConfigRequest',
    'EngineView',
    'Heartbeat',
    'LedgerReply',
    'LedgerRequest',
    'LookupReply',
    'LookupRequest',
    'Member',
    'ResourceEntry',
    'ResourceKey',
    'decode_message',
    'encode_message',
)
