"""Check how long a VM leaves places to requests at other VMs."""

import pytest

from arbutusbay.fairness import (
    FleetQueues,
    LeftPlaces,
    PlaceOffer,
    WaitingElsewhere,
    WaitingReport,
)
from arbutusbay.node import _dispatcher
from arbutusbay.scheduling import AdmissionQueue
from tests.fleet_fakes import FakeClock
from tests.unit.test_admission_queue import build_patient
from tests.unit.test_dispatcher import dispatcher, pass_time, place_at

__all__ = ('dispatcher',)

_NOW_S = 100.0
_URGENT = WaitingReport(counts_by_rank={0: 50})
_SERVICE = 'language'


@pytest.fixture
def clock(monkeypatch) -> FakeClock:
    """Return the clock that the dispatcher reads."""
    fake = FakeClock()
    monkeypatch.setattr(_dispatcher, 'now_s', fake)
    return fake


def build_places(report: WaitingReport) -> LeftPlaces:
    """Return the decision of a VM that has just got ``report``."""
    elsewhere = WaitingElsewhere()
    elsewhere.record('vm-2', report, _NOW_S)
    return LeftPlaces(elsewhere=elsewhere)


def leaves(places: LeftPlaces, now_s: float, *, rank: int = 2, vms=1) -> bool:
    """Return whether a place is left for a request of ``rank``."""
    return places.leaves_place(PlaceOffer(rank=rank, vms=vms), now_s, 0.5)


# Guards against places that stay empty though the urgent ones don't take them:
# after a quarter of a second the VM starts one of its own.
def test_place_is_left_for_a_moment_only():
    places = build_places(_URGENT)
    assert leaves(places, _NOW_S)
    assert leaves(places, _NOW_S + 0.2)
    assert not leaves(places, _NOW_S + 0.26)
    places.record_start(_NOW_S + 0.26)
    assert leaves(places, _NOW_S + 0.27)


@pytest.mark.parametrize(
    'report',
    [
        WaitingReport(),
        WaitingReport(counts_by_rank={2: 50}),
        WaitingReport(counts_by_rank={3: 50}),
        WaitingReport(work_by_team={'team': 1e6}),
    ],
)
def test_no_place_is_left_to_requests_that_do_not_go_before(report):
    assert not leaves(build_places(report), _NOW_S)


# Guards against a dead VM, or one that is cut off, for which places are left.
def test_old_report_leaves_no_place():
    assert not leaves(build_places(_URGENT), _NOW_S + 1.3)


# Guards against a fleet in which all VMs leave places to a single request.
def test_many_vms_leave_no_more_places_than_are_needed():
    places = [
        build_places(WaitingReport(counts_by_rank={0: 1})) for _ in range(141)
    ]
    left = sum(
        vm.leaves_place(
            PlaceOffer(rank=2, vms=141), _NOW_S, (number + 0.5) / 141
        )
        for number, vm in enumerate(places)
    )
    assert left <= 4


# Load: an urgent request waits at another VM as a place comes free here. The
# less urgent one here waits a moment, and gets the place if it stays free.
async def test_less_urgent_request_leaves_its_place_for_a_moment(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=0.1)
    queues = dispatcher.node_state.fleet_queues
    queues.record('vm-2', {_SERVICE: _URGENT}, clock.moment_s)
    dispatcher.placer.in_flight = 0
    await pass_time(dispatcher, clock, seconds=0.1)
    assert dispatcher.placer.committed == ['first']
    await pass_time(dispatcher, clock, seconds=0.2)
    assert dispatcher.placer.committed == ['first', 'waiting']


# Guards against a wait of requests for which there are places, as nothing waits
# elsewhere, and of urgent ones.
@pytest.mark.parametrize(('report', 'priority'), [({}, 1), (_URGENT, 0)])
async def test_request_that_goes_first_leaves_no_place(
    dispatcher, clock, report, priority
):
    queues = dispatcher.node_state.fleet_queues
    queues.of_service(_SERVICE)
    queues.record('vm-2', {_SERVICE: report} if report else {}, clock.moment_s)
    await place_at(dispatcher, clock, 'urgent', priority=priority)
    assert dispatcher.placer.committed == ['urgent']


# Guards against reports that grow with the teams and with time in which nothing
# waits.
def test_report_is_bounded_and_ends_with_the_shortage():
    known = FleetQueues()
    service = known.of_service(_SERVICE)
    service.queue = AdmissionQueue(
        service=_SERVICE, team_work=service.team_work
    )
    for number in range(500):
        request = build_patient(_NOW_S, team=f'team-{number}')
        request.weighted_work = 5000.0
        service.queue.push(request)
        service.queue.remove(request, was_placed=True)
    assert known.report(_NOW_S) == {}
    waiting = build_patient(_NOW_S)
    service.queue.push(waiting)
    report = known.report(_NOW_S)[_SERVICE]
    assert sum(report.counts_by_rank.values()) == 1
    assert len(report.work_by_team) == 16
    service.queue.remove(waiting, was_placed=False)
    assert known.report(_NOW_S + 1)[_SERVICE].counts_by_rank == {}
    assert known.report(_NOW_S + 6) == {}
