"""Test when a VM takes the store to have been away.

Registrations of running servers lapse while the store is away, so servers
are kept for a while after its return.
"""

import attrs
import orjson
import pytest
from result import Err, Ok

from arbutusbay.fleet import VMRegistration
from arbutusbay.node import (
    _follower,
    _node_state,
    _server_registry,
    _topic_reader,
)
from arbutusbay.node._follower import TopicFollower
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_messages import (
    RelayResponse,
    TopicUpdate,
    relay_response_from_bytes,
    relay_response_to_bytes,
)
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topic_reader import TopicReader
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.platform import (
    KeyedRecord,
    ReadPage,
    StorePosition,
    StoreUnavailable,
)
from tests.fleet_builders import build_registration, build_vm_settings
from tests.fleet_fakes import FakeClock

SERVER_ID = 'engine-1'
REMOVAL = KeyedRecord(key=SERVER_ID, payload=b'', offset=2)
RELAY = VMRegistration(name='vm-2', address='', zone='hann', started_ms=0)


@attrs.define(kw_only=True)
class FailingStore:
    """Fail the reads until ``is_available``; each takes a third of a second.

    The first read that succeeds returns the removals.
    """

    clock: FakeClock
    is_available: bool = False
    removals: tuple[KeyedRecord, ...] = (REMOVAL,)

    async def read(self, topic, offset, *, wait_s, timeout_s):
        """Return the removal, or that the store is unavailable."""
        if self.is_available:
            return Ok(
                ReadPage(records=self.removals, next_offset=3, end=3, era=1)
            )
        self.clock.moment_s += 0.34
        return Err(StoreUnavailable(detail='status 503'))


@pytest.fixture
def clock(monkeypatch):
    fake = FakeClock()
    for module in (_follower, _node_state, _server_registry, _topic_reader):
        monkeypatch.setattr(module, 'now_s', fake)
    return fake


@pytest.fixture
async def node_state(clock):
    return NodeState(settings=build_vm_settings())


@pytest.fixture
def servers_topic(node_state, clock):
    """Return the topic after one server has registered."""
    topic = ServersTopicState(
        node_state=node_state,
        server_registry=ServerRegistry(node_state=node_state),
    )
    record = KeyedRecord(
        key=SERVER_ID, payload=orjson.dumps(build_registration()), offset=1
    )
    apply(topic, [record], end=2, is_complete=True)
    node_state.freshness.record_read(clock.moment_s)
    return topic


@pytest.fixture
def follower(node_state, servers_topic):
    topic = OperatorTopicState(node_state=node_state)
    apply(topic, [], end=1, is_complete=True)
    return TopicFollower(
        node_state=node_state,
        store=None,
        session=None,
        operator_topic=topic,
        servers_topic=servers_topic,
    )


@pytest.fixture
def store(clock):
    return FailingStore(clock=clock)


@pytest.fixture
def reader(servers_topic, store):
    return TopicReader(
        topic_state=servers_topic, store=store, wait_s=0, read_interval_s=0
    )


def apply(topic, records, *, end, is_complete=False) -> None:
    """Apply records that were read up to the offset ``end``."""
    position = StorePosition(era=1, offset=end)
    assert topic.apply_records(records, position, is_complete=is_complete)


def relayed_failure(*, store_failing_s: float) -> RelayResponse:
    """Return a response without changes of a VM whose reads fail."""
    operator = TopicUpdate(
        records=(), end=StorePosition(era=1, offset=1), is_complete=False
    )
    servers = attrs.evolve(operator, end=StorePosition(era=1, offset=2))
    return RelayResponse(
        age_s=store_failing_s,
        held_s=0,
        store_failing_s=store_failing_s,
        operator=operator,
        servers=servers,
    )


def relayed_removal(*, store_returned_ago_s: float | None) -> RelayResponse:
    """Return a response that removes the server."""
    return RelayResponse(
        age_s=0.1,
        held_s=0,
        store_returned_ago_s=store_returned_ago_s,
        operator=TopicUpdate(
            records=(), end=StorePosition(era=1, offset=1), is_complete=False
        ),
        servers=TopicUpdate(
            records=(REMOVAL,),
            end=StorePosition(era=1, offset=3),
            is_complete=False,
        ),
    )


async def read_times(reader, count: int) -> None:
    """Read ``count`` times from the store."""
    for _ in range(count):
        await reader.step()


# Guards against requests to a server that left long ago, by a VM that was
# suspended or whose sources did not answer.
def test_gap_between_own_reads_is_no_outage(node_state, servers_topic, clock):
    clock.moment_s += 60
    node_state.freshness.record_read(clock.moment_s)
    apply(servers_topic, [REMOVAL], end=3)
    assert not node_state.engine_views


# Guards against the loss of every server at once when the first successful
# read after an outage is the one that finds their entries gone.
async def test_server_is_kept_by_the_first_read_after_an_outage(
    node_state, store, reader
):
    await read_times(reader, 4)
    store.is_available = True
    await reader.step()
    assert list(node_state.engine_views) == [SERVER_ID]


# Guards against requests to a server that has left, by a VM whose reads failed
# for a while on its own link: the other servers are still registered.
@pytest.mark.parametrize(
    ('registered', 'removed', 'kept'),
    [(4, 1, 3), (4, 2, 2), (4, 3, 4), (4, 4, 4), (2, 1, 1)],
)
async def test_few_removals_after_failed_reads_are_of_servers_that_left(
    node_state, servers_topic, store, reader, registered, removed, kept
):
    names = [f'engine-{number}' for number in range(1, registered + 1)]
    payload = orjson.dumps(build_registration())
    records = [
        KeyedRecord(key=name, payload=payload, offset=1) for name in names
    ]
    apply(servers_topic, records, end=2)
    store.removals = tuple(
        KeyedRecord(key=name, payload=b'', offset=2) for name in names[:removed]
    )
    await read_times(reader, 4)
    store.is_available = True
    await reader.step()
    assert len(node_state.engine_views) == kept


# Guards against the loss of all servers where an outage makes their
# registrations expire one after the other, over several reads.
@pytest.mark.parametrize(
    ('removed_per_read', 'kept'), [((3, 2), 5), ((2, 3), 3), ((1,) * 5, 3)]
)
async def test_removals_of_several_reads_count_together(
    node_state, servers_topic, clock, removed_per_read, kept
):
    names = [f'engine-{number}' for number in range(1, 6)]
    payload = orjson.dumps(build_registration())
    apply(
        servers_topic,
        [KeyedRecord(key=name, payload=payload, offset=1) for name in names],
        end=2,
    )
    node_state.freshness.record_outage(clock.moment_s)
    for count in removed_per_read:
        removed, names = names[:count], names[count:]
        apply(
            servers_topic,
            [KeyedRecord(key=name, payload=b'', offset=2) for name in removed],
            end=3,
        )
    assert len(node_state.engine_views) == kept


async def test_short_failure_is_no_outage(node_state, store, reader):
    await read_times(reader, 2)
    store.is_available = True
    await reader.step()
    assert not node_state.engine_views


async def test_suspension_between_failed_reads_is_no_outage(
    node_state, store, reader, clock
):
    await reader.step()
    clock.moment_s += 60
    store.is_available = True
    await reader.step()
    assert not node_state.engine_views


async def test_failures_before_a_relayed_read_do_not_count(
    node_state, store, reader, clock
):
    await read_times(reader, 3)
    node_state.freshness.record_read(clock.moment_s + 0.1)
    await reader.step()
    store.is_available = True
    await reader.step()
    assert not node_state.engine_views


# Guards against a grace period that starts when a VM resumes.
async def test_suspension_after_an_outage_does_not_move_its_end(
    node_state, store, reader, clock
):
    await read_times(reader, 4)
    clock.moment_s += 60
    store.is_available = True
    await reader.step()
    assert not node_state.engine_views


# Guards against the loss of every server on VMs that read through a relay.
def test_server_is_kept_when_the_relay_tells_of_an_outage(
    node_state, follower, clock
):
    clock.moment_s += 10
    response = relayed_removal(store_returned_ago_s=0.5)
    follower._apply_response(RELAY, response, clock.moment_s)
    assert list(node_state.engine_views) == [SERVER_ID]


def test_relayed_removal_without_an_outage_is_immediate(
    node_state, follower, clock
):
    clock.moment_s += 10
    response = relayed_removal(store_returned_ago_s=None)
    follower._apply_response(RELAY, response, clock.moment_s)
    assert not node_state.engine_views


# Guards against the loss of every server on a VM that reads from the store
# itself when the data of its relay has grown old, just before the return.
async def test_failures_at_the_relay_count_towards_an_outage(
    node_state, follower, store, reader, clock
):
    clock.moment_s += 2.4
    response = relayed_failure(store_failing_s=2.4)
    follower._apply_response(RELAY, response, clock.moment_s)
    await reader.step()
    store.is_available = True
    await reader.step()
    assert list(node_state.engine_views) == [SERVER_ID]


async def test_failures_at_the_relay_alone_are_no_outage(
    node_state, follower, store, reader, clock
):
    clock.moment_s += 2.4
    response = relayed_failure(store_failing_s=2.4)
    follower._apply_response(RELAY, response, clock.moment_s)
    store.is_available = True
    await reader.step()
    assert not node_state.engine_views


def test_relay_response_tells_how_long_reads_have_failed():
    body = relay_response_to_bytes(relayed_failure(store_failing_s=2.5))
    decoded = relay_response_from_bytes(body).ok_value
    assert decoded.store_failing_s == pytest.approx(2.5)


@pytest.mark.parametrize('ago_s', [None, 0.25])
def test_relay_response_tells_when_the_store_returned(ago_s):
    response = relayed_removal(store_returned_ago_s=ago_s)
    body = relay_response_to_bytes(response)
    decoded = relay_response_from_bytes(body).ok_value
    assert decoded.store_returned_ago_s == ago_s


def test_relay_response_of_an_older_build_tells_of_no_outage():
    response = relayed_removal(store_returned_ago_s=0.25)
    fields = orjson.loads(relay_response_to_bytes(response))
    fields.pop('store_returned_ago_ms')
    decoded = relay_response_from_bytes(orjson.dumps(fields)).ok_value
    assert decoded.store_returned_ago_s is None
