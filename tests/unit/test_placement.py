"""Check placement decisions without sockets."""

import random

import attrs
import pytest

from arbutusbay.policy import (
    CostBased,
    EngineState,
    InFlight,
    Job,
    PoolView,
    choose_engine,
    engine_window,
    has_room,
)
from arbutusbay.state import Urgency

_NOW_S = 1000.0
_SEED = 3


def _engine(name: str, **fields) -> EngineState:
    return EngineState(
        name=name,
        url=f'http://{name}',
        zone='zone-a',
        pool='language',
        slots=8,
        piece_s=0.012,
        piece_seen_at_s=_NOW_S,
        reported_at_s=_NOW_S,
        **fields,
    )


def _job(*, prompt_tokens: int = 1000, max_tokens: int = 12) -> Job:
    return Job(
        id='r',
        team='t',
        route='m',
        pool='language',
        urgency=Urgency.URGENT,
        hashes=tuple(range(1, prompt_tokens // 16 + 1)),
        block_tokens=16,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        arrived_s=_NOW_S,
        deadline_s=_NOW_S + 5,
    )


def _view(engines, depths=None) -> PoolView:
    return PoolView(
        engines=engines,
        depths=depths or {},
        affinity_key='key',
        own_zone='zone-a',
        routers=3,
        prefill_s=0.00012,
        piece_s=0.012,
        service_s=0.3,
        now_s=_NOW_S,
    )


def _choose(job, view, seed: int = _SEED) -> str | None:
    choice = choose_engine(CostBased(), job, view, random.Random(seed))
    return choice.engine.name if choice else None


def test_cached_prefix_wins_when_idle():
    engines = [_engine(f'e{number}') for number in range(6)]
    for engine in engines:
        view = _view(engines, {engine.name: 60})
        assert _choose(_job(), view) == engine.name


def test_hot_prefix_spills_when_its_engine_is_far_behind():
    engines = [_engine(f'e{number}') for number in range(6)]
    engines[0].queued_tokens = 20_000
    assert _choose(_job(), _view(engines, {'e0': 60})) != 'e0'


def test_cold_routers_agree():
    engines = [_engine(f'e{number}') for number in range(6)]
    chosen = {_choose(_job(), _view(engines), seed) for seed in range(20)}
    assert len(chosen) == 1


def test_straggler_is_passed_over():
    engines = [_engine(f'e{number}') for number in range(6)]
    engines[0].piece_s = 0.06
    view = _view(engines, {'e0': 30})
    assert _choose(_job(), view) != 'e0'


@pytest.mark.parametrize('routers', [1, 3, 13, 21, 400])
def test_long_work_has_room_in_any_window(routers):
    engine = _engine('e0', waiting=8)
    job = _job(prompt_tokens=6000, max_tokens=200)
    view = attrs.evolve(_view([engine]), routers=routers)
    assert job.is_long
    assert engine_window(engine, routers) >= 1
    assert has_room(job, view, engine)


def test_long_work_leaves_the_last_place():
    engine = _engine('e0')
    window = engine_window(engine, 1)
    for number in range(window - 1):
        engine.in_flight[f'{number}'] = InFlight(
            uncached_tokens=0,
            sent_at_s=_NOW_S,
        )
    long_job = _job(prompt_tokens=6000, max_tokens=200)
    view = attrs.evolve(_view([engine]), routers=1)
    assert not has_room(long_job, view, engine)
    assert has_room(_job(), view, engine)


def test_job_waits_for_a_better_engine_only_for_a_moment():
    engines = [_engine(f'e{number}') for number in range(6)]
    for number in range(engine_window(engines[0], 3)):
        engines[0].in_flight[f'{number}'] = InFlight(
            uncached_tokens=0,
            sent_at_s=_NOW_S,
        )
    view = _view(engines, {'e0': 60})
    assert _choose(_job(), view) is None
    later = attrs.evolve(view, now_s=_NOW_S + 1)
    assert _choose(_job(), later) not in {None, 'e0'}


@pytest.mark.parametrize(
    ('known', 'wanted', 'expected'),
    [
        ('', 'v2', True),
        ('v2', '', True),
        ('v2', 'v2', True),
        ('v1', 'v2', False),
    ],
)
def test_engine_of_unknown_weights_may_resume_a_stream(known, wanted, expected):
    engine = _engine('a', weights_version=known)
    assert engine.may_run(wanted) is expected
