"""Check that VMs hear of each other though the link of the sender is slow.

Load that it answers: 141 VMs whose links carry 5 Mbit/s and queue 64 KB; a VM
that leads a rollout to 30 engines reports to all others.
"""

import math
from collections import Counter

import pytest

from arbutusbay.node import (
    _load_announcements,
    _node_state,
    _peer_channel,
    _peer_reports,
    _peer_state_receiver,
)
from arbutusbay.pacing import DatagramPacer
from arbutusbay.scheduling import (
    WEIGHTS_LOAD_NOTICE_S,
    Attempt,
    EngineView,
    PlannedWeightsLoad,
)
from tests.fleet_fakes import FakeClock
from tests.link_world import LinkWorld, SlowLink, build_link_world
from tests.unit.test_report_recipients import build_vms

MODEL = 'roll-advisor'
_VMS = 141
_ZONES = 4
_ENGINES = 30
_PARALLEL = 10
_LINK_BYTES_PER_S = 5_000_000 / 8
_QUEUE_BYTES = 65_536
_SAVED_PREFIXES = 64


@pytest.fixture
def clock(monkeypatch):
    """Return the clock that all channels read."""
    fake = FakeClock()
    for module in (
        _load_announcements,
        _node_state,
        _peer_channel,
        _peer_reports,
        _peer_state_receiver,
    ):
        monkeypatch.setattr(module, 'now_s', fake)
    return fake


def build_engines() -> dict[str, EngineView]:
    return {
        f'i-{number:010x}': EngineView(
            id=f'i-{number:010x}',
            service='language',
            address='',
            zone='plateau',
            slots=32,
            weights={MODEL: 1},
            incarnation=1_787_000_000_000,
        )
        for number in range(_ENGINES)
    }


def build_world(clock, *, lost: float = 0.0) -> LinkWorld:
    """Return a world whose sender has as much to report as a report holds."""
    link = SlowLink(
        clock=clock,
        bytes_per_s=_LINK_BYTES_PER_S,
        queue_bytes=_QUEUE_BYTES,
        lost=lost,
    )
    vms = build_vms(_VMS, zones=_ZONES)
    world = build_link_world(clock, link, vms, build_engines)
    node_state = world.sender.node_state
    for view in node_state.engine_views.values():
        view.occupancy.open_attempt(
            Attempt(sent_s=0, uncached_tokens=2890, kv_tokens=9000)
        )
    return world


def keep_reporting(world: LinkWorld, seconds: float) -> None:
    """Pass time, with prefixes saved and reports changed all the time."""
    state = world.sender.node_state
    for turn in range(round(seconds / 0.1)):
        for number in range(_SAVED_PREFIXES):
            state.saved_prefixes.record(
                f'{turn}/{number}', world.clock.moment_s
            )
        world.pass_time(0.1)


def announce_loads(world: LinkWorld, start_in_s: float) -> None:
    views = list(world.sender.node_state.engine_views.values())
    start_s = world.clock.moment_s + start_in_s
    for view in views[:_PARALLEL]:
        load = PlannedWeightsLoad(
            model=MODEL, version=2, start_s=start_s, finish_s=start_s + 0.6
        )
        world.sender.report_builder.announce_load(view, load)


def count_unaware(world: LinkWorld) -> int:
    """Return how many VMs take an engine for free that loads weights."""
    return sum(
        sum(
            view.is_loading_weights(world.clock.moment_s)
            for view in channel.node_state.engine_views.values()
        )
        < _PARALLEL
        for channel in world.listeners.values()
    )


# Guards against requests to engines that load weights: VMs late in the order of
# the datagrams never heard of any load.
def test_all_vms_know_of_loads_as_they_begin(clock):
    world = build_world(clock)
    keep_reporting(world, 1.0)
    announce_loads(world, WEIGHTS_LOAD_NOTICE_S)
    world.pass_time(WEIGHTS_LOAD_NOTICE_S)
    assert count_unaware(world) == 0
    assert world.link.dropped == 0


def test_vms_that_miss_an_announcement_get_it_again(clock):
    world = build_world(clock, lost=0.1)
    keep_reporting(world, 0.3)
    announce_loads(world, 0.1)
    keep_reporting(world, 0.6)
    assert count_unaware(world) <= 0.02 * _VMS


# Shows that the world is one in which VMs were left out before.
def test_link_drops_reports_that_are_sent_at_once(clock):
    world = build_world(clock)
    world.sender.node_state.pacer = DatagramPacer(
        bytes_per_s=math.inf, burst_bytes=math.inf
    )
    announce_loads(world, WEIGHTS_LOAD_NOTICE_S)
    keep_reporting(world, 0.4)
    assert world.link.dropped > 0


def test_vms_of_the_zone_hear_reports_within_half_a_second(clock):
    world = build_world(clock)
    keep_reporting(world, 0.5)
    engine = next(iter(build_engines()))
    heard = Counter(
        channel.node_state.engine_views[engine]
        .occupancy.total(clock.moment_s)
        .attempts
        for channel in world.listeners.values()
        if channel.own_vm.zone == world.sender.own_vm.zone
    )
    assert set(heard) == {1}


def test_confirmed_weights_reach_all_vms(clock):
    world = build_world(clock)
    announce_loads(world, 0.0)
    keep_reporting(world, 0.3)
    state = world.sender.node_state
    for view in list(state.engine_views.values())[:_PARALLEL]:
        view.merge_weights({MODEL: 2})
        done = PlannedWeightsLoad(
            model=MODEL,
            version=2,
            start_s=clock.moment_s,
            finish_s=clock.moment_s,
        )
        world.sender.report_builder.announce_load(view, done)
    keep_reporting(world, 0.4)
    for channel in world.listeners.values():
        views = channel.node_state.engine_views.values()
        loaded = [view for view in views if view.weights[MODEL] == 2]
        assert len(loaded) == _PARALLEL
        assert not any(
            view.is_loading_weights(clock.moment_s) for view in views
        )


# Guards against a load that was moved and is taken to be where it was, since a
# report came late that another VM passed on.
def test_late_report_changes_no_announced_load(clock):
    world = build_world(clock)
    announce_loads(world, 0.2)
    late = world.sender.report_builder.build_own_state()
    keep_reporting(world, 0.1)
    announce_loads(world, 1.0)
    keep_reporting(world, 0.3)
    for channel in world.listeners.values():
        channel.state_receiver.apply_report(late, '127.0.0.1:1')
        views = channel.node_state.engine_views.values()
        assert not any(
            view.is_loading_weights(clock.moment_s) for view in views
        )
