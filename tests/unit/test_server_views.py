"""Check when a backend server that is no longer registered is dropped."""

import attrs
import pytest

from arbutusbay.fleet import BackendServer
from arbutusbay.node import _server_views
from arbutusbay.node._board import Freshness, NodeBoard
from arbutusbay.node._server_views import ServerViews

SERVER = BackendServer(
    id='engine-1',
    service='language',
    address='127.0.0.1:1',
    zone='plateau',
    slots=8,
    is_draining=False,
    cold_remaining_s=0,
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
    monkeypatch.setattr(_server_views, 'now_s', fake)
    return fake


@pytest.fixture
async def views(clock):
    opened = ServerViews(board=NodeBoard(settings=None))
    opened.put(SERVER)
    return opened


async def test_removed_server_is_dropped_at_once(views):
    views.remove(SERVER.id)
    assert not views.board.views


async def test_server_that_lapsed_in_an_outage_may_come_back(views, clock):
    views.board.freshness.outage_end_s = clock.moment_s - 0.5
    views.remove(SERVER.id)
    views.put(SERVER)
    clock.moment_s += 5
    views.expire()
    assert SERVER.id in views.board.views


async def test_server_that_stays_away_is_dropped_after_the_grace(views, clock):
    views.board.freshness.outage_end_s = clock.moment_s
    views.remove(SERVER.id)
    clock.moment_s += 2
    views.expire()
    assert SERVER.id in views.board.views
    clock.moment_s += 0.5
    views.expire()
    assert not views.board.views


async def test_new_start_under_the_same_id_forgets_weights(views):
    views.put(attrs.evolve(SERVER, incarnation=2, weights={'roll-advisor': 1}))
    assert views.board.views[SERVER.id].weights == {'roll-advisor': 1}


def test_outage_is_noticed_by_the_jump_of_the_age():
    freshness = Freshness()
    freshness.put(10)
    assert freshness.outage_end_s == float('-inf')
    freshness.put(11)
    assert freshness.outage_end_s == float('-inf')
    freshness.put(16)
    assert freshness.outage_end_s > 0
