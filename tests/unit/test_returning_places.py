"""Check which places are expected back at which time."""

from types import SimpleNamespace

import pytest

from arbutusbay.node import _placer
from arbutusbay.node._placer import Placer
from arbutusbay.scheduling import PlannedWeightsLoad
from tests.fleet_fakes import FakeClock
from tests.unit.test_engine_placement import MODEL, build_view

_VMS = 4
_SLOTS = 8


def expected_back(monkeypatch, **changes) -> list[tuple[float, float]]:
    """Return the times and places of the return of an engine."""
    clock = FakeClock()
    monkeypatch.setattr(_placer, 'now_s', clock)
    view = build_view('engine', slots=_SLOTS, **changes)
    state = SimpleNamespace(
        members=SimpleNamespace(live=lambda moment_s: range(_VMS)),
        views_of_service=lambda service: [view],
    )
    returning = Placer(node_state=state).returning_places('language')
    return [
        (places.at_s - clock.moment_s, places.places) for places in returning
    ]


def build_load(start_s: float, finish_s: float) -> PlannedWeightsLoad:
    """Return a load of weights, with times from now on."""
    moment_s = FakeClock().moment_s
    return PlannedWeightsLoad(
        model=MODEL,
        version=2,
        start_s=moment_s + start_s,
        finish_s=moment_s + finish_s,
    )


# Guards against requests that are refused though an engine is back in time, or
# kept for places that other VMs get as well.
@pytest.mark.parametrize(
    'changes',
    [
        {'planned_load': build_load(-1, 1.5)},
        {'rejects_until_s': FakeClock().moment_s + 1.5},
    ],
)
def test_places_of_an_engine_that_is_back_are_shared(monkeypatch, changes):
    assert expected_back(monkeypatch, **changes) == [(1.5, _SLOTS / _VMS)]


# Guards against requests that are kept for an engine that is there, or that
# will not come back.
@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'planned_load': build_load(-2, -1)},
        {'planned_load': build_load(1, 2)},
        {'planned_load': build_load(-1, 1.5), 'is_draining': True},
        {'rejects_until_s': FakeClock().moment_s + 1.5, 'is_leaving': True},
    ],
)
def test_no_other_engine_is_expected_back(monkeypatch, changes):
    assert not expected_back(monkeypatch, **changes)
