"""Encode the records that a relay sends, once for all followers."""

from collections.abc import Collection, Sequence

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.platform import KeyedRecord
from arbutusbay.spread import (
    EncodingCache,
    PayloadHistory,
    RecordEncoding,
    encode_records,
)

_LOG = get_logger('relay')


class RecordEncoder:
    """Encode records as changes of payloads that followers have."""

    def __init__(self, *, history: PayloadHistory) -> None:
        """Take bases from ``history``."""
        self.history = history
        self.cache = EncodingCache()

    def choose(
        self, records: Sequence[KeyedRecord], digests: Collection[str]
    ) -> RecordEncoding:
        """Choose the encoding for a follower that has ``digests``."""
        return RecordEncoding.choose(records, self.history, digests)

    def encode(
        self, encoding: RecordEncoding, records: Sequence[KeyedRecord]
    ) -> bytes:
        """Return the body that ``encoding`` describes, empty without records.

        It is encoded if no follower has asked for the same lately.
        """
        if not records:
            return b''
        body = self.cache.find(encoding)
        if body is not None:
            return body
        start_s = now_s()
        body = encode_records(encoding, records, self.history)
        self.cache.add(encoding, body)
        _LOG.info(
            'records encoded',
            fields={
                'records': len(records),
                'is_change': encoding.has_bases,
                'plain_bytes': sum(len(record.payload) for record in records),
                'bytes': len(body),
                'took_ms': milliseconds(now_s() - start_s),
            },
        )
        return body
