"""Expose the messages between processes and their Cap'n Proto codec."""

from arbutusbay.wire._codec import decode_message, encode_message
from arbutusbay.wire._messages import (
    NO_OFFSET,
    AnswerEntry,
    ConfigReply,
    ConfigRequest,
    EndEntry,
    EndSuspect,
    EngineView,
    Heartbeat,
    LedgerReply,
    LedgerRequest,
    LookupReply,
    LookupRequest,
    Member,
    QuarantineExchange,
    ResourceEntry,
    ResourceKey,
    VerdictEntry,
)

__all__ = (
    'NO_OFFSET',
    'AnswerEntry',
    'ConfigReply',
    'ConfigRequest',
    'EndEntry',
    'EndSuspect',
    'EngineView',
    'Heartbeat',
    'LedgerReply',
    'LedgerRequest',
    'LookupReply',
    'LookupRequest',
    'Member',
    'QuarantineExchange',
    'ResourceEntry',
    'ResourceKey',
    'VerdictEntry',
    'decode_message',
    'encode_message',
)
