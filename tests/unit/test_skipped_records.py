"""Check that a malformed record is logged once, not at each read of it."""

import attrs
import logbook
import orjson
import pytest
from result import Ok

from arbutusbay.node._coordination import read_coordination_topic
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topics import ServersTopicState
from arbutusbay.platform import KeyedRecord, LatestRecords, StorePosition
from tests.fleet_builders import build_registration, build_vm_settings

_READS = 3


@attrs.define(kw_only=True)
class RecordStore:
    """Return the newest records of a topic."""

    records: tuple[KeyedRecord, ...]

    async def read_latest(self, topic, *, timeout_s):
        """Return all records."""
        return Ok(LatestRecords(records=self.records, end=9, era=1))


@pytest.fixture
def log():
    with logbook.TestHandler() as handler:
        yield handler


@pytest.fixture
def servers_topic():
    node_state = NodeState(settings=build_vm_settings())
    return ServersTopicState(
        node_state=node_state,
        server_registry=ServerRegistry(node_state=node_state),
    )


def count_skipped(log: logbook.TestHandler) -> int:
    """Return how many lines name a malformed record."""
    return sum('skipped' in record.message for record in log.records)


def odd_record(offset: int, **changes: object) -> KeyedRecord:
    """Return the registration of a server with an address that is none."""
    registration = build_registration(address='..:80', **changes)
    return KeyedRecord(
        key='odd', payload=orjson.dumps(registration), offset=offset
    )


def apply(topic: ServersTopicState, record: KeyedRecord) -> None:
    """Apply a read of all records that found one."""
    end = StorePosition(era=1, offset=record.offset + 1)
    assert topic.apply_records([record], end, is_complete=True)


def test_same_entry_is_logged_once(servers_topic, log):
    for _ in range(_READS):
        apply(servers_topic, odd_record(1))
    assert count_skipped(log) == 1


def test_entry_that_is_written_again_is_logged_once(servers_topic, log):
    for number in range(_READS):
        apply(servers_topic, odd_record(number, sequence=number))
    assert count_skipped(log) == 1


def test_entry_with_another_fault_is_logged_again(servers_topic, log):
    apply(servers_topic, odd_record(1))
    apply(servers_topic, odd_record(2, state='asleep'))
    assert count_skipped(log) == 2


def test_entry_becomes_a_server_once_it_is_sound(servers_topic, log):
    apply(servers_topic, odd_record(1))
    sound = orjson.dumps(build_registration())
    apply(servers_topic, KeyedRecord(key='odd', payload=sound, offset=2))
    assert 'odd' in servers_topic.node_state.engine_views


async def test_coordination_record_is_logged_once(log):
    node_state = NodeState(settings=build_vm_settings())
    records = (
        KeyedRecord(key='vm/odd', payload=b'[]', offset=1),
        KeyedRecord(key='lease/odd', payload=b'{}', offset=2),
    )
    store = RecordStore(records=records)
    for _ in range(_READS):
        read = await read_coordination_topic(node_state, store, timeout_s=1)
        assert isinstance(read, Ok)
    assert count_skipped(log) == len(records)
