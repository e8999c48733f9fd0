"""Measure the CPU time of a placement decision by the size of the pool."""

import random
import time
from functools import partial

from arbutusbay.policy import (
    CostBased,
    EngineState,
    Job,
    PoolView,
    choose_engine,
)
from arbutusbay.state import Urgency
from emulator._slope import Slope, fit_line, min_cpu_time_us

_POOL_SIZES = (9, 35, 140)
_DECISION_REPEATS = 200
_SEED = 1
_PIECE_INTERVAL_S = 0.012
_PREFILL_S_PER_TOKEN = 0.0001
_SERVICE_S = 0.3
_BLOCK_TOKENS = 16


def measure_placement() -> Slope:
    """Return the CPU time in µs that each engine adds to a decision."""
    return fit_line(
        'placement, processor time an engine of the pool',
        'µs',
        _POOL_SIZES,
        [
            min_cpu_time_us(partial(_choose_repeatedly, _build_pool_view(size)))
            / _DECISION_REPEATS
            for size in _POOL_SIZES
        ],
    )


def _choose_repeatedly(view: PoolView) -> None:
    rng = random.Random(_SEED)
    job = _build_job()
    for _ in range(_DECISION_REPEATS):
        choose_engine(CostBased(), job, view, rng)


def _build_pool_view(size: int) -> PoolView:
    now_s = time.monotonic()
    engines = [
        EngineState(
            name=f'engine-{number}',
            url='http://127.0.0.1',
            zone='zone-a',
            pool='language',
            slots=8,
            piece_s=_PIECE_INTERVAL_S,
            piece_seen_at_s=now_s,
            reported_at_s=now_s,
        )
        for number in range(size)
    ]
    return PoolView(
        engines=engines,
        depths={engine.name: 3 for engine in engines},
        affinity_key='key',
        own_zone='zone-a',
        router_count=3,
        prefill_s_per_token=_PREFILL_S_PER_TOKEN,
        piece_s=_PIECE_INTERVAL_S,
        service_s=_SERVICE_S,
        now_s=now_s,
    )


def _build_job() -> Job:
    now_s = time.monotonic()
    return Job(
        id='request',
        team='team',
        route='route',
        pool='language',
        urgency=Urgency.URGENT,
        hashes=(),
        block_tokens=_BLOCK_TOKENS,
        prompt_tokens=1000,
        max_tokens=_BLOCK_TOKENS,
        arrived_s=now_s,
        deadline_s=now_s + 1,
    )
