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
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from arbutusbay.node._peer_messages import (
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.node._relay_messages import relay_response_from_bytes
from arbutusbay.platform import (
    decode_backend_server,
    decode_coordination_record,
    decode_operator_record,
    read_settings,
)
from arbutusbay.platform._store_client import _parse_era
from tests.fleet_builders import (
    ODD_ADDRESSES,
    ODD_SERVER_IDS,
    build_configuration,
    build_nested_json,
    build_registration,
)

_DEPTHS = (50, 300, *range(800, 1024, 8))
_NESTED = '"NESTED"'
_NOW_S = 100.0
_MAX_EXAMPLES = 400
REPORTED_NUMBERS = (
    2**31,
    2**40,
    2**53 - 1,
    2**53,
    2**63,
    2**64 - 1,
    1e300,
    '9' * 4000,
    'nan',
    'inf',
)
ODD_JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(REPORTED_NUMBERS),
    lambda children: (
        st.lists(children, max_size=7)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=10,
)


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
            decode=lambda raw: peer_state_from_bytes(raw, _NOW_S),
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


def build_number_cases() -> list[Any]:
    """Return each decoder with each position of a number that it reads."""
    return [
        pytest.param(decoder, path, id=f'{name}-{"-".join(map(str, path))}')
        for name, decoder in DECODERS.items()
        if name != 'configuration'
        for path in positions_in(decoder.document)
        if is_number_at(decoder.document, path)
        and path != ('cold_remaining_ms',)
    ]


def is_number_at(document: Any, path: tuple) -> bool:
    """Return whether ``document`` has a number at ``path``."""
    for key in path:
        document = document[key]
    return isinstance(document, int) and not isinstance(document, bool)


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


# Guards against numbers that break what this VM sends to others, or the
# arithmetic of its decisions.
@pytest.mark.parametrize(('decoder', 'path'), build_number_cases())
def test_odd_numbers_are_rejected(decoder, path):
    for number in (2**64 - 1, 1e300, '8', [], True, -(2**60)):
        raw = json.dumps(replace_at(decoder.document, path, number)).encode()
        assert isinstance(decoder.decode(raw), Err), number


# Guards against reports that fail for ever, since this VM repeats a number of
# another one in them.
@given(st.data())
@settings(max_examples=_MAX_EXAMPLES, derandomize=True, deadline=None)
def test_what_is_decoded_can_be_reported(test_data):
    decoder = DECODERS['peer']
    path = test_data.draw(st.sampled_from(positions_in(decoder.document)))
    replacement = test_data.draw(st.sampled_from(REPORTED_NUMBERS))
    document = replace_at(decoder.document, path, replacement)
    match decoder.decode(json.dumps(document).encode()):
        case Ok(state):
            # The times of the quarantine are in the past of any receiver.
            datagram = peer_state_to_bytes(state, _NOW_S)
            assert isinstance(decoder.decode(datagram), Ok)


@given(st.data())
@settings(max_examples=_MAX_EXAMPLES, derandomize=True, deadline=None)
def test_any_value_gives_a_result(test_data):
    decoder = test_data.draw(st.sampled_from(sorted(DECODERS)))
    document = DECODERS[decoder].document
    path = test_data.draw(st.sampled_from(positions_in(document)))
    replacement = test_data.draw(ODD_JSON_VALUES)
    raw = json.dumps(replace_at(document, path, replacement)).encode()
    assert isinstance(DECODERS[decoder].decode(raw), Ok | Err)


@pytest.mark.parametrize('era', ['9' * 4000, '9' * 5000, '\uff11', '-1', ''])
def test_odd_era_of_the_store_counts_as_unknown(era):
    assert not _parse_era({'Store-Era': era})


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
