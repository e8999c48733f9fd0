"""Test that leases and the ages of shared facts go on in a suspension.

The monotonic clock of the system stands still while a VM is suspended.
"""

import time

import attrs
import pytest
from result import Ok

from arbutusbay.backend import (
    CacheEventPage,
    LoadReport,
    ServiceCall,
    ServiceResponse,
)
from arbutusbay.control._engine_cache_index import EngineCacheIndex
from arbutusbay.control._lease_elector import LeaseElector
from arbutusbay.control._membership import (
    merge_member,
    remove_silent_members,
)
from arbutusbay.control._rollout import RolloutController
from arbutusbay.control._settings import ControlSettings
from arbutusbay.control._shared_state import ControlState
from arbutusbay.hosting import AppendResult, LogPage, LogRecord
from arbutusbay.policy import EngineState, Job
from arbutusbay.router._keyed_call import KeyedCall, KeyedCallRunner
from arbutusbay.router._ledger_client import LedgerVerdict
from arbutusbay.router._lookup import _cached_depth
from arbutusbay.settings import NodeSettings, PlatformSettings
from arbutusbay.state import BackendServer, Resource, ResourceId, Urgency
from arbutusbay.wire import NO_OFFSET, EngineView, LedgerReply, Member

SUSPENDED_S = 60.0
ROUTER_OFFSET = 7
BLOCK = 11
REPORT = EngineView(
    name='engine-1', incarnation='1', weights_version='2', age_ms=500
)


@attrs.define(kw_only=True)
class Suspension:
    """Advance only the clock that counts the time spent suspended."""

    duration_s: float = 0.0

    def happen(self) -> None:
        """Suspend the VM for a minute."""
        self.duration_s += SUSPENDED_S


@attrs.define(kw_only=True)
class MemoryLog:
    """Fake the platform's log with one stream."""

    records: list[LogRecord] = attrs.field(factory=list)

    async def append(self, stream, payload):
        """Append a record."""
        record = LogRecord(offset=len(self.records), time_ms=0, payload=payload)
        self.records.append(record)
        return Ok(AppendResult(offset=record.offset, time_ms=0))

    async def read(self, stream, start):
        """Return the records from an offset on."""
        end = len(self.records)
        found = self.records[start:]
        return Ok(LogPage(oldest_offset=0, end=end, records=found))


@attrs.define(kw_only=True)
class SlowLedger:
    """Let the VM be suspended while a claim is made, which it wins."""

    suspension: Suspension
    abandoned: list[str] = attrs.field(factory=list)

    async def claim(self, key, nonce, fingerprint):
        """Return that the claim was won."""
        self.suspension.happen()
        return Ok(LedgerReply(verdict=LedgerVerdict.WON.value))

    def abandon(self, key, nonce):
        """Record that the attempt was abandoned."""
        self.abandoned.append(key)

    def keep_until_done(self, task):
        """Do nothing: the runner waits for the task."""

    async def record_outcome(self, key, nonce, answer):
        """Do nothing."""


@attrs.define(kw_only=True)
class CountingCaller:
    """Count the calls that are sent."""

    calls: int = 0

    async def send_non_idempotent(self, pool, call):
        """Return an empty response."""
        self.calls += 1
        return Ok(ServiceResponse(status=200, content_type='', body=b''))


@pytest.fixture
def suspension(monkeypatch):
    real_clock = time.clock_gettime
    fake = Suspension()
    monkeypatch.setattr(
        time, 'clock_gettime', lambda kind: real_clock(kind) + fake.duration_s
    )
    return fake


@pytest.fixture
def control_state(suspension):
    return ControlState(
        settings=ControlSettings(
            node=NodeSettings(id='vm-1', host='127.0.0.1', zone='hann'),
            platform=PlatformSettings(log_url='-', vms_url='-'),
        ),
        incarnation=1,
    )


async def acquire_lease(control_state) -> None:
    """Let the daemon acquire the lease."""
    elector = LeaseElector(shared_state=control_state, log=MemoryLog())
    await elector.prepare()
    await elector.acquire_or_renew()


def index_engine() -> EngineCacheIndex:
    """Return the index of an engine that has just reported."""
    index = EngineCacheIndex(name='engine-1', pool='pool-1')
    load = LoadReport(
        running=0,
        waiting=0,
        queued_tokens=0,
        slots=8,
        ready=True,
        leaving=False,
    )
    index.apply(
        CacheEventPage(
            incarnation='1',
            weights_version='2',
            next_sequence=1,
            gap=False,
            events=[],
            load=load,
        )
    )
    return index


def build_engine() -> EngineState:
    """Return an engine in the view of a router."""
    return EngineState(name='engine-1', url='', zone='hann', pool='pool-1')


# Guards against a daemon that resumes and orders engines although another
# one holds the lease.
async def test_lease_ends_in_a_suspension(control_state, suspension):
    await acquire_lease(control_state)
    assert control_state.holds_lease()
    suspension.happen()
    assert not control_state.holds_lease()


# Guards against orders that wait for longer than late orders can arrive.
async def test_takeover_delay_passes_in_a_suspension(control_state, suspension):
    await acquire_lease(control_state)
    controller = RolloutController(shared_state=control_state, session=None)
    server = Resource(
        id=ResourceId(kind='backend-server', name='engine-1'),
        spec=BackendServer(
            pool='pool-1', url='http://127.0.0.1:1', zone='hann'
        ),
        version=1,
    )
    suspension.happen()
    await acquire_lease(control_state)
    assert controller._may_order(server)


# Guards against work for members that left while this VM was suspended.
def test_members_grow_old_in_a_suspension(control_state, suspension):
    member = Member(node='vm-2', host='127.0.0.2', zone='hann', incarnation=1)
    merge_member(control_state, member)
    assert control_state.active_nodes() == ['vm-1', 'vm-2']
    suspension.happen()
    assert control_state.active_nodes() == ['vm-1']
    remove_silent_members(control_state)
    assert not control_state.members


def test_routers_offset_grows_old_in_a_suspension(control_state, suspension):
    control_state.record_router_offset(ROUTER_OFFSET)
    assert control_state.live_router_offset() == ROUTER_OFFSET
    suspension.happen()
    assert control_state.live_router_offset() == NO_OFFSET


# Guards against routers that take a load from before a suspension for new.
def test_load_report_grows_old_in_a_suspension(suspension):
    index = index_engine()
    suspension.happen()
    assert index.to_engine_view([]).age_ms >= SUSPENDED_S * 1000


# Guards against a call that is sent on an expired claim, and so runs twice.
async def test_claim_grows_old_in_a_suspension(suspension):
    ledger = SlowLedger(suspension=suspension)
    caller = CountingCaller()
    runner = KeyedCallRunner(ledger=ledger, service_caller=caller)
    call = ServiceCall(
        method='POST', path='/', headers={}, body=b'', timeout_s=1
    )
    result = await runner.run(
        KeyedCall(
            key='key-1',
            fingerprint='',
            pool='pool-1',
            call=call,
            may_repeat=False,
            deadline_s=time.monotonic() + 1,
        )
    )
    assert result.is_err()
    assert ledger.abandoned == ['key-1']
    assert not caller.calls


# Guards against a router that resumes and ignores the next load reports.
def test_report_after_a_suspension_is_newer(suspension):
    engine = build_engine()
    engine.apply_load_report(attrs.evolve(REPORT, age_ms=0))
    suspension.happen()
    engine.apply_load_report(attrs.evolve(REPORT, waiting=3))
    assert engine.waiting == 3


# Guards against placement by what an engine cached before a suspension.
def test_sent_blocks_grow_old_in_a_suspension(suspension):
    engine = build_engine()
    job = Job(
        id='job-1',
        team='team-1',
        route='route-1',
        pool='pool-1',
        urgency=Urgency.NORMAL,
        hashes=(BLOCK,),
        block_tokens=16,
        prompt_tokens=16,
        max_tokens=1,
        arrived_s=0,
        deadline_s=0,
    )
    engine.record_sent_blocks([BLOCK])
    assert _cached_depth(engine, job, {}) == 1
    suspension.happen()
    assert _cached_depth(engine, job, {}) == 0
