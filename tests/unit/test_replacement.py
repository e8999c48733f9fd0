"""Check when a place elsewhere counts as certain for a silent attempt."""

from types import SimpleNamespace

import attrs
import pytest

from arbutusbay.clock import now_s
from arbutusbay.node._placement import Placement, PlacementRequest
from arbutusbay.node._replacement import Replacement
from arbutusbay.scheduling import EngineView, PlannedWeightsLoad, RetryBudget
from tests.unit.test_engine_placement import MODEL, build_view

_FOREVER_S = 1e9


@attrs.define(kw_only=True)
class SingleEnginePlacer:
    """Place every request on one engine, if there is one."""

    view: EngineView | None
    has_capacity: bool = True
    in_flight: int = 0

    def find_placement(self, request) -> Placement | None:
        """Return a placement on the engine."""
        if self.view is None:
            return None
        return Placement(
            choice=SimpleNamespace(
                engine=self.view, has_capacity=self.has_capacity
            ),
            attempt_headers=None,
            attempt=None,
            model=MODEL,
            candidate_count=1,
        )

    def commit(self, request, placement) -> None:
        """Count an attempt in flight."""
        self.in_flight += 1

    def release(self, placement) -> None:
        """Stop counting an attempt in flight."""
        self.in_flight -= 1


def build_replacement(
    view: EngineView | None, *, has_capacity: bool = True, tokens: float = 1
) -> Replacement:
    """Return a replacement that may use ``view`` and some retry tokens."""
    placer = SingleEnginePlacer(view=view, has_capacity=has_capacity)
    return Replacement(
        placer=placer,
        dispatcher=placer,
        budget=RetryBudget(ratio=0, burst=tokens, last_refill_s=now_s()),
    )


def reserves(replacement: Replacement, *, must_be_better: bool = True) -> bool:
    """Return whether a place is reserved for some request."""
    request = PlacementRequest(incoming=None)
    return replacement.try_reserve(request, must_be_better=must_be_better)


def build_loading_view() -> EngineView:
    """Return an engine that loads weights."""
    view = build_view('engine-1')
    view.planned_load = PlannedWeightsLoad(
        model=MODEL, version=2, start_s=0, finish_s=_FOREVER_S
    )
    return view


def build_view_with(name: str, moment_s: float) -> EngineView:
    """Return an engine whose attribute ``name`` is a time."""
    view = build_view('engine-1')
    setattr(view, name, moment_s)
    return view


# Guards against an attempt that is given up for a server which is no better.
@pytest.mark.parametrize(
    'view',
    [
        None,
        build_view_with('unresponsive_until_s', _FOREVER_S),
        build_view_with('backoff_until_s', _FOREVER_S),
        build_view_with('rejects_until_s', _FOREVER_S),
        build_loading_view(),
    ],
)
def test_no_place_is_reserved_where_something_speaks_against_it(view):
    replacement = build_replacement(view)
    assert not reserves(replacement)
    assert replacement.placer.in_flight == 0
    assert replacement.budget.tokens == 1


def test_full_server_will_do_only_if_the_place_need_not_be_better():
    replacement = build_replacement(build_view('a'), has_capacity=False)
    assert not reserves(replacement)
    assert replacement.budget.tokens == 1
    assert reserves(replacement, must_be_better=False)


# Guards against a retry that the fleet's budget does not cover.
def test_no_place_is_reserved_without_a_token():
    replacement = build_replacement(build_view('a'), tokens=0.5)
    assert not reserves(replacement)
    assert replacement.placer.in_flight == 0


# Guards against capacity that is lost to a request which ended meanwhile.
def test_place_that_was_not_taken_is_released_once():
    replacement = build_replacement(build_view('a'))
    assert reserves(replacement)
    assert replacement.placer.in_flight == 1
    replacement.release()
    replacement.release()
    assert replacement.placer.in_flight == 0
    assert replacement.take() is None


def test_place_that_was_taken_belongs_to_the_next_attempt():
    replacement = build_replacement(build_view('a'))
    assert reserves(replacement)
    assert replacement.take().view.id == 'a'
    replacement.release()
    assert replacement.placer.in_flight == 1
    assert replacement.budget.tokens == 0
