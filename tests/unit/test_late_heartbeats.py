"""Check that a heartbeat that is carried out late takes nothing back.

A write that gets no response may be carried out by the store seconds later,
after newer ones of the same server.
"""

import orjson
import pytest

from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topics import ServersTopicState
from arbutusbay.platform import KeyedRecord, StorePosition
from tests.fleet_builders import build_registration

_SERVER_ID = 'engine-1'
_BORN_MS = 1000
_FIRST_OFFSET = 40


@pytest.fixture
async def topic():
    node_state = NodeState(settings=None)
    state = ServersTopicState(
        node_state=node_state,
        server_registry=ServerRegistry(node_state=node_state),
    )
    receive(state, [build_beat(10)], is_complete=True)
    return state


def build_beat(count, *, state='ready', born=_BORN_MS) -> bytes:
    """Return a heartbeat of the engine."""
    document = build_registration(sequence=count, state=state, born=born)
    return orjson.dumps(document)


def receive(topic, payloads, *, is_complete=False) -> None:
    """Apply the records of one read; an empty payload is a removal."""
    first = topic.end.offset if topic.end else _FIRST_OFFSET
    records = [
        KeyedRecord(key=_SERVER_ID, payload=payload, offset=first + number)
        for number, payload in enumerate(payloads)
    ]
    end = StorePosition(era=1, offset=first + len(records))
    topic.apply_records(records, end, is_complete=is_complete)


def is_draining(topic) -> bool:
    """Return whether the engine gets no new work."""
    return topic.node_state.engine_views[_SERVER_ID].is_draining


# Guards against an engine that gets work again after it reported that it
# drains, because an earlier heartbeat of it was carried out after that.
@pytest.mark.parametrize('is_one_read', [True, False])
def test_late_heartbeat_does_not_end_a_drain(topic, is_one_read):
    beats = [build_beat(12, state='draining'), build_beat(11)]
    for batch in [beats] if is_one_read else [[beat] for beat in beats]:
        receive(topic, batch)
    assert is_draining(topic)


# Guards against an engine that gets work again after it has left, for the same
# reason.
@pytest.mark.parametrize('is_one_read', [True, False])
@pytest.mark.parametrize('late_count', [9, 10])
def test_late_heartbeat_does_not_bring_back_a_server(
    topic, is_one_read, late_count
):
    writes = [b'', build_beat(late_count)]
    for batch in [writes] if is_one_read else [[write] for write in writes]:
        receive(topic, batch)
    assert _SERVER_ID not in topic.node_state.engine_views


def test_next_heartbeat_ends_a_drain(topic):
    receive(topic, [build_beat(12, state='draining'), build_beat(11)])
    receive(topic, [build_beat(13)])
    assert not is_draining(topic)


def test_next_heartbeat_brings_back_a_server(topic):
    receive(topic, [b''])
    receive(topic, [build_beat(11)])
    assert _SERVER_ID in topic.node_state.engine_views


def test_server_that_started_anew_counts_from_the_start(topic):
    receive(topic, [build_beat(12, state='draining')])
    receive(topic, [build_beat(1, born=_BORN_MS + 1)])
    assert not is_draining(topic)


def test_heartbeats_without_a_count_are_taken_in_order(topic):
    receive(topic, [build_beat(0, state='draining'), build_beat(0)])
    assert not is_draining(topic)
