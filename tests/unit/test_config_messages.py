"""Test that configuration replies bring a receiver to the sender's state.

Partial replies carry only entries and removals after the receiver's offset.
"""

from arbutusbay.config_messages import (
    apply_config_reply,
    build_resource_entries,
    build_resource_keys,
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


def _put_pool(name: str, version: str) -> Put:
    return Put(
        id=ResourceId(kind='pool', name=name),
        spec=Pool(model='m', weights_version=version),
        expects=None,
        nonce=version,
    )


def _delete_pool(name: str) -> Delete:
    resource_id = ResourceId(kind='pool', name=name)
    return Delete(id=resource_id, expects=None, nonce='d')


_RECORDS = (
    _put_pool('a', 'v1'),
    _put_pool('b', 'v1'),
    _delete_pool('a'),
    _put_pool('c', 'v1'),
    _put_pool('b', 'v2'),
    _put_pool('a', 'v3'),
    _delete_pool('c'),
)


def _build_reply(
    state: ConfigState, deletion_log: DeletionLog, after: int
) -> ConfigReply:
    full = not deletion_log.covers(after)
    return ConfigReply(
        offset=state.offset,
        changed=True,
        members=[],
        leaving=[],
        full=full,
        entries=build_resource_entries(state, after=-1 if full else after),
        removed=[]
        if full
        else build_resource_keys(deletion_log.deleted_since(after)),
    )


def test_partial_reply_from_any_offset_gives_the_newest_state():
    states = [ConfigState()]
    deletion_log = DeletionLog()
    deletion_log.record_deletions(states[0], states[0])
    for offset, record in enumerate(_RECORDS):
        states.append(apply_config_record(states[-1], offset, record))
        deletion_log.record_deletions(states[-2], states[-1])
        for known in states[:-1]:
            reply = _build_reply(states[-1], deletion_log, known.offset)
            assert not reply.full
            assert apply_config_reply(known, reply) == states[-1]


def test_full_reply_is_sent_if_deletions_are_not_known():
    state = apply_config_record(ConfigState(), 0, _put_pool('a', 'v1'))
    deletion_log = DeletionLog()
    deletion_log.record_deletions(ConfigState(), state)
    outdated_state = apply_config_record(ConfigState(), -1, None)
    reply = _build_reply(state, deletion_log, outdated_state.offset)
    assert reply.full
    assert apply_config_reply(outdated_state, reply) == state


# Guards against a daemon that has skipped a resource which came and went: a
# router that has it from another daemon kept it, a revoked key for example.
def test_resource_that_the_sender_has_skipped_is_removed():
    start = ConfigState()
    with_pool = apply_config_record(start, 0, _put_pool('a', 'v1'))
    newest = apply_config_record(with_pool, 1, _delete_pool('a'))
    deletion_log = DeletionLog()
    deletion_log.record_deletions(start, start)
    deletion_log.record_deletions(start, newest)
    reply = _build_reply(newest, deletion_log, with_pool.offset)
    assert apply_config_reply(with_pool, reply) == newest
