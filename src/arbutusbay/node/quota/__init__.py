"""Ask for the rate limits of teams, and decide for the other VMs."""

from arbutusbay.node.quota._client import QuotaClient
from arbutusbay.node.quota._messages import (
    DATAGRAM_TYPE,
    Ask,
    Forwarded,
    GiveBack,
    QuotaMessage,
    Release,
    Reply,
    messages_from_bytes,
    messages_to_bytes,
)
from arbutusbay.node.quota._metrics import QuotaMetrics
from arbutusbay.node.quota._outbox import Outbox
from arbutusbay.node.quota._recent_entries import MAX_ENTRIES, RecentEntries
from arbutusbay.node.quota._renewals import ShareRenewals
from arbutusbay.node.quota._request_grants import RequestGrant, RequestGrants

__all__ = (
    'DATAGRAM_TYPE',
    'MAX_ENTRIES',
    'Ask',
    'Forwarded',
    'GiveBack',
    'Outbox',
    'QuotaClient',
    'QuotaMessage',
    'QuotaMetrics',
    'RecentEntries',
    'Release',
    'Reply',
    'RequestGrant',
    'RequestGrants',
    'ShareRenewals',
    'messages_from_bytes',
    'messages_to_bytes',
)
