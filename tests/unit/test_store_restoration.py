"""Test what a VM believes after the store was restored from a copy.

Records written since the copy are lost and their offsets assigned again.
"""

import orjson
import pytest

from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_api import _topic_update
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topic_reader import TopicReader
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.platform import (
    KeyedRecord,
    LatestRecords,
    StorePosition,
    Topic,
)
from tests.fleet_builders import (
    API_KEY,
    ISOLATED_TEAM_API_KEY,
    build_configuration,
    build_registration,
    build_teams,
)
from tests.fleet_fakes import ScriptedStore

SERVER_ID = 'engine-1'


def config_record(version, offset, *, keys=(API_KEY,)) -> KeyedRecord:
    """Return a record with a configuration that accepts ``keys``."""
    document = build_configuration(
        version=version, tenants=build_teams(keys=keys)
    )
    return KeyedRecord(
        key='config', payload=orjson.dumps(document), offset=offset
    )


def server_record(offset, *, heartbeat, state='ready', born=1) -> KeyedRecord:
    """Return a record with the registration of the engine."""
    document = build_registration(sequence=heartbeat, state=state, born=born)
    return KeyedRecord(
        key=SERVER_ID, payload=orjson.dumps(document), offset=offset
    )


@pytest.fixture
async def node_state():
    return NodeState(settings=None)


@pytest.fixture
def operator_topic(node_state):
    topic = OperatorTopicState(node_state=node_state)
    apply(topic, [config_record(5, 90)], era=1, end=91)
    return topic


@pytest.fixture
def servers_topic(node_state):
    topic = ServersTopicState(
        node_state=node_state,
        server_registry=ServerRegistry(node_state=node_state),
    )
    apply(topic, [server_record(40, heartbeat=10)], era=1, end=41)
    return topic


def apply(topic, records, *, era, end, is_complete=True) -> bool:
    """Apply records that were read up to the offset ``end``."""
    position = StorePosition(era=era, offset=end)
    return topic.apply_records(records, position, is_complete=is_complete)


def version_in_force(node_state) -> int:
    """Return the version of the configuration in force."""
    return node_state.configuration.version


def test_configuration_does_not_revert(node_state, operator_topic):
    assert apply(operator_topic, [config_record(4, 70)], era=2, end=71)
    assert version_in_force(node_state) == 5


def test_removed_key_stays_removed(node_state, operator_topic):
    restored = config_record(4, 70, keys=(API_KEY, 'key-taken-away'))
    apply(operator_topic, [restored], era=2, end=71)
    teams = node_state.configuration.teams_by_api_key
    assert set(teams) == {API_KEY, ISOLATED_TEAM_API_KEY}


def test_configuration_missing_from_the_copy_stays(node_state, operator_topic):
    apply(operator_topic, [], era=2, end=0)
    assert version_in_force(node_state) == 5
    relayed = _topic_update(operator_topic, None)
    assert [record.key for record in relayed.records] == ['config']


def test_configuration_at_a_lower_offset_comes_into_force(
    node_state, operator_topic
):
    apply(operator_topic, [config_record(4, 70)], era=2, end=71)
    rewritten = [config_record(6, 71)]
    assert apply(operator_topic, rewritten, era=2, end=72, is_complete=False)
    assert version_in_force(node_state) == 6


def test_records_of_the_earlier_era_are_ignored(node_state, operator_topic):
    apply(operator_topic, [config_record(6, 71)], era=2, end=72)
    late = [config_record(7, 91)]
    assert not apply(operator_topic, late, era=1, end=92, is_complete=False)
    assert not apply(operator_topic, late, era=1, end=92)
    assert version_in_force(node_state) == 6


def test_incomplete_records_of_a_later_era_are_not_applied(
    node_state, operator_topic
):
    page = [config_record(6, 91)]
    assert not apply(operator_topic, page, era=2, end=92, is_complete=False)
    assert version_in_force(node_state) == 5


def test_relay_sends_everything_to_a_vm_of_another_era(operator_topic):
    apply(operator_topic, [config_record(6, 71)], era=2, end=72)
    update = _topic_update(operator_topic, StorePosition(era=1, offset=72))
    assert update.is_complete
    assert update.end == StorePosition(era=2, offset=72)
    assert len(update.records) == 1


def test_draining_server_does_not_return_to_ready(node_state, servers_topic):
    draining = server_record(41, heartbeat=11, state='draining')
    apply(servers_topic, [draining], era=1, end=42, is_complete=False)
    apply(servers_topic, [server_record(30, heartbeat=9)], era=2, end=31)
    assert node_state.engine_views[SERVER_ID].is_draining


def test_server_that_left_does_not_return(node_state, servers_topic):
    apply(servers_topic, [], era=1, end=43)
    assert not node_state.engine_views
    apply(servers_topic, [server_record(40, heartbeat=10)], era=2, end=41)
    assert not node_state.engine_views


def test_server_that_writes_again_returns(node_state, servers_topic):
    apply(servers_topic, [], era=1, end=43)
    apply(servers_topic, [server_record(40, heartbeat=10)], era=2, end=41)
    alive = [server_record(41, heartbeat=12)]
    apply(servers_topic, alive, era=2, end=42, is_complete=False)
    assert list(node_state.engine_views) == [SERVER_ID]


def test_server_missing_from_the_copy_is_kept_for_a_while(
    node_state, servers_topic
):
    node_state.observe_store_era(1)
    node_state.observe_store_era(2)
    apply(servers_topic, [], era=2, end=0)
    assert list(node_state.engine_views) == [SERVER_ID]


async def test_reader_reads_all_records_of_a_restored_store(
    node_state, operator_topic
):
    # The old offset is valid again, but belongs to another record.
    node_state.observe_store_era(1)
    store = ScriptedStore(
        pages=[([config_record(9, 91)], 92, 2)],
        latest=LatestRecords(
            records=(config_record(8, 80), config_record(9, 91)),
            end=92,
            era=2,
        ),
    )
    reader = TopicReader(
        topic_state=operator_topic, store=store, wait_s=0, read_interval_s=0
    )
    assert await reader.step()
    assert node_state.freshness.age_s() == float('inf')
    assert await reader.step()
    assert store.calls == [Topic.OPERATOR.value, 'newest']
    assert version_in_force(node_state) == 9
    assert node_state.freshness.age_s() < 1
