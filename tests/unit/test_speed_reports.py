"""Test what VMs report to each other about the speeds of servers."""

import types

import attrs
import pytest

from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.node._server_speeds import ServerSpeeds
from arbutusbay.scheduling import WorkTotals
from arbutusbay.speeds import (
    MAX_REPORTED_SLOWDOWNS,
    MAX_REPORTED_SUMS,
    ReportedSlowdown,
    SampleSum,
    SampleWindows,
    ServerIdentity,
    SpeedBook,
    SpeedReport,
    SpeedSample,
    WorkLine,
)
from tests.speed_world import SERVICE, FakeServer, build_speed_view

NOW_S = 100.0
SUM = SampleSum(server='desk-0', incarnation=1, level=0, count=3, total=1.5)
RUNNING = types.MappingProxyType(
    {'desk-0': ServerIdentity(incarnation=1, pool=SERVICE)}
)


def build_state(report: SpeedReport) -> PeerState:
    """Return the state of a VM with nothing but ``report``."""
    return PeerState(
        name='vm-1',
        zone='plateau',
        occupancy={},
        work_totals=WorkTotals(),
        speeds=report,
    )


def build_report() -> SpeedReport:
    """Return a report with all that one may hold."""
    return SpeedReport(
        windows={7: (SUM,), 6: (attrs.evolve(SUM, level=3),)},
        slowdowns={
            'desk-0': ReportedSlowdown(
                slowdown=2.5, min_slowdown=1, reported_s=NOW_S - 0.25
            )
        },
        lines={(SERVICE, 'look'): WorkLine(fixed_s=0.25, unit_s=0.5)},
    )


def lasting_weight(book: SpeedBook) -> float:
    """Return how many samples of the server count."""
    server = book.servers.get('desk-0')
    return server.lasting.weight if server else 0


def test_report_survives_a_round_trip():
    state = build_state(build_report())
    datagram = peer_state_to_bytes(state, NOW_S)
    assert peer_state_from_bytes(datagram, NOW_S).ok_value == state


def test_nothing_measured_adds_nothing_to_a_report():
    assert b'"v"' not in peer_state_to_bytes(build_state(SpeedReport()), NOW_S)


@pytest.mark.parametrize(
    'changes',
    [
        {'level': 4},
        {'level': -1},
        {'count': 0},
        {'count': 10_001},
        {'incarnation': -1},
    ],
)
def test_values_out_of_bounds_are_refused(changes):
    report = SpeedReport(windows={7: (attrs.evolve(SUM, **changes),)})
    datagram = peer_state_to_bytes(build_state(report), NOW_S)
    assert peer_state_from_bytes(datagram, NOW_S).is_err()


def test_report_of_too_many_sums_is_refused():
    sums = tuple(SUM for _ in range(MAX_REPORTED_SUMS + 1))
    report = SpeedReport(windows={7: sums})
    datagram = peer_state_to_bytes(build_state(report), NOW_S)
    assert peer_state_from_bytes(datagram, NOW_S).is_err()


def test_own_samples_fit_a_report_and_leave_it_again():
    windows = SampleWindows()
    for number in range(5 * MAX_REPORTED_SUMS):
        windows.add(f'desk-{number}', 1, 0, 0.1, NOW_S + number * 0.002)
    sent_s = NOW_S + 0.5
    reported = windows.ended(sent_s)
    assert 0 < sum(map(len, reported.values())) <= MAX_REPORTED_SUMS
    assert not windows.ended(sent_s + 2)


def test_window_that_is_reported_again_counts_once():
    book = SpeedBook()
    for _ in range(3):
        book.merge_report('vm-1', {7: [SUM]}, RUNNING, NOW_S)
    book.merge_report('vm-1', {8: [SUM], 7: [SUM]}, RUNNING, NOW_S)
    assert lasting_weight(book) == 2 * SUM.count


def test_vm_that_restarted_is_heard_again():
    book = SpeedBook()
    book.merge_report('vm-1', {9000: [SUM]}, RUNNING, NOW_S)
    book.merge_report('vm-1', {5: [SUM]}, RUNNING, NOW_S)
    assert lasting_weight(book) == 2 * SUM.count


@pytest.mark.parametrize(
    'running', [{}, {'desk-0': ServerIdentity(incarnation=2, pool=SERVICE)}]
)
def test_samples_of_another_incarnation_do_not_count(running):
    book = SpeedBook()
    book.merge_report('vm-1', {7: [SUM]}, running, NOW_S)
    assert not lasting_weight(book)


# Guards against a forged report that stops a server from being used.
def test_forged_samples_bound_the_speed():
    book = SpeedBook()
    for number in range(30):
        forged = attrs.evolve(SUM, count=10_000, total=1e12)
        book.merge_report('vm-1', {number: [forged]}, RUNNING, NOW_S)
    speed = book.estimates(SERVICE, NOW_S)['desk-0'].current_speed
    assert 1 / 8 < speed <= 1


def test_slowdown_that_another_vm_heard_is_adopted():
    speeds = ServerSpeeds()
    view = build_speed_view(FakeServer(id='desk-0', speed=1))
    speeds.merge_report('vm-1', build_report(), {view.id: view}, NOW_S)
    assert view.current_slowdown(NOW_S - 0.25) == pytest.approx(2.5)
    assert view.current_slowdown(NOW_S + 2) == 1


def test_older_slowdown_does_not_replace_what_a_server_told_itself():
    speeds = ServerSpeeds()
    view = build_speed_view(FakeServer(id='desk-0', speed=1))
    view.record_load(running_requests=1, slowdown=1, now_s=NOW_S - 0.1)
    speeds.merge_report('vm-1', build_report(), {view.id: view}, NOW_S)
    assert view.current_slowdown(NOW_S) == 1


def test_slowdown_is_told_on_by_the_vm_that_heard_it_alone():
    view = build_speed_view(FakeServer(id='desk-0', speed=1))
    views = {view.id: view}
    view.record_load(running_requests=1, slowdown=2.5, now_s=NOW_S)
    heard = ServerSpeeds()
    heard.record_load(view)
    assert set(heard.report(views, NOW_S + 0.1).slowdowns) == {'desk-0'}
    assert not heard.report(views, NOW_S + 1).slowdowns
    assert not ServerSpeeds().report(views, NOW_S + 0.1).slowdowns


def test_line_of_another_vm_holds_until_own_samples_suffice():
    speeds = ServerSpeeds()
    view = build_speed_view(FakeServer(id='desk-0', speed=1))
    speeds.refresh(SERVICE, [view], NOW_S)
    speeds.merge_report('vm-1', build_report(), {view.id: view}, NOW_S)
    work_time = speeds.book.pools[SERVICE].work_times['look']
    assert work_time.expected_s(0) == pytest.approx(0.25)
    for number in range(20):
        moment_s = NOW_S + number
        speeds.record_call(view, 'look', moment_s - 0.5, moment_s)
    assert work_time.expected_s(0) == pytest.approx(0.5, rel=0.1)


# Guards against an exception in the stream of a request without prompt tokens.
def test_work_without_units_raises_nothing():
    book = SpeedBook()
    sample = SpeedSample(
        server='desk-0',
        incarnation=1,
        pool=SERVICE,
        work='prompt',
        units=100,
        duration_s=0.1,
        level=0,
    )
    for _ in range(10):
        book.record(sample, NOW_S)
    book.record(attrs.evolve(sample, units=0), NOW_S)
    assert book.servers['desk-0'].lasting.weight > 0


# Guards against a load report that all other VMs drop, as many servers, or one
# with an odd figure, told of slowdowns.
@pytest.mark.parametrize('slowdown', [0.004, 2.5, 1500])
def test_report_of_many_slowdowns_is_accepted(slowdown):
    speeds = ServerSpeeds()
    views = {}
    for number in range(MAX_REPORTED_SLOWDOWNS + 10):
        view = build_speed_view(FakeServer(id=f'desk-{number}', speed=1))
        view.record_load(
            running_requests=1, slowdown=slowdown, now_s=NOW_S + number / 1000
        )
        speeds.record_load(view)
        views[view.id] = view
    report = speeds.report(views, NOW_S + 0.1)
    datagram = peer_state_to_bytes(build_state(report), NOW_S)
    decoded = peer_state_from_bytes(datagram, NOW_S).unwrap().speeds
    assert len(decoded.slowdowns) == MAX_REPORTED_SLOWDOWNS


# Guards against a full window that keeps the ended ones from being reported.
def test_window_that_goes_on_takes_no_room():
    windows = SampleWindows()
    windows.add('desk-0', 1, 0, 0.5, NOW_S)
    for number in range(MAX_REPORTED_SUMS + 1):
        windows.add(f'desk-{number}', 1, 0, 0.5, NOW_S + 0.15)
    assert len(windows.ended(NOW_S + 0.15)) == 1
