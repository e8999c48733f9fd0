"""Encode records for VMs that have earlier versions of them.

Everything here is free of I/O. A payload that both sides have, the base, is
named by its digest and serves as the dictionary of a compression.
"""

from arbutusbay.spread._coverage import Coverage, cover_all_keys
from arbutusbay.spread._encoding import (
    RecordEncoding,
    decode_records,
    encode_records,
)
from arbutusbay.spread._encoding_cache import EncodingCache
from arbutusbay.spread._payload_history import (
    PayloadHistory,
    payload_digest,
)

__all__ = (
    'Coverage',
    'EncodingCache',
    'PayloadHistory',
    'RecordEncoding',
    'cover_all_keys',
    'decode_records',
    'encode_records',
    'payload_digest',
)
