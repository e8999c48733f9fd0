"""Check that an unexpected error at one record does not stop a VM following.

The decoders return failures; these tests play an error that nobody expected.
"""

import asyncio

import attrs
import orjson
import pytest
from result import Ok

from arbutusbay.fleet import BackendServer, VMRegistration
from arbutusbay.node._follower import TopicFollower
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.platform import KeyedRecord, LatestRecords, StorePosition
from tests.fleet_builders import build_registration, build_vm_settings

_LIMIT_S = 5.0


class UnexpectedError(Exception):
    """Stand for an error that no code expects."""


@attrs.define(kw_only=True)
class FailingRegistry:
    """Note the servers that are registered; fail at one of them."""

    failing_id: str
    registered: list[str] = attrs.field(factory=list)

    def apply_registration(self, server: BackendServer) -> None:
        """Note a server, or raise ``UnexpectedError``."""
        if server.id == self.failing_id:
            raise UnexpectedError(server.id)
        self.registered.append(server.id)

    def remove_departed(self) -> None:
        """Remove nothing."""


class FailingStore:
    """Return one record whenever the newest ones are read."""

    async def read_latest(self, topic, *, timeout_s):
        """Return one server."""
        return Ok(LatestRecords(records=(server_record('a'),), end=1, era=1))

    async def read(self, topic, offset, *, wait_s, timeout_s):
        """Fail in a way that no code expects."""
        raise UnexpectedError(topic.value)


def server_record(name: str) -> KeyedRecord:
    """Return the registration of a server."""
    return KeyedRecord(
        key=name, payload=orjson.dumps(build_registration()), offset=0
    )


# Guards against the records after a failing one being lost: the topic counts
# as read up to its end, so they are not read again.
def test_other_records_are_applied_beside_a_failing_one():
    registry = FailingRegistry(failing_id='b')
    topic = ServersTopicState(
        node_state=NodeState(settings=build_vm_settings()),
        server_registry=registry,
    )
    was_applied = topic.apply_records(
        [server_record(name) for name in 'abc'],
        StorePosition(era=1, offset=3),
        is_complete=True,
    )
    assert was_applied
    assert registry.registered == ['a', 'c']
    assert topic.node_state.has_read_servers


# Guards against a VM that follows a topic no longer, without a word in its
# log, because the task that reads it has ended.
async def test_follower_ends_with_the_error_of_a_reader():
    node_state = NodeState(settings=build_vm_settings())
    node_state.members.own_vm = VMRegistration(
        name='vm-1', address='127.0.0.1:3', zone='plateau', started_ms=1
    )
    follower = TopicFollower(
        node_state=node_state,
        store=FailingStore(),
        session=None,
        operator_topic=OperatorTopicState(node_state=node_state),
        servers_topic=ServersTopicState(
            node_state=node_state,
            server_registry=FailingRegistry(failing_id=''),
        ),
    )
    with pytest.raises(UnexpectedError):
        await asyncio.wait_for(follower.run(), _LIMIT_S)
