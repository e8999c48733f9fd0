"""Check that values of other writers give a failure, never another error.

Guards against tasks that end, or restart for ever, at one record: it is read
again, or the records beside it are lost.
"""

import json
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import attrs
import pytest
from result import Err, Ok, Result

from arbutusbay.node._peer_messages import peer_state_from_bytes
from arbutusbay.node._relay_messages import relay_response_from_bytes
from arbutusbay.platform import (
    decode_backend_server,
    decode_coordination_record,
    decode_operator_record,
    read_settings,
)
from tests.fleet_builders import (
    ODD_ADDRESSES,
    ODD_SERVER_IDS,
    build_configuration,
    build_nested_json,
    build_registration,
)

_DEPTHS = (50, 300, *range(800, 1024, 8))
_NESTED = '"NESTED"'


@attrs.frozen(kw_only=True)
class Decoder:
    """Decode a document that ``document`` is a sound example of."""

    decode: Callable[[bytes], Result[Any, Any]]
    document: dict[str, Any]


def build_topic_update() -> dict[str, Any]:
    """Return an update of a topic as a relay sends it."""
    return {'end': 3, 'era': 1, 'whole': True, 'records': [['k', 'eA==', 2]]}


DECODERS = MappingProxyType(
    {
        'server': Decoder(
            decode=lambda raw: decode_backend_server('engine-1', raw),
            document=build_registration(),
        ),
        'configuration': Decoder(
            decode=lambda raw: decode_operator_record('config', raw),
            document=build_configuration(),
        ),
        'weights': Decoder(
            decode=lambda raw: decode_operator_record('version/m', raw),
            document={'model': 'm', 'version': 2},
        ),
        'vm': Decoder(
            decode=lambda raw: decode_coordination_record('vm/a', raw),
            document={'address': '127.0.0.1:1', 'zone': 'z', 'started_ms': 1},
        ),
        'lease': Decoder(
            decode=lambda raw: decode_coordination_record('lease/weights', raw),
            document={'holder': 'a', 'round': 1},
        ),
        'verdict': Decoder(
            decode=lambda raw: decode_coordination_record(
                'quarantine/m/s/1', raw
            ),
            document={
                'model': 'm',
                'segment': 's',
                'revision': 1,
                'is_quarantined': True,
                'probes': 0,
                'weights_version': 1,
                'changed_ms': 1,
            },
        ),
        'peer': Decoder(
            decode=lambda raw: peer_state_from_bytes(raw, 100),
            document={
                'n': 'vm-1',
                'z': 'plateau',
                'o': {'engine-1': [1, 2, 3]},
                'm': [1, 2],
                's': ['engine-1'],
                'g': {'engine-1': 4},
                'l': {'engine-1': ['m', 2, -10, 20]},
                'w': {'engine-1': [4, {'m': 2}]},
                'f': 7,
                'zs': {'milton': [{'engine-1': [1, 2, 3]}, [1, 2]]},
                'q': {
                    'e': {'engine-1/4': [-5, [['m', 's', 0, True]]]},
                    'a': [['m', 's', 2, -5]],
                    'v': [['m', 's', 1, True, -5, 0, 2]],
                },
            },
        ),
        'relay': Decoder(
            decode=relay_response_from_bytes,
            document={
                'age_ms': 1,
                'held_ms': 2,
                'store_returned_ago_ms': 3,
                'store_failing_ms': 4,
                'operator': build_topic_update(),
                'servers': build_topic_update(),
            },
        ),
    }
)


def positions_in(document: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a document, itself excepted."""
    children = []
    match document:
        case dict():
            children = list(document.items())
        case list():
            children = list(enumerate(document))
    return [
        position
        for key, child in children
        for position in ((*path, key), *positions_in(child, (*path, key)))
    ]


def replace_at(document: Any, path: tuple, replacement: Any) -> Any:
    """Return ``document`` with another value at ``path``."""
    if not path:
        return replacement
    copied = document.copy()
    copied[path[0]] = replace_at(document[path[0]], path[1:], replacement)
    return copied


def build_cases() -> list[Any]:
    """Return each decoder with each position in its document."""
    return [
        pytest.param(decoder, path, id=f'{name}-{"-".join(map(str, path))}')
        for name, decoder in DECODERS.items()
        for path in positions_in(decoder.document)
    ]


@pytest.mark.parametrize('decoder', DECODERS.values(), ids=DECODERS)
def test_sound_documents_are_decoded(decoder):
    assert isinstance(decoder.decode(json.dumps(decoder.document).encode()), Ok)


@pytest.mark.parametrize(('decoder', 'path'), build_cases())
def test_nested_values_raise_no_exception(decoder, path):
    document = replace_at(decoder.document, path, 'NESTED')
    text = json.dumps(document)
    for depth in _DEPTHS:
        raw = text.replace(_NESTED, build_nested_json(depth)).encode()
        assert isinstance(decoder.decode(raw), Ok | Err)


# Guards against requests, reports and reads that are sent to an address that
# is none: they fail with errors that no code there expects.
@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_addresses_are_rejected(address):
    for name in ('server', 'vm'):
        decoder = DECODERS[name]
        document = {**decoder.document, 'address': address}
        failure = decoder.decode(json.dumps(document).encode()).unwrap_err()
        assert 'address: ' in failure.detail


@pytest.mark.parametrize('address', ['10.2.0.1:1', '127.0.0.1:65535'])
def test_sound_addresses_are_accepted(address):
    document = build_registration(address=address)
    server = decode_backend_server('e', json.dumps(document).encode())
    assert server.unwrap().address == address


# Guards against ids that cannot be sent in the header of a request.
@pytest.mark.parametrize('server_id', ODD_SERVER_IDS)
def test_odd_server_ids_are_rejected(server_id):
    raw = json.dumps(build_registration()).encode()
    failure = decode_backend_server(server_id, raw).unwrap_err()
    assert 'id: must be' in failure.detail


# Guards against an error text that is as long as the value it shows.
def test_long_values_are_shown_in_part():
    document = build_registration(state='x' * 100_000)
    failure = decode_backend_server('e', json.dumps(document).encode())
    assert len(failure.unwrap_err().detail) < 200


# Guards against a reload that raises instead of keeping the settings.
def test_nested_settings_are_rejected(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(f'node = {build_nested_json(5000)}')
    assert 'local.toml' in read_settings(path).unwrap_err().detail
