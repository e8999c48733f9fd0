"""Encode records as one compressed body and decode it.

A body is a compressed frame: a line of JSON that describes the records,
followed by their payloads. The payload of a record with a base is a frame of
its own, which has the base as its dictionary.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import Any

import attrs
import orjson
import zstandard
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    require_count,
    require_integer,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform import KeyedRecord
from arbutusbay.spread._payload_history import PayloadHistory, payload_digest

_LEVEL = 6
_MIN_WINDOW_LOG = 10
_MAX_WINDOW_LOG = 27
_MAX_DECODED_BYTES = 33_554_432
# Records of an earlier era of the store have no offset.
_LOWEST_OFFSET = -1
_LINE_END = b'\n'


@attrs.frozen(kw_only=True)
class RecordEntry:
    """Describe an encoded record; ``base`` is empty if it has none."""

    key: str
    offset: int
    digest: str
    base: str


@attrs.frozen(kw_only=True)
class RecordEncoding:
    """Describe what a body holds; equal encodings have equal bodies."""

    entries: tuple[RecordEntry, ...]

    @classmethod
    def choose(
        cls,
        records: Sequence[KeyedRecord],
        history: PayloadHistory,
        digests: Collection[str],
    ) -> 'RecordEncoding':
        """Choose the base of each record for a VM that has ``digests``."""
        return cls(
            entries=tuple(
                RecordEntry(
                    key=record.key,
                    offset=record.offset,
                    digest=payload_digest(record.payload),
                    base=history.find_base(record.key, digests),
                )
                for record in records
            )
        )

    @property
    def has_bases(self) -> bool:
        """Return whether a record is encoded as a change of its base."""
        return any(entry.base for entry in self.entries)


def encode_records(
    encoding: RecordEncoding,
    records: Sequence[KeyedRecord],
    history: PayloadHistory,
) -> bytes:
    """Return the body that ``encoding`` describes."""
    parts = [
        _encode_payload(record.payload, history.find(entry.base) or b'')
        for entry, record in zip(encoding.entries, records, strict=True)
    ]
    index = [
        (entry.key, entry.offset, entry.digest, entry.base, len(part))
        for entry, part in zip(encoding.entries, parts, strict=True)
    ]
    plain = b''.join((orjson.dumps(index), _LINE_END, *parts))
    # The checksum covers the line of JSON, the digests the payloads.
    compressor = zstandard.ZstdCompressor(level=_LEVEL, write_checksum=True)
    return compressor.compress(plain)


def decode_records(
    body: bytes, history: PayloadHistory
) -> Result[tuple[KeyedRecord, ...], Failure]:
    """Return the records in ``body``, or a ``BAD_MESSAGE`` failure.

    It fails if a base is not held or a payload differs from its digest.
    """
    try:
        return Ok(_decode(body, history))
    except (ValueError, TypeError, LookupError, zstandard.ZstdError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'encoded records: {error!r}',
            )
        )


def _encode_payload(payload: bytes, base: bytes) -> bytes:
    if not base:
        return payload
    window_log = (len(payload) + len(base)).bit_length()
    compression = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(payload),
        dict_size=len(base),
        window_log=max(_MIN_WINDOW_LOG, min(window_log, _MAX_WINDOW_LOG)),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=compression
    )
    return compressor.compress(payload)


def _decode(body: bytes, history: PayloadHistory) -> tuple[KeyedRecord, ...]:
    plain = _decompress(body, zstandard.ZstdDecompressor(), _MAX_DECODED_BYTES)
    line, found, stored = plain.partition(_LINE_END)
    if not found:
        raise ValueError('no index')
    records = []
    left_bytes = _MAX_DECODED_BYTES
    for fields, part in _split(orjson.loads(line), stored):
        record = _decode_record(fields, part, history, left_bytes)
        left_bytes -= len(record.payload)
        records.append(record)
    return tuple(records)


def _split(
    index: Sequence[Any], stored: bytes
) -> Iterator[tuple[Sequence[Any], bytes]]:
    """Yield the fields of each record with its part of ``stored``."""
    start = 0
    for fields in index:
        end = start + require_count(fields[-1], 'size')
        yield fields, stored[start:end]
        start = end
    if start != len(stored):
        raise ValueError('payloads of another length')


def _decode_record(
    fields: Sequence[Any],
    part: bytes,
    history: PayloadHistory,
    limit_bytes: int,
) -> KeyedRecord:
    key, offset, digest, base, _ = fields
    payload = part
    if base:
        payload = _decode_change(part, base, history, limit_bytes)
    if payload_digest(payload) != digest:
        raise ValueError(f'payload of {key} differs from its digest')
    return KeyedRecord(
        key=require_text(key, 'key'),
        payload=payload,
        offset=require_integer(offset, 'offset', lowest=_LOWEST_OFFSET),
    )


def _decode_change(
    part: bytes, digest: str, history: PayloadHistory, limit_bytes: int
) -> bytes:
    base = history.find(digest)
    if base is None:
        raise ValueError(f'base {digest} is not held')
    decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
    return _decompress(part, decompressor, limit_bytes)


def _decompress(
    frame: bytes,
    decompressor: zstandard.ZstdDecompressor,
    limit_bytes: int,
) -> bytes:
    """Decompress a frame that names its size, which is checked first."""
    size_bytes = zstandard.frame_content_size(frame)
    if not 0 <= size_bytes <= limit_bytes:
        raise ValueError(f'frame of {size_bytes} bytes')
    return decompressor.decompress(frame, allow_extra_data=False)


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
