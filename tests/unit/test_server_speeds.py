"""Test that speeds of servers are found under load, and followed."""

import functools
import random

import pytest

from arbutusbay.node._server_speeds import ServerSpeeds
from arbutusbay.scheduling import Attempt, choose_plain_server
from tests.speed_world import (
    SERVICE,
    ZONE,
    FakeServer,
    SpeedWorld,
    build_speed_view,
    build_speed_world,
)

USUAL = (1.0, 1.0, 1.0)
MIXED = (0.6, 1.0, 1.6)
SETTLED_S = 5
SHARE_ERROR = 0.1
# Requests come at random times and with random work: in 4 s some 140 of them
# make up the share of the slowest engines.
SHARE_SWING = 0.3
SWING_S = 4
LAST_S = 25


def share_errors(world: SpeedWorld, first: int, last: int) -> dict:
    """Return by how much the work of each speed is off its share."""
    fair: dict = {}
    given: dict = {}
    shares = world.shares(first, last)
    for server in world.servers:
        name = server.speed
        fair[name] = fair.get(name, 0) + world.fair_shares()[server.id]
        given[name] = given.get(name, 0) + shares[server.id]
    return {name: abs(given[name] / fair[name] - 1) for name in fair}


def build_engine_world(vms: int, **faults: float) -> SpeedWorld:
    """Return engines that read one prompt after the other."""
    return build_speed_world(
        (*MIXED, *MIXED, *MIXED),
        vms=vms,
        load=0.75,
        slots=1,
        places=32,
        tokens_per_s=70_000,
        mean_work_s=0.04,
        **faults,
    )


def assert_follows_speeds(world: SpeedWorld) -> None:
    """Check the shares of the work, and that they don't swing."""
    world.run(LAST_S)
    errors = share_errors(world, SETTLED_S, LAST_S)
    assert max(errors.values()) <= SHARE_ERROR, errors
    swings = [
        max(share_errors(world, second, second + SWING_S).values())
        for second in range(SETTLED_S, LAST_S, SWING_S)
    ]
    assert max(swings) <= SHARE_SWING, swings


@pytest.mark.parametrize(
    ('vms', 'load'), [(3, 0.3), (3, 0.6), (3, 0.8), (141, 0.6)]
)
def test_work_of_plain_servers_follows_their_speeds(vms, load):
    world = build_speed_world(MIXED, vms=vms, load=load)
    assert_follows_speeds(world)


@pytest.mark.parametrize(
    ('vms', 'faults'),
    [
        (3, {'report_delay_s': 0.5}),
        (3, {'lost_reports': 0.3}),
        (141, {'report_delay_s': 0.4, 'lost_reports': 0.3}),
    ],
)
def test_late_and_lost_reports_keep_the_shares(vms, faults):
    world = build_speed_world(MIXED, vms=vms, **faults)
    assert_follows_speeds(world)


@pytest.mark.parametrize(
    ('vms', 'faults'),
    [(3, {}), (3, {'lost_reports': 0.3}), (141, {'lost_reports': 0.1})],
)
def test_work_of_engines_follows_their_speeds(vms, faults):
    world = build_engine_world(vms, **faults)
    assert_follows_speeds(world)


def test_work_follows_the_speeds_that_servers_report():
    world = build_engine_world(24)
    for server in world.servers:
        server.reported_slowdown = 1 / server.speed
    assert_follows_speeds(world)


# Guards against estimates that only a part of the VMs ever has.
def test_vm_that_hardly_sends_knows_the_speeds():
    world = build_speed_world(MIXED, vms=4, group=4)
    rare = world.vms.pop()
    world.run(5)
    speeds = list(world.speeds_at(rare).values())
    assert speeds == pytest.approx(list(MIXED), rel=0.15)


def test_vm_alone_finds_the_speeds_itself():
    world = build_speed_world(MIXED, vms=1)
    world.run(5)
    speeds = list(world.speeds_at(world.vms[0]).values())
    assert speeds == pytest.approx(list(MIXED), rel=0.15)


def test_alike_engines_have_the_usual_speed():
    world = build_speed_world(
        USUAL, vms=24, slots=1, places=32, tokens_per_s=70_000, load=0.75
    )
    for _ in range(6):
        world.run(1)
        for vm in world.vms:
            assert set(world.speeds_at(vm).values()) == {1}


@pytest.mark.parametrize('vms', [3, 24])
def test_alike_servers_have_the_usual_speed(vms):
    world = build_speed_world(USUAL, vms=vms)
    for _ in range(6):
        world.run(1)
        for vm in world.vms:
            assert set(world.speeds_at(vm).values()) == {1}


def test_alike_servers_are_chosen_as_before():
    servers = [FakeServer(id=f'desk-{number}', speed=1) for number in range(3)]
    views = [build_speed_view(server) for server in servers]
    views[2].zone = 'hann'
    views[0].occupancy.open_attempt(Attempt(sent_s=0))
    chosen = {
        choose_plain_server(
            views, own_zone=ZONE, now_s=0, rng=random.Random(seed)
        ).engine.id
        for seed in range(30)
    }
    assert chosen == {'desk-1'}


def slow_between(first_s: float, last_s: float, factor: float):
    """Return a slowdown that holds for a while."""
    return functools.partial(
        _slowdown, first_s=first_s, last_s=last_s, factor=factor
    )


def _slowdown(
    _: FakeServer, moment_s: float, *, first_s: float, last_s: float, factor
) -> float:
    return factor if first_s <= moment_s < last_s else 1.0


def test_slowdown_of_a_moment_is_followed_and_forgotten():
    world = build_speed_world(USUAL, vms=3, report_interval_s=0.1)
    world.run(5)
    from_s = world.moment_s
    world.servers[0].slowdown = slow_between(from_s, from_s + 0.6, 2.5)
    world.run(0.5)
    slowed = world.speeds_at(world.vms[0])['desk-0']
    world.run(1.6)
    after = world.speeds_at(world.vms[0])['desk-0']
    assert slowed * 1.5 < 1
    assert after == pytest.approx(1, abs=0.2)


@pytest.mark.parametrize('vms', [3, 24])
def test_server_that_turns_slow_for_good_gets_less(vms):
    world = build_speed_world(USUAL, vms=vms)
    world.run(3)
    from_s = world.moment_s
    world.servers[0].slowdown = slow_between(from_s, from_s + 99, 1 / 0.6)
    world.run(25)
    share = world.shares(8, 28)['desk-0']
    assert share == pytest.approx(0.6 / 2.6, rel=SHARE_ERROR)


def slows_when_half_full(server: FakeServer, moment_s: float) -> float:
    """Take 1.8 times as long beside half of the slots or more."""
    return 1.8 if server.running(moment_s) >= server.slots // 2 else 1.0


def test_server_that_slows_long_before_it_is_full_gets_fewer_at_once():
    world = build_speed_world(USUAL, vms=3, slots=12, places=12, load=0.5)
    world.servers[0].slowdown = slows_when_half_full
    world.run(10)
    views = world.vms[0].views
    assert views['desk-0'].speed.taken_requests(12) <= 6
    others = [views[name].speed for name in ('desk-1', 'desk-2')]
    assert [other.taken_share for other in others] == [1, 1]


# Guards against a server that is never tried beyond what it took once.
def test_server_that_recovers_is_filled_again():
    world = build_speed_world(USUAL, vms=3, slots=12, places=12, load=0.5)
    world.servers[0].slowdown = slows_when_half_full
    world.run(6)
    view = world.vms[0].views['desk-0']
    assert view.speed.taken_share < 1
    world.servers[0].slowdown = slow_between(0, 0, 1)
    world.run(30)
    assert view.speed.taken_share == 1


def test_restarted_server_starts_from_nothing():
    world = build_speed_world((0.5, 1.0, 1.0), vms=3)
    world.run(5)
    assert world.speeds_at(world.vms[0])['desk-0'] < 2 / 3
    restarted = FakeServer(id='desk-0', speed=1.0, incarnation=2)
    world.servers[0] = restarted
    for vm in world.vms:
        vm.views['desk-0'] = build_speed_view(restarted)
    world.run(0.05)
    assert world.speeds_at(world.vms[0])['desk-0'] == 1
    world.run(5)
    assert world.shares(7, 10)['desk-0'] == pytest.approx(1 / 3, rel=0.15)


def test_new_server_soon_gets_its_share():
    world = build_speed_world(MIXED, vms=3)
    world.run(5)
    new = FakeServer(id='desk-new', speed=1.6)
    world.servers.append(new)
    for vm in world.vms:
        vm.views[new.id] = build_speed_view(new)
    world.run(7)
    share = world.shares(10, 12)[new.id]
    assert share == pytest.approx(1.6 / 4.8, rel=0.15)


# Guards against a slowdown that counts as reported and as measured.
def test_reported_slowdown_is_not_measured_again():
    speeds = ServerSpeeds()
    views = [
        build_speed_view(FakeServer(id=f'desk-{number}', speed=1))
        for number in range(3)
    ]
    for moment in range(300):
        moment_s = 100 + moment * 0.02
        for view in views:
            factor = 2.5 if view.id == 'desk-0' else 1.0
            view.record_load(
                running_requests=1, slowdown=factor, now_s=moment_s
            )
            speeds.record_call(view, 'look', moment_s - 0.03 * factor, moment_s)
    speeds.refresh(SERVICE, views, moment_s)
    assert {view.speed.current_speed for view in views} == {1.0}
