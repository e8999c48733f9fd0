"""Measure the marginal CPU and memory costs of the node daemon."""

import asyncio
import os
import random
import tempfile
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import aiohttp
import orjson

from arbutusbay.node._peer_messages import (
    PeerState,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.platform import decode_operator_record
from arbutusbay.scheduling import (
    EngineView,
    ModelRequestSize,
    Occupancy,
    PlacementContext,
    WorkTotals,
    choose_model_engine,
)
from emulator._process_costs import process_cpu_time_s, read_resident_bytes
from emulator._slope import (
    Slope,
    fit_line,
    measure_allocated_bytes,
    min_cpu_time_us,
)
from emulator.fleet import Fleet, FleetNode, running_fleet, wait_for_condition
from emulator.fleet_engine import EngineOptions

_CONFIGURATION = (
    Path(__file__).resolve().parent.parent / 'examples' / 'fleet.json'
)
_ENGINE_COUNTS = (9, 35, 140)
_TEAM_COUNTS = (50, 150, 350)
_REQUEST_COUNTS = (100, 300, 600)
_EVENT_COUNTS = (10, 60, 120)
_STREAM_COUNT = 60
_REPEATS = 200
_CONCURRENCY = 8
_US_PER_S = 1_000_000
_SEED = 1
_SLOTS = 32
_PROMPT_TOKENS = 3000
_SHARED_PREFIX_TOKENS = 2000
_MAX_QUEUED_TOKENS = 20_000
_CACHE_CAPACITY_TOKENS = 100_000


def measure_node() -> list[Slope]:
    """Return the costs of decisions, messages, requests and engines.

    CPU time is in µs, memory in bytes.
    """
    return [
        _engine_slope('a decision, an engine of the pool', _choose_engines),
        _engine_slope(
            'a message of a VM, an engine in it', _exchange_peer_states
        ),
        fit_line(
            'node, processor time of a configuration read, a team',
            'µs',
            _TEAM_COUNTS,
            [
                min_cpu_time_us(partial(_decode_configuration, size))
                for size in _TEAM_COUNTS
            ],
        ),
        fit_line(
            'node, memory a followed engine',
            'bytes',
            _ENGINE_COUNTS,
            [
                measure_allocated_bytes(partial(_build_engine_views, size))
                for size in _ENGINE_COUNTS
            ],
        ),
        *asyncio.run(_process_slopes()),
    ]


def _engine_slope(name: str, run: Callable[[int], None]) -> Slope:
    return fit_line(
        f'node, processor time of {name}',
        'µs',
        _ENGINE_COUNTS,
        [
            min_cpu_time_us(partial(run, size)) / _REPEATS
            for size in _ENGINE_COUNTS
        ],
    )


def _build_engine_views(size: int) -> list[EngineView]:
    return [
        EngineView(
            id=f'i-{number:010x}',
            service='language',
            address=f'10.1.64.{number}:8627',
            zone='zone-a',
            slots=_SLOTS,
            weights={'roll-advisor': 1},
        )
        for number in range(size)
    ]


def _choose_engines(size: int) -> None:
    views = _build_engine_views(size)
    rng = random.Random(_SEED)
    request_size = ModelRequestSize(
        prompt_tokens=_PROMPT_TOKENS,
        output_tokens=60,
        shared_prefix_tokens=_SHARED_PREFIX_TOKENS,
        affinity_key='part',
    )
    placement_context = PlacementContext(
        own_zone='zone-a',
        cache_capacity_tokens=_CACHE_CAPACITY_TOKENS,
        short_prompt_fractions={},
        prefix_hit_saving=1.0,
        max_queued_tokens=_MAX_QUEUED_TOKENS,
        now_s=1.0,
    )
    for _ in range(_REPEATS):
        choose_model_engine(
            request_size, views, placement_context=placement_context, rng=rng
        )


def _exchange_peer_states(size: int) -> None:
    occupancy = Occupancy(
        attempts=3,
        uncached_tokens=_PROMPT_TOKENS,
        kv_tokens=_MAX_QUEUED_TOKENS,
    )
    state = PeerState(
        name='vm-1',
        zone='zone-a',
        occupancy={view.id: occupancy for view in _build_engine_views(size)},
        work_totals=WorkTotals(
            short_prompt_work=_PROMPT_TOKENS,
            long_prompt_work=_MAX_QUEUED_TOKENS,
        ),
    )
    for _ in range(_REPEATS):
        peer_state_from_bytes(peer_state_to_bytes(state, 0), 0)


def _decode_configuration(team_count: int) -> None:
    document = orjson.loads(_CONFIGURATION.read_bytes())
    document['tenants'] = [
        {'name': f'team-{number}', 'api_keys': [f'key-{number}']}
        for number in range(team_count)
    ]
    decode_operator_record('config', orjson.dumps(document)).unwrap()


async def _process_slopes() -> list[Slope]:
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory)) as fleet:
            return await _measure_fleet(fleet)


async def _measure_fleet(fleet: Fleet) -> list[Slope]:
    fleet.configure(orjson.loads(_CONFIGURATION.read_bytes()))
    for service, model in (('language', 'roll-advisor'), ('desk', '')):
        options = EngineOptions(
            id=f'{service}-1',
            service=service,
            zone='zone-a',
            model=model,
            slots=_CONCURRENCY,
            event_s=0,
        )
        await fleet.add_engine(options)
    node = await fleet.add_node('zone-a')
    async with aiohttp.ClientSession() as session:
        await wait_for_condition(partial(node.is_ready, session), 'ready')
        return [
            _resident_memory(node),
            await _slope(
                'a plain request',
                node,
                _REQUEST_COUNTS,
                partial(_send_requests, session, node, is_stream=False),
            ),
            await _slope(
                'a relayed event',
                node,
                _EVENT_COUNTS,
                partial(_send_streams, session, fleet, node),
                divisor=_STREAM_COUNT,
            ),
        ]


def _resident_memory(node: FleetNode) -> Slope:
    return Slope(
        name='node, resident once ready',
        unit='bytes',
        sizes=(1,),
        slope=read_resident_bytes(node.process.pid),
        intercept=0,
        residual=0,
    )


async def _slope(
    name: str,
    node: FleetNode,
    sizes: tuple[int, ...],
    run: Callable[[int], Awaitable[None]],
    *,
    divisor: int = 1,
) -> Slope:
    measured = []
    for size in sizes:
        before_s = process_cpu_time_s(node.process.pid)
        await run(size)
        used_s = process_cpu_time_s(node.process.pid) - before_s
        measured.append(used_s * _US_PER_S / divisor)
    return fit_line(f'node, {name}', 'µs', sizes, measured)


async def _send_streams(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    node: FleetNode,
    events: int,
) -> None:
    for engine in fleet.engines:
        engine.options.events = events
    await _send_requests(session, node, _STREAM_COUNT, is_stream=True)


async def _send_requests(
    session: aiohttp.ClientSession,
    node: FleetNode,
    count: int,
    *,
    is_stream: bool,
) -> None:
    semaphore = asyncio.Semaphore(_CONCURRENCY)
    await asyncio.gather(
        *(
            _send_request(session, node, semaphore, is_stream=is_stream)
            for _ in range(count)
        ),
    )


async def _send_request(
    session: aiohttp.ClientSession,
    node: FleetNode,
    semaphore: asyncio.Semaphore,
    *,
    is_stream: bool,
) -> None:
    headers = {
        'Host': 'language.example' if is_stream else 'desk.example',
        'Attempt-Id': os.urandom(6).hex(),
        'Authorization': 'Bearer key-of-till-rolls',
        'Deadline-Ms': '5000',
    }
    if is_stream:
        headers.update(Model='roll-advisor')
        headers['Token-Counts'] = '900,20'
    path = 'advice' if is_stream else 'lookup'
    async with (
        semaphore,
        session.request(
            'POST' if is_stream else 'GET',
            f'{node.url}/{path}/1',
            headers=headers,
            data=b'{}' if is_stream else None,
        ) as response,
    ):
        await response.read()
        response.raise_for_status()
