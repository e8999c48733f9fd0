"""Check that one odd value of another writer stops no reader of our own log.

The same for what engines report. A decoder gives a failure, or a value that all
later steps can take.
"""

from types import MappingProxyType

import orjson
import pytest
from result import Err, Ok

from arbutusbay.backend._engine_decoder import decode_cache_events
from arbutusbay.state import (
    EMPTY_KEY_STATE,
    ConfigState,
    apply_config_record,
    apply_ledger_record,
    build_snapshot,
    decode_config_record,
    decode_ledger_batch,
    encode_config_record,
)
from arbutusbay.wire import EngineView, LookupReply, encode_message
from tests.fleet_builders import build_nested_json

_NESTED = 'NESTED'
_NESTED_LEVELS = 900
_SPEC = MappingProxyType({'model': 'm', 'weights_version': 'v1'})
_CONFIG_RECORDS = (
    {
        'type': 'put',
        'kind': 'pool',
        'name': 'language',
        'expects': None,
        'nonce': 'n',
        'spec': dict(_SPEC),
    },
    {
        'type': 'delete',
        'kind': 'pool',
        'name': 'language',
        'expects': 3,
        'nonce': 'n',
    },
    {'type': 'snapshot', 'base': 3, 'nonce': 'n', 'resources': []},
)
_LEDGER_RECORDS = (
    {'type': 'claim', 'key': 'k', 'nonce': 'n', 'fingerprint': 'f'},
    {'type': 'abandon', 'key': 'k', 'nonce': 'n'},
    {
        'type': 'outcome',
        'key': 'k',
        'nonce': 'n',
        'status': 200,
        'content_type': 'text/plain',
        'body': 'eA==',
    },
)
_PAGE = MappingProxyType(
    {
        'incarnation': 'i',
        'weights_version': 'v1',
        'next': 7,
        'gap': False,
        'events': [[[1], [2]]],
        'load': {
            'running': 1,
            'waiting': 0,
            'queued_tokens': 10,
            'slots': 8,
            'ready': True,
            'leaving': False,
        },
    }
)


def odd_values() -> list[object]:
    """Return values that no field of a record should hold."""
    return [_NESTED, {'a': _NESTED}, 2**64 - 1, -1, 1.5, True, None, [], '']


def encode(record: object) -> bytes:
    """Return ``record`` as JSON, with a deeply nested list where it is named.

    No encoder writes so many levels.
    """
    text = orjson.dumps(record).decode()
    nested = build_nested_json(_NESTED_LEVELS)
    return text.replace(f'"{_NESTED}"', nested).encode()


def odd_variants(record):
    """Return ``record`` with each of its fields replaced by odd values."""
    return [{**record, name: odd} for name in record for odd in odd_values()]


# Guards against a reader that meets the same record for ever.
@pytest.mark.parametrize('record', _CONFIG_RECORDS)
def test_odd_configuration_record_is_skipped_or_applied(record):
    for fields in odd_variants(record):
        match decode_config_record(encode(fields)):
            case Ok(decoded):
                state = apply_config_record(ConfigState(), 4, decoded)
                snapshot = build_snapshot(state, 'n')
                assert encode_config_record(snapshot)
            case Err(failure):
                assert failure.detail


# Guards against requests that wait for a group commit nobody can apply.
@pytest.mark.parametrize('record', _LEDGER_RECORDS)
def test_odd_ledger_record_is_skipped_or_applied(record):
    for fields in odd_variants(record):
        match decode_ledger_batch(encode([fields])):
            case Ok([decoded]):
                assert {decoded.key: decoded}
                assert apply_ledger_record(EMPTY_KEY_STATE, decoded)
            case Err(failure):
                assert failure.detail


# Guards against one engine whose report fails the lookups of its whole pool.
def test_odd_load_report_fits_the_reply_of_a_lookup():
    variants = [{**_PAGE, 'load': load} for load in odd_variants(_PAGE['load'])]
    for fields in (*odd_variants(_PAGE), *variants):
        match decode_cache_events(orjson.loads(encode(fields))):
            case Ok(page):
                view = EngineView(
                    name='engine-1',
                    incarnation=page.incarnation,
                    weights_version=page.weights_version,
                    depth=0,
                    running=page.load.running,
                    waiting=page.load.waiting,
                    queued_tokens=page.load.queued_tokens,
                    slots=page.load.slots,
                    age_ms=0,
                    ready=page.load.ready,
                    leaving=page.load.leaving,
                )
                assert encode_message(LookupReply(engines=[view]))
                for event in page.events:
                    hashes = (*event.stored, *event.removed)
                    assert all(0 <= block < 2**64 for block in hashes)
            case Err(failure):
                assert failure.detail
