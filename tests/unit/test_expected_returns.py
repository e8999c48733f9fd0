"""Check that requests are recognised that come back as they were told."""

import pytest

from arbutusbay.errors import ErrorKind
from arbutusbay.fairness import ExpectedReturns, return_key
from arbutusbay.node import _dispatcher
from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.scheduling import WorkTotals
from tests.fleet_fakes import FakeClock
from tests.unit.test_dispatcher import dispatcher, pass_time, place_at

__all__ = ('dispatcher',)

_NOW_S = 100.0
_AFTER_S = 0.5


@pytest.fixture
def clock(monkeypatch) -> FakeClock:
    """Return the clock that the dispatcher reads."""
    fake = FakeClock()
    monkeypatch.setattr(_dispatcher, 'now_s', fake)
    return fake


@pytest.mark.parametrize(
    ('elapsed_s', 'is_return'),
    [(0.1, False), (0.5, True), (1.4, True), (1.6, False)],
)
def test_return_counts_in_the_time_that_was_told(elapsed_s, is_return):
    returns = ExpectedReturns()
    key = return_key('team', 'POST', '/note/1', 'segment')
    returns.expect(key, after_s=_AFTER_S, now_s=_NOW_S)
    other = return_key('team', 'POST', '/note/1', 'other')
    assert not returns.take(other, _NOW_S + elapsed_s)
    assert returns.take(key, _NOW_S + elapsed_s) is is_return
    # Others of the kind are newcomers.
    assert not returns.take(key, _NOW_S + elapsed_s)


# Guards against a return that is unknown at the VM that it reaches, and against
# precedence for all that come there.
def test_return_to_another_vm_counts_once_there():
    returns, other = ExpectedReturns(), ExpectedReturns()
    returns.expect(7, after_s=_AFTER_S, now_s=_NOW_S)
    state = PeerState(
        name='vm-1',
        zone='z',
        occupancy={},
        work_totals=WorkTotals(),
        returns=returns.report(_NOW_S),
    )
    datagram = peer_state_to_bytes(state, _NOW_S)
    shift_s = 3000.0
    received = peer_state_from_bytes(datagram, _NOW_S + shift_s).ok_value
    for _ in range(2):
        other.record('vm-1', received.returns)
    assert not other.take(7, _NOW_S + shift_s)
    assert other.take(7, _NOW_S + shift_s + _AFTER_S)
    other.record('vm-1', received.returns)
    assert not other.take(7, _NOW_S + shift_s + _AFTER_S)


# Guards against memory that grows with refusals.
def test_expected_returns_are_bounded():
    returns = ExpectedReturns()
    for key in range(5000):
        returns.expect(key, after_s=_AFTER_S, now_s=_NOW_S)
    assert len(returns.own) <= 512
    assert len(returns.report(_NOW_S)) <= 32
    assert not returns.report(_NOW_S + 10)


# Load: a client that was refused comes back to a queue of newcomers of its kind
# and team. It is served first.
async def test_returning_request_goes_before_newcomers(dispatcher, clock):
    await place_at(dispatcher, clock, 'first')
    refused = await place_at(dispatcher, clock, 'refused')
    while not refused.done():
        await pass_time(dispatcher, clock, seconds=0.02)
    failure = refused.result().err_value
    assert failure.kind is ErrorKind.OVERLOADED
    await pass_time(dispatcher, clock, seconds=failure.retry_after_s - 0.06)
    for number in range(2):
        await place_at(
            dispatcher, clock, f'new{number}', target=f'/note/new{number}'
        )
    clock.moment_s += 0.1
    await place_at(dispatcher, clock, 'returning')
    dispatcher.placer.in_flight = 0
    dispatcher.place_waiting()
    assert dispatcher.placer.committed == ['first', 'returning']


# Guards against memory that grows with the requests that came back, on a VM
# that refuses none itself.
def test_returns_that_were_taken_are_forgotten():
    returns = ExpectedReturns()
    told = ExpectedReturns()
    for number in range(10):
        told.expect(number, after_s=_AFTER_S, now_s=_NOW_S)
    returns.record('vm-2', told.report(_NOW_S))
    for number in range(10):
        assert returns.take(number, _NOW_S + _AFTER_S)
    returns.report(_NOW_S + 10)
    assert not returns.taken_until_s
