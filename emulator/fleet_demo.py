"""Run VMs on the stand-in of the users' platform and send them requests.

Weights are named anew and one VM is shut down while requests arrive.
"""

import asyncio
import functools
import itertools
import tempfile
import time
from pathlib import Path

import aiohttp
import attrs
import orjson

from emulator.fleet import Fleet, running_fleet, wait_until
from emulator.fleet_engine import EngineOptions

_CONFIGURATION = (
    Path(__file__).resolve().parent.parent / 'examples' / 'fleet.json'
)
_ZONES = ('plateau', 'hann', 'rufisque')
_MODEL = 'roll-advisor'
_ENGINE_SERVICE = 'language'
_PLAIN_SERVICE = 'desk'
_KEY = 'key-of-till-rolls'
_REQUESTS = 100
_ROLLOUT_AT = 30
_SHUTDOWN_AT = 60
_CONCURRENCY = 12
_STREAMS_OF_THREE = 2
_TIMEOUT_S = 20
_NEW_VERSION = 2


@attrs.define(kw_only=True)
class FleetTotals:
    """Add up what clients saw; ``weights`` counts engines on new ones."""

    complete: int = 0
    refused: int = 0
    weights: int = 0
    exit_code: int = -1
    first_bytes_s: list[float] = attrs.field(factory=list)


async def fleet_totals() -> FleetTotals:
    """Return what the clients of a small deployment saw."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory)) as fleet:
            return await _totals_of(fleet)


async def _totals_of(fleet: Fleet) -> FleetTotals:
    totals = FleetTotals()
    await _start(fleet)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True),
        timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
    ) as session:
        for node in fleet.nodes:
            await wait_until(
                functools.partial(node.is_ready, session),
                f'{node.name} ready',
            )
        await _send_all(fleet, session, totals)
    await wait_until(
        lambda: len(_renewed(fleet)) == len(_model_engines(fleet)),
        'new weights on all engines',
    )
    totals.weights = len(_renewed(fleet))
    return totals


async def _start(fleet: Fleet) -> None:
    fleet.configure(orjson.loads(_CONFIGURATION.read_bytes()))
    for number, zone in enumerate(_ZONES):
        await fleet.add_engine(
            EngineOptions(
                id=f'engine-{number}',
                service=_ENGINE_SERVICE,
                zone=zone,
                model=_MODEL,
            ),
        )
        await fleet.add_engine(
            EngineOptions(
                id=f'desk-{number}',
                service=_PLAIN_SERVICE,
                zone=zone,
            ),
        )
        await fleet.add_node(zone)


async def _send_all(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    totals: FleetTotals,
) -> None:
    limit = asyncio.Semaphore(_CONCURRENCY)
    urls = itertools.cycle([node.url for node in fleet.nodes])
    stopping: asyncio.Task[int] | None = None
    async with asyncio.TaskGroup() as group:
        for number in range(_REQUESTS):
            await limit.acquire()
            if number == _ROLLOUT_AT:
                fleet.name_weights(_MODEL, _NEW_VERSION)
            if number == _SHUTDOWN_AT:
                staying = fleet.nodes[1:]
                urls = itertools.cycle([node.url for node in staying])
                stopping = group.create_task(fleet.nodes[0].stop())
            sending = group.create_task(
                _send(session, next(urls), number, totals),
            )
            sending.add_done_callback(functools.partial(_release, limit))
    if stopping is not None:
        totals.exit_code = stopping.result()


def _release(limit: asyncio.Semaphore, sending: asyncio.Task[None]) -> None:
    limit.release()


async def _send(
    session: aiohttp.ClientSession,
    url: str,
    number: int,
    totals: FleetTotals,
) -> None:
    is_stream = number % (_STREAMS_OF_THREE + 1) < _STREAMS_OF_THREE
    sent_s = time.monotonic()
    async with session.request(
        'POST' if is_stream else 'GET',
        f'{url}/advice/{number}' if is_stream else f'{url}/lookup/{number}',
        headers=_headers(number, is_stream=is_stream),
        data=b'{"prompt": "which roll fits?"}' if is_stream else None,
    ) as response:
        await response.content.readany()
        totals.first_bytes_s.append(time.monotonic() - sent_s)
        await response.read()
        if response.ok:
            totals.complete += 1
        else:
            totals.refused += 1


def _headers(number: int, *, is_stream: bool) -> dict[str, str]:
    headers = {
        'Host': 'language.example' if is_stream else 'desk.example',
        'Attempt-Id': f'demo-{number}',
        'Authorization': f'Bearer {_KEY}',
        'Deadline-Ms': '5000',
    }
    if is_stream:
        headers['Model'] = _MODEL
        headers['Token-Counts'] = '900,20'
    return headers


def _model_engines(fleet: Fleet) -> list[object]:
    return [engine for engine in fleet.engines if engine.options.model]


def _renewed(fleet: Fleet) -> list[object]:
    return [
        engine
        for engine in _model_engines(fleet)
        if engine.version == _NEW_VERSION
    ]
