"""Check that changes alone bring a router to the state of its source."""

from arbutusbay.config_exchange import (
    entries_from_state,
    keys_from_ids,
    state_from_reply,
)
from arbutusbay.state import (
    ConfigState,
    Delete,
    DeletionLog,
    Pool,
    Put,
    ResourceId,
    apply_config_record,
)
from arbutusbay.wire import ConfigReply


def _put(name: str, version: str) -> Put:
    return Put(
        id=ResourceId(kind='pool', name=name),
        spec=Pool(model='m', weights_version=version),
        expects=None,
        nonce=version,
    )


def _delete(name: str) -> Delete:
    resource_id = ResourceId(kind='pool', name=name)
    return Delete(id=resource_id, expects=None, nonce='d')


_HISTORY = (
    _put('a', 'v1'),
    _put('b', 'v1'),
    _delete('a'),
    _put('c', 'v1'),
    _put('b', 'v2'),
    _put('a', 'v3'),
    _delete('c'),
)


def _reply(
    state: ConfigState, deletion_log: DeletionLog, after: int
) -> ConfigReply:
    full = not deletion_log.covers(after)
    return ConfigReply(
        offset=state.offset,
        changed=True,
        members=[],
        leaving=[],
        full=full,
        entries=entries_from_state(state, after=-1 if full else after),
        removed=[]
        if full
        else keys_from_ids(deletion_log.deleted_since(after)),
    )


def test_changes_since_any_offset_lead_to_the_same_state():
    states = [ConfigState()]
    deletion_log = DeletionLog()
    deletion_log.record_deletions(states[0], states[0])
    for offset, record in enumerate(_HISTORY):
        states.append(apply_config_record(states[-1], offset, record))
        deletion_log.record_deletions(states[-2], states[-1])
        for known in states[:-1]:
            reply = _reply(states[-1], deletion_log, known.offset)
            assert not reply.full
            assert state_from_reply(known, reply) == states[-1]


def test_unknown_removals_lead_to_a_full_reply():
    state = apply_config_record(ConfigState(), 0, _put('a', 'v1'))
    deletion_log = DeletionLog()
    deletion_log.record_deletions(ConfigState(), state)
    stale = apply_config_record(ConfigState(), -1, None)
    reply = _reply(state, deletion_log, stale.offset)
    assert reply.full
    assert state_from_reply(stale, reply) == state
