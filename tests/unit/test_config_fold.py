"""Check the fold of configuration record by record."""

from arbutusbay.state import (
    NO_VERSION,
    ConfigState,
    Delete,
    Pool,
    Put,
    ResourceId,
    apply_config,
    record_from_bytes,
    record_to_bytes,
)

_ID = ResourceId(kind='pool', name='p')


def _put(version: str, expects: int | None) -> Put:
    spec = Pool(model='m', weights_version=version)
    return Put(id=_ID, spec=spec, expects=expects, nonce=version)


def _weights(state: ConfigState) -> str:
    return state.resources[_ID].spec.weights_version


def test_create_does_not_replace_the_record_at_offset_zero():
    state = apply_config(ConfigState(), 0, _put('v1', NO_VERSION))
    state = apply_config(state, 1, _put('v2', NO_VERSION))
    assert _weights(state) == 'v1'


def test_replace_needs_the_version_in_force():
    state = apply_config(ConfigState(), 0, _put('v1', NO_VERSION))
    state = apply_config(state, 1, _put('v2', 0))
    state = apply_config(state, 2, _put('v3', 0))
    assert _weights(state) == 'v2'


def test_older_offsets_change_nothing():
    state = apply_config(ConfigState(), 5, _put('v1', NO_VERSION))
    assert apply_config(state, 5, Delete(id=_ID, expects=5, nonce='d')) == state


def test_unreadable_record_moves_only_the_offset():
    state = apply_config(ConfigState(), 0, _put('v1', NO_VERSION))
    after = apply_config(state, 1, None)
    assert after.offset == 1
    assert after.resources == state.resources


def test_records_survive_the_log():
    record = _put('v1', 7)
    assert record_from_bytes(record_to_bytes(record)).unwrap() == record


def test_garbage_records_are_refused():
    for payload in (b'', b'{}', b'[]', b'{"type":"put","kind":"x"}', b'\xff'):
        assert record_from_bytes(payload).is_err()
