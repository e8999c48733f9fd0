"""Check that a completion at a silent engine outlasts refusals elsewhere.

The engine that it runs at goes on after some seconds. The others refuse
meanwhile and a while longer, each way in which an engine can.
"""

import asyncio
import contextlib
import enum
import functools
import time
from collections.abc import Iterator

import pytest

from emulator.cluster import Cluster, call_json, running_cluster, wait_until
from emulator.fleet import wait_for_condition
from tests.builders import build_cluster_options
from tests.integration.test_silent_completions import (
    assert_all_whole,
    assert_one_engine_at_once,
    assert_run_once,
    count_begun,
    drain_all_but,
    silence,
    start_completions,
    use_engines,
)

_PATIENT = 'roll-advisor-patient'
_PATIENT_DEADLINE_MS = 20000
_COMPLETIONS = 6
_ENGINES = 3
_SILENCE_S = 5.0
_REFUSED_AFTERWARDS_S = 1.0
_ENDLESS = 10**6
_EMPTY_BUDGET = 0.3
_MIN_LIFE_S = 0.5
_MAX_DEAD_S = 6.0


class Refusal(enum.StrEnum):
    """Name how the other engines refuse."""

    FULL = 'full'
    LEAVING = 'leaving'
    LOADING = 'loading'
    OTHER_INCARNATION = 'other_incarnation'
    NO_CONNECTION = 'no_connection'
    MUTE = 'mute'


@pytest.fixture(scope='module')
def shared_cluster(request: pytest.FixtureRequest) -> Iterator[Cluster]:
    """Yield a cluster of one VM whose engines all go on after a test."""
    failed_before = request.session.testsfailed
    with _running_patient_cluster() as running:
        yield running
        running.keeps_logs = request.session.testsfailed > failed_before


@pytest.fixture
def own_cluster() -> Iterator[Cluster]:
    """Yield a cluster of one VM whose engines the test may end."""
    with _running_patient_cluster() as running:
        yield running


@contextlib.contextmanager
def _running_patient_cluster() -> Iterator[Cluster]:
    options = build_cluster_options(
        vms=1, engine_arguments=('--slots', '64', '--event-loss', '0')
    )
    patient = {'pool': 'language', 'deadline_ms': _PATIENT_DEADLINE_MS}
    with running_cluster(options) as running:
        running.put_resource('route', _PATIENT, patient)
        yield running


def set_faults(engines, **faults) -> None:
    """Set the same faults at some engines."""
    for engine in engines:
        call_json(f'{engine.url}/faults', faults)


def begin_refusing(engines, way: Refusal) -> None:
    """Let engines refuse, of which their load reports show no more than due."""
    match way:
        case Refusal.FULL:
            set_faults(engines, refusals=_ENDLESS)
        case Refusal.LEAVING:
            set_faults(engines, refusals=_ENDLESS, holds_load=True)
        case Refusal.OTHER_INCARNATION:
            set_faults(engines, refusals=_ENDLESS, refusal_status=409)
        case Refusal.LOADING:
            set_faults(engines, holds_load=True)
            for engine in engines:
                order = {'weights_version': 'v2', 'fence': _ENDLESS}
                call_json(f'{engine.url}/v1/orders', order)
        case Refusal.NO_CONNECTION:
            for engine in engines:
                engine.kill()
        case Refusal.MUTE:
            for engine in engines:
                engine.suspend()


def end_refusing(engines, way: Refusal) -> None:
    """Let engines serve again."""
    match way:
        case Refusal.LEAVING:
            set_faults(engines, leaving=True, holds_load=False)
        case Refusal.MUTE:
            for engine in engines:
                engine.resume()
        case Refusal.NO_CONNECTION:
            for engine in engines:
                engine.start()
        case _:
            set_faults(
                engines, refusals=0, refusal_status=503, holds_load=False
            )


async def start_at_first_engine(session, cluster, *, has_begun: bool):
    """Start completions that all run at the first engine, which falls silent.

    They have their first pieces if ``has_begun``. The other engines may then
    get work.
    """
    first = cluster.engines()[:1]
    if not has_begun:
        silence(first, int(_SILENCE_S * 1000))
    due = await count_begun(session, cluster)
    due += _COMPLETIONS if has_begun else 0
    tasks = start_completions(session, cluster, model=_PATIENT)
    await wait_for_condition(
        functools.partial(_have_arrived, session, cluster, due),
        'all have arrived',
    )
    if has_begun:
        silence(first, int(_SILENCE_S * 1000))
    drain_all_but(cluster, _ENGINES)
    return tasks


async def _have_arrived(session, cluster, due: int) -> bool:
    return (
        count_in_flight(cluster) >= _COMPLETIONS
        and await count_begun(session, cluster) >= due
    )


def count_in_flight(cluster) -> int:
    """Return how many places at engines the router holds."""
    state = call_json(f'{cluster.nodes[0].router.url}/debug/state')
    return sum(engine['in_flight'] for engine in state['engines'].values())


async def empty_retry_budget(session, cluster) -> None:
    """Let refused completions use up the retry budget."""
    url = f'{cluster.nodes[0].router.url}/debug/state'
    engines = cluster.engines()[:1]
    set_faults(engines, refusals=_ENDLESS)
    while call_json(url)['retry_budget'] > _EMPTY_BUDGET:
        await asyncio.gather(*start_completions(session, cluster, count=1))
    set_faults(engines, refusals=0)


async def outlast_refusals(session, cluster, way: Refusal, *, has_begun: bool):
    """Run completions beside a silence and refusals; return their outcomes."""
    others = cluster.engines()[1:_ENGINES]
    began_s = time.monotonic()
    tasks = await start_at_first_engine(session, cluster, has_begun=has_begun)
    begin_refusing(others, way)
    over_s = began_s + _SILENCE_S + _REFUSED_AFTERWARDS_S
    await asyncio.sleep(over_s - time.monotonic())
    end_refusing(others, way)
    outcomes = await asyncio.gather(*tasks)
    await asyncio.to_thread(wait_until, lambda: _are_answering(others))
    return outcomes


def _are_answering(engines) -> bool:
    """Return whether all engines answer, as they may have begun just now."""
    try:
        for engine in engines:
            call_json(f'{engine.url}/counts')
    except OSError:
        return False
    return True


# Guards against completions that are given up at a sound engine for one that
# refuses them (LOST, class of the incident of 2026-12-06).
@pytest.mark.parametrize('has_begun', [True, False])
@pytest.mark.parametrize(
    'way', [Refusal.FULL, Refusal.OTHER_INCARNATION, Refusal.MUTE]
)
async def test_refusals_elsewhere_break_no_completion_of_a_silent_engine(
    shared_cluster, session, way, has_begun
):
    await use_engines(shared_cluster, 1)
    outcomes = await outlast_refusals(
        session, shared_cluster, way, has_begun=has_begun
    )
    assert_all_whole(outcomes)
    assert_one_engine_at_once(shared_cluster, outcomes)
    if way is not Refusal.MUTE:
        assert_run_once(shared_cluster, outcomes)
    assert not count_in_flight(shared_cluster)


# Guards against the same beside engines that don't come back as they were.
@pytest.mark.parametrize('has_begun', [True, False])
@pytest.mark.parametrize(
    'way', [Refusal.LEAVING, Refusal.LOADING, Refusal.NO_CONNECTION]
)
async def test_lost_engines_break_no_completion_of_a_silent_one(
    own_cluster, session, way, has_begun
):
    await use_engines(own_cluster, 1)
    outcomes = await outlast_refusals(
        session, own_cluster, way, has_begun=has_begun
    )
    versions = ('v1',) if has_begun else ('v1', 'v2')
    assert_all_whole(outcomes, versions=versions)
    assert_one_engine_at_once(own_cluster, outcomes)
    assert not count_in_flight(own_cluster)


# Guards against the same where the retry budget is used up.
@pytest.mark.parametrize('has_begun', [True, False])
async def test_empty_retry_budget_breaks_no_completion_of_a_silent_engine(
    shared_cluster, session, has_begun
):
    await use_engines(shared_cluster, 1)
    await empty_retry_budget(session, shared_cluster)
    outcomes = await outlast_refusals(
        session, shared_cluster, Refusal.FULL, has_begun=has_begun
    )
    assert_all_whole(outcomes)


# Guards against a completion that is cut although its engine ended, and the
# others refuse for a shorter time than it has left.
async def test_refusals_after_the_end_of_an_engine_cost_time_only(
    own_cluster, session
):
    await use_engines(own_cluster, 1)
    others = own_cluster.engines()[1:_ENGINES]
    tasks = await start_at_first_engine(session, own_cluster, has_begun=True)
    begin_refusing(others, Refusal.FULL)
    await asyncio.sleep(_MIN_LIFE_S)
    own_cluster.engines()[0].kill()
    await asyncio.sleep(_REFUSED_AFTERWARDS_S)
    end_refusing(others, Refusal.FULL)
    assert_all_whole(await asyncio.gather(*tasks))


# Guards against a dead engine that is left later, as another one refuses.
@pytest.mark.parametrize('has_begun', [True, False])
async def test_dead_engine_is_left_for_the_one_that_accepts(
    own_cluster, session, record_property, has_begun
):
    await use_engines(own_cluster, 1)
    dead, refusing, _ = own_cluster.engines()[:_ENGINES]
    tasks = await start_at_first_engine(
        session, own_cluster, has_begun=has_begun
    )
    begin_refusing([refusing], Refusal.FULL)
    dead.suspend()
    try:
        outcomes = await asyncio.gather(*tasks)
    finally:
        dead.resume()
    assert_all_whole(outcomes)
    slowest_s = max(outcome.duration_s for outcome in outcomes)
    record_property('slowest_s', slowest_s)
    assert slowest_s < _MAX_DEAD_S
