"""Check the encoding of records for VMs that have earlier versions."""

import orjson
import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from arbutusbay.platform import KeyedRecord
from arbutusbay.spread import (
    EncodingCache,
    PayloadHistory,
    RecordEncoding,
    decode_records,
    encode_records,
)
from tests.spread_builders import build_sized_record

_SIZE_BYTES = 26_000


def _record(version: int) -> KeyedRecord:
    return build_sized_record(_SIZE_BYTES, version=version, changed=version)


def _history(*versions: int) -> PayloadHistory:
    history = PayloadHistory()
    for version in versions:
        history.record('config', _record(version).payload)
    return history


def _encode(records, sender, receiver) -> bytes:
    """Encode ``records`` for a VM with the history ``receiver``."""
    encoding = RecordEncoding.choose(records, sender, receiver.newest_digests())
    return encode_records(encoding, records, sender)


def _changed_index(body: bytes, position: int, replacement: object) -> bytes:
    """Return ``body`` with another field in the line of its first record."""
    line, _, stored = (
        zstandard.ZstdDecompressor().decompress(body).partition(b'\n')
    )
    index = orjson.loads(line)
    index[0][position] = replacement
    return zstandard.ZstdCompressor().compress(
        b'\n'.join((orjson.dumps(index), stored))
    )


@pytest.mark.parametrize('known', [1, 2, 3])
def test_change_of_an_earlier_version_is_small(known):
    receiver = _history(known)
    body = _encode([_record(4)], _history(1, 2, 3, 4), receiver)
    assert len(body) < _SIZE_BYTES / 50
    assert decode_records(body, receiver).unwrap() == (_record(4),)


def test_unknown_base_makes_the_record_whole():
    body = _encode([_record(4)], _history(2, 3, 4), _history(1))
    assert decode_records(body, _history()).unwrap() == (_record(4),)


def test_payload_of_another_key_is_no_base():
    sender = PayloadHistory()
    sender.record('other', _record(1).payload)
    encoding = RecordEncoding.choose(
        [_record(2)], sender, sender.newest_digests()
    )
    assert not encoding.has_bases


# Guards against a configuration in force that nobody has written: the change
# is applied to another version than the one that it was made from.
def test_change_of_a_base_that_is_not_held_is_refused():
    body = _encode([_record(2)], _history(1, 2), _history(1))
    assert decode_records(body, _history(3)).is_err()


# Guards against the same, by a change that names a wrong base.
def test_change_that_names_a_wrong_base_is_refused():
    body = _encode([_record(2)], _history(1, 2), _history(1))
    receiver = _history(1)
    receiver.record('config', bytes(reversed(_record(1).payload)))
    wrong = receiver.newest_digests()[0]
    assert decode_records(_changed_index(body, 3, wrong), receiver).is_err()


@pytest.mark.parametrize(
    ('position', 'replacement'),
    [
        (0, 5),
        (1, 'x'),
        (1, -2),
        (2, '0' * 32),
        (3, []),
        (3, '0' * 32),
        (4, 0),
        (4, -1),
        (4, 2**40),
        (4, None),
    ],
)
def test_malformed_index_is_refused(position, replacement):
    body = _encode([_record(2)], _history(1, 2), _history(1))
    changed = _changed_index(body, position, replacement)
    assert decode_records(changed, _history(1)).is_err()


@given(position=st.integers(0), flip=st.integers(1, 255))
def test_damaged_body_is_refused_or_unchanged(position, flip):
    body = _encode([_record(2)], _history(1, 2), _history(1))
    damaged = bytearray(body)
    damaged[position % len(body)] ^= flip
    decoded = decode_records(bytes(damaged), _history(1))
    assert decoded.is_err() or decoded.unwrap() == (_record(2),)


@given(end=st.integers(0, 200))
def test_cut_body_is_refused(end):
    body = _encode([_record(2)], _history(1, 2), _history(1))
    assert decode_records(body[: min(end, len(body) - 1)], _history(1)).is_err()


@pytest.mark.parametrize(
    'plain', [b'', b'[]', b'5\n', b'[[]]\n', b'[{}]\n', b'[5]\n', b'[]\nx']
)
def test_odd_content_is_refused(plain):
    body = zstandard.ZstdCompressor().compress(plain)
    assert decode_records(body, _history()).is_err()


# Guards against memory that a short frame makes a VM take.
def test_frame_that_claims_a_large_size_is_refused():
    body = zstandard.ZstdCompressor().compress(bytes(40_000_000))
    assert decode_records(body, _history()).is_err()


def test_deleted_and_small_records_are_kept_as_they_are():
    records = (
        KeyedRecord(key='a', payload=b'', offset=-1),
        KeyedRecord(key='b', payload=b'\n\x00', offset=7),
    )
    body = _encode(records, _history(), _history())
    assert decode_records(body, _history()).unwrap() == records


# Guards against memory that grows with the number or size of versions.
def test_history_is_bounded_and_keeps_the_newest_of_each_key():
    history = PayloadHistory(
        min_payload_bytes=1, max_payloads=3, max_bytes=2500
    )
    history.record('a', bytes(1000))
    for count in range(1, 9):
        history.record('b', bytes([count]) * 1000)
        assert len(history.payloads) <= 3
        assert history.held_bytes <= 2500
    held = [known.payload for known in history.payloads.values()]
    assert held == [bytes(1000), bytes([8]) * 1000]
    history.record('b', b'')
    assert len(history.newest_digests()) == 1


# Guards against memory that grows with the number of encodings.
def test_encodings_are_bounded_and_found_again():
    cache = EncodingCache(max_entries=3, max_bytes=2500)
    encodings = [
        RecordEncoding.choose([_record(version)], _history(), [])
        for version in range(5)
    ]
    for encoding in encodings:
        cache.add(encoding, bytes(1000))
        assert cache.held_bytes <= 2500
    assert cache.find(encodings[0]) is None
    assert cache.find(encodings[4]) == bytes(1000)
