"""Test when the views of backend servers are added, updated and removed.

An outage of the store lets registrations of running servers expire. Removing
these servers at once would leave no server to place requests on.
"""

import attrs
import pytest

from arbutusbay.fleet import BackendServer
from arbutusbay.node import _server_registry
from arbutusbay.node._node_state import Freshness, NodeState
from arbutusbay.node._server_registry import ServerRegistry

SERVER = BackendServer(
    id='engine-1',
    service='language',
    address='127.0.0.1:1',
    zone='plateau',
    slots=8,
    is_draining=False,
    warmup_remaining_s=0,
    weights={'roll-advisor': 2},
    incarnation=1,
)


@attrs.define
class FakeClock:
    moment_s: float = 100.0

    def __call__(self) -> float:
        return self.moment_s


@pytest.fixture
def clock(monkeypatch):
    fake = FakeClock()
    monkeypatch.setattr(_server_registry, 'now_s', fake)
    return fake


@pytest.fixture
async def views(clock):
    server_views = ServerRegistry(board=NodeState(settings=None))
    server_views.put(SERVER)
    return server_views


async def test_removes_server_immediately_without_outage(views):
    views.remove(SERVER.id)
    assert not views.board.views


async def test_keeps_server_registered_again_after_outage(views, clock):
    views.board.freshness.outage_end_s = clock.moment_s - 0.5
    views.remove(SERVER.id)
    views.put(SERVER)
    clock.moment_s += 5
    views.expire()
    assert SERVER.id in views.board.views


async def test_removes_server_when_grace_period_ends(views, clock):
    views.board.freshness.outage_end_s = clock.moment_s
    views.remove(SERVER.id)
    clock.moment_s += 2
    views.expire()
    assert SERVER.id in views.board.views
    clock.moment_s += 0.5
    views.expire()
    assert not views.board.views


async def test_new_incarnation_replaces_known_weights(views):
    views.put(attrs.evolve(SERVER, incarnation=2, weights={'roll-advisor': 1}))
    assert views.board.views[SERVER.id].weights == {'roll-advisor': 1}


def test_detects_outage_by_gap_between_reads():
    freshness = Freshness()
    freshness.put(10)
    assert freshness.outage_end_s == float('-inf')
    freshness.put(11)
    assert freshness.outage_end_s == float('-inf')
    freshness.put(16)
    assert freshness.outage_end_s > 0
