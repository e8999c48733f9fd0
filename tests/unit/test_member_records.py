"""Check which records of VMs are removed, and how shares follow the fleet."""

import attrs
import pytest
from result import Err, Ok

from arbutusbay.fleet import VMRegistration
from arbutusbay.node import _coordination, _node_state, _registration
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._registration import run_registration
from arbutusbay.platform import (
    ConditionFailed,
    KeyedRecord,
    LatestRecords,
    StorePosition,
    encode_vm_record,
)
from tests.fleet_builders import build_vm_settings
from tests.fleet_fakes import FakeClock

_SERVICE = 'language'
_GONE_S = 100.0
_READ_END = 7
_VMS = 30


class EndOfTestError(Exception):
    """End a registration that would go on."""


@attrs.define(kw_only=True)
class RecordStore:
    """Hold the records of VMs; ``deleted`` holds the keys and conditions."""

    vms: list[VMRegistration]
    result: object = Ok(StorePosition(era=1, offset=_READ_END))
    deleted: list[tuple[tuple[str, ...], int]] = attrs.field(factory=list)

    async def read_latest(self, topic, *, timeout_s):
        """Return the records."""
        encoded = [encode_vm_record(vm) for vm in self.vms]
        return Ok(
            LatestRecords(
                records=tuple(
                    KeyedRecord(key=key, payload=payload, offset=offset)
                    for offset, (key, payload) in enumerate(encoded)
                ),
                end=_READ_END,
                era=1,
            )
        )

    async def append(self, topic, key, payload, *, timeout_s):
        """Accept a record."""
        return Ok(StorePosition(era=1, offset=_READ_END))

    async def delete(self, topic, keys, *, timeout_s, expected_end):
        """Record which keys were to be deleted."""
        self.deleted.append((tuple(keys), expected_end))
        return self.result


def build_vm(name: str) -> VMRegistration:
    """Return the record of a VM."""
    return VMRegistration(
        name=name, address='127.0.0.1:1', zone='plateau', started_ms=1
    )


@pytest.fixture
def clock(monkeypatch):
    """Return the clock of the VM."""
    fake = FakeClock()
    for module in (_coordination, _node_state, _registration):
        monkeypatch.setattr(module, 'now_s', fake)
    return fake


@pytest.fixture
def state(clock) -> NodeState:
    """Return the state of a VM that knows two others, one long silent."""
    state = NodeState(settings=build_vm_settings())
    members = state.members
    members.own_vm = build_vm('vm-1')
    records = {name: build_vm(name) for name in ('vm-1', 'vm-2', 'vm-3')}
    members.apply_records(records, clock.moment_s)
    for _ in range(int(_GONE_S)):
        clock.moment_s += 1
        members.record_report('vm-2', clock.moment_s)
        members.check_silence(clock.moment_s)
    return state


async def end_test(node_state: NodeState) -> None:
    """End the registration in place of its wait for the next read."""
    raise EndOfTestError


async def register_once(state: NodeState, store: RecordStore, monkeypatch):
    """Run the registration up to its first wait."""
    monkeypatch.setattr(_registration, '_wait_for_next_read', end_test)
    with pytest.raises(EndOfTestError):
        await run_registration(state, store, state.members.own_vm)


# Guards against records of VMs that died and stay in the store for good.
async def test_record_of_a_dead_vm_is_removed(state, monkeypatch):
    store = RecordStore(
        vms=[build_vm(name) for name in ('vm-1', 'vm-2', 'vm-3')]
    )
    await register_once(state, store, monkeypatch)
    assert store.deleted == [(('vm/vm-3',), _READ_END)]


# Guards against a VM that ends its registration as another append came first.
async def test_removal_that_fails_is_left_to_the_next_read(state, monkeypatch):
    store = RecordStore(
        vms=[build_vm(name) for name in ('vm-1', 'vm-2', 'vm-3')],
        result=Err(ConditionFailed(end=_READ_END + 1)),
    )
    await register_once(state, store, monkeypatch)
    await register_once(state, store, monkeypatch)
    assert [keys for keys, _ in store.deleted] == [('vm/vm-3',), ('vm/vm-3',)]


# Guards against retries beyond the budget of the fleet: VMs that come later get
# shares while those that were there keep theirs.
def test_share_of_the_retry_budget_follows_the_fleet(state, clock):
    few = state.retry_budget_of(_SERVICE)
    before = few.burst, few.refill_tokens_per_s
    names = ['vm-1', 'vm-2', *(f'new-{number}' for number in range(_VMS))]
    records = {name: build_vm(name) for name in names}
    state.members.apply_records(records, clock.moment_s)
    many = state.retry_budget_of(_SERVICE)
    assert many is few
    assert many.tokens <= many.burst < before[0]
    assert many.refill_tokens_per_s < before[1]


# Guards against a share of less than one token whose refill stays what it was
# as the fleet grows.
def test_share_below_one_token_follows_the_fleet(clock):
    state = NodeState(settings=build_vm_settings())
    refills = []
    for count in (400, 800):
        records = {
            f'vm-{number}': build_vm(f'vm-{number}') for number in range(count)
        }
        state.members.apply_records(records, clock.moment_s)
        budget = state.retry_budget_of(_SERVICE)
        assert budget.burst == 1
        refills.append(budget.refill_tokens_per_s)
    assert refills[1] < refills[0]


# Guards against the whole retry budget of the fleet in the hands of a VM that
# has just started and can't read the store.
def test_share_is_small_until_the_fleet_is_known():
    settings = build_vm_settings()
    budget = NodeState(settings=settings).retry_budget_of(_SERVICE)
    assert budget.burst == 1
    assert budget.refill_tokens_per_s < settings.bounds.retry_slack / 1000
