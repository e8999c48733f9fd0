"""Check that a removal reaches each VM, whatever its sources have read.

A VM that starts reads the newest record of each key, so it has no trace of what
was removed before.
"""

import random
from collections.abc import Iterable

import orjson
import pytest

from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_api import _has_changes, _topic_update
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topics import ServersTopicState
from arbutusbay.platform import KeyedRecord, StorePosition
from tests.fleet_builders import build_registration

_KEYS = ('engine-1', 'engine-2')
_VMS = 3
_SCHEDULES = 300
_STEPS = 60
_REMOVAL_SHARE = 0.5
_STARTS = (1, 2)


class ModelStore:
    """Hold all records of a topic, as the store does."""

    def __init__(self) -> None:
        """Start without a record."""
        self.records: list[KeyedRecord] = []

    @property
    def end(self) -> StorePosition:
        """Return the position behind the last record."""
        return StorePosition(era=1, offset=len(self.records))

    def put(self, key: str, born: int = 1) -> None:
        """Write the entry of a server; its heartbeats count up."""
        offset = len(self.records)
        fields = build_registration(born=born, sequence=offset + 1)
        self.records.append(
            KeyedRecord(key=key, payload=orjson.dumps(fields), offset=offset)
        )

    def remove(self, key: str) -> None:
        """Remove the entry of a server."""
        self.records.append(
            KeyedRecord(key=key, payload=b'', offset=len(self.records))
        )

    def held_at(self, offset: int) -> dict[str, int]:
        """Return which start of which server was there at a position."""
        return _starts(self.records[:offset])

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that is held."""
        newest = {record.key: record for record in self.records}
        return [record for record in newest.values() if record.payload]


def start_vm() -> ServersTopicState:
    """Return the topic of a VM that has read nothing."""
    node_state = NodeState(settings=None)
    return ServersTopicState(
        node_state=node_state,
        server_registry=ServerRegistry(node_state=node_state),
    )


def read_newest(vm: ServersTopicState, store: ModelStore) -> None:
    """Read the newest record of each key."""
    assert vm.apply_records(store.newest(), store.end, is_complete=True)


def read_on(vm: ServersTopicState, store: ModelStore) -> None:
    """Read what was written since the last read."""
    records = store.records[vm.end.offset :]
    assert vm.apply_records(records, store.end, is_complete=False)


def follow(vm: ServersTopicState, source: ServersTopicState) -> None:
    """Take from another VM what was written since the last read."""
    update = _topic_update(source, vm.end)
    assert vm.apply_records(
        update.records, update.end, is_complete=update.is_complete
    )


def held_by(vm: ServersTopicState) -> dict[str, int]:
    """Return which start of which server a VM has."""
    return _starts(vm.latest_records.values())


def _starts(records: Iterable[KeyedRecord]) -> dict[str, int]:
    newest = {record.key: record.payload for record in records}
    return {
        key: orjson.loads(payload)['born']
        for key, payload in newest.items()
        if payload
    }


@pytest.fixture
def store():
    store = ModelStore()
    store.put('engine-1')
    store.put('engine-2')
    return store


# Guards against a VM that has just started and hides the removal of an engine
# from those that follow it: they send to the engine for as long as it listens.
async def test_removal_before_the_start_of_a_source_is_passed_on(store):
    follower = start_vm()
    read_newest(follower, store)
    store.remove('engine-1')
    source = start_vm()
    read_newest(source, store)
    assert _has_changes(source, follower.end)
    follow(follower, source)
    assert held_by(follower) == store.held_at(3)


# Guards against the same along a chain of VMs.
async def test_removal_is_passed_on_along_a_chain(store):
    first, second, third = start_vm(), start_vm(), start_vm()
    for vm in (first, third):
        read_newest(vm, store)
    store.remove('engine-1')
    read_newest(second, store)
    source = start_vm()
    follow(source, second)
    for vm in (first, third):
        follow(vm, source)
        assert held_by(vm) == store.held_at(3)


# Guards against an entry that came and went while the records of a source
# expired: the source has never known it, but a follower has.
async def test_removal_that_a_source_has_skipped_is_passed_on(store):
    source, follower = start_vm(), start_vm()
    read_newest(source, store)
    store.put('engine-3')
    read_newest(follower, store)
    store.remove('engine-3')
    read_newest(source, store)
    follow(follower, source)
    assert held_by(follower) == store.held_at(4)


# Guards against an earlier removal that a source knows, and that hides a later
# one of the same server from its followers.
async def test_second_removal_of_a_server_is_passed_on(store):
    source, follower = start_vm(), start_vm()
    read_newest(source, store)
    store.remove('engine-1')
    read_on(source, store)
    store.put('engine-1')
    read_newest(follower, store)
    store.remove('engine-1')
    read_newest(source, store)
    follow(follower, source)
    assert held_by(follower) == store.held_at(5)


# Guards against a server that is back as it was before, and that its source has
# never known to be gone.
async def test_server_that_is_back_as_before_is_passed_on(store):
    source, follower = start_vm(), start_vm()
    for vm in (source, follower):
        read_newest(vm, store)
    store.remove('engine-1')
    read_on(follower, store)
    store.put('engine-1')
    read_newest(source, store)
    follow(follower, source)
    assert held_by(follower) == store.held_at(4)


# Guards against whole topics in each answer: a follower that has all changes
# waits for the next one.
async def test_follower_that_has_all_gets_changes_only(store):
    source, follower = start_vm(), start_vm()
    read_newest(source, store)
    follow(follower, source)
    assert not _has_changes(source, follower.end)
    store.remove('engine-2')
    read_on(source, store)
    update = _topic_update(source, follower.end)
    assert not update.is_complete
    assert [record.key for record in update.records] == ['engine-2']


class Schedule:
    """Start, restart and connect VMs in a random order beside writes."""

    def __init__(self, seed: int) -> None:
        """Start VMs that have read an empty topic."""
        self.rng = random.Random(seed)
        self.store = ModelStore()
        self.vms = [start_vm() for _ in range(_VMS)]
        for vm in self.vms:
            read_newest(vm, self.store)

    def step(self) -> None:
        """Let one thing happen."""
        action = self.rng.choice(
            (self._write, self._restart, self._read, self._follow)
        )
        action()

    def _write(self) -> None:
        key = self.rng.choice(_KEYS)
        if self.rng.random() < _REMOVAL_SHARE:
            self.store.remove(key)
        else:
            self.store.put(key, self.rng.choice(_STARTS))

    def _restart(self) -> None:
        vm = start_vm()
        read_newest(vm, self.store)
        self.vms[self.rng.randrange(_VMS)] = vm

    def _read(self) -> None:
        # All keys are read where the records since the last read have expired.
        read = self.rng.choice((read_newest, read_on))
        read(self.rng.choice(self.vms), self.store)

    def _follow(self) -> None:
        follow(*self.rng.sample(self.vms, 2))


# Guards against any other order in which a VM holds, at some position, another
# set of entries than the store held there.
def test_each_vm_holds_what_the_store_held_in_any_order():
    for seed in range(_SCHEDULES):
        schedule = Schedule(seed)
        for _ in range(_STEPS):
            schedule.step()
            for vm in schedule.vms:
                expected = schedule.store.held_at(vm.end.offset)
                assert held_by(vm) == expected, seed
