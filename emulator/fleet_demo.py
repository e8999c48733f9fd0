"""Run a fleet of VMs on the emulated platform and send requests to it.

A rollout of new weights and the shutdown of one VM happen under load.
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

from emulator.fleet import Fleet, running_fleet, wait_for_condition
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
_ROLLOUT_AT_REQUEST = 30
_SHUTDOWN_AT_REQUEST = 60
_CONCURRENCY = 12
_STREAMS_PER_LOOKUP = 2
_TIMEOUT_S = 20
_NEW_VERSION = 2


@attrs.define(kw_only=True)
class FleetTotals:
    """Count the results that clients saw.

    ``weights`` counts the engines with the new weights; ``exit_code`` is that
    of the VM shut down, -1 before it has exited.
    """

    complete: int = 0
    refused: int = 0
    weights: int = 0
    exit_code: int = -1
    first_byte_times_s: list[float] = attrs.field(factory=list)


async def run_fleet_demo() -> FleetTotals:
    """Run the deployment and return the results that its clients saw."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(Path(directory)) as fleet:
            return await _run_deployment(fleet)


async def _run_deployment(fleet: Fleet) -> FleetTotals:
    totals = FleetTotals()
    await _start_deployment(fleet)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True),
        timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
    ) as session:
        for node in fleet.nodes:
            await wait_for_condition(
                functools.partial(node.is_ready, session),
                f'{node.name} ready',
            )
        await _send_requests(fleet, session, totals)
    await wait_for_condition(
        lambda: len(_updated_engines(fleet)) == len(_model_engines(fleet)),
        'new weights on all engines',
    )
    totals.weights = len(_updated_engines(fleet))
    return totals


async def _start_deployment(fleet: Fleet) -> None:
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


async def _send_requests(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    totals: FleetTotals,
) -> None:
    semaphore = asyncio.Semaphore(_CONCURRENCY)
    urls = itertools.cycle([node.url for node in fleet.nodes])
    shutdown_task: asyncio.Task[int] | None = None
    async with asyncio.TaskGroup() as group:
        for number in range(_REQUESTS):
            await semaphore.acquire()
            if number == _ROLLOUT_AT_REQUEST:
                fleet.set_target_weights_version(_MODEL, _NEW_VERSION)
            if number == _SHUTDOWN_AT_REQUEST:
                remaining_nodes = fleet.nodes[1:]
                urls = itertools.cycle([node.url for node in remaining_nodes])
                shutdown_task = group.create_task(fleet.nodes[0].stop())
            request_task = group.create_task(
                _send_request(session, next(urls), number, totals),
            )
            request_task.add_done_callback(
                functools.partial(_release, semaphore)
            )
    if shutdown_task is not None:
        totals.exit_code = shutdown_task.result()


def _release(
    semaphore: asyncio.Semaphore,
    request_task: asyncio.Task[None],
) -> None:
    semaphore.release()


async def _send_request(
    session: aiohttp.ClientSession,
    url: str,
    number: int,
    totals: FleetTotals,
) -> None:
    is_stream = number % (_STREAMS_PER_LOOKUP + 1) < _STREAMS_PER_LOOKUP
    sent_s = time.monotonic()
    async with session.request(
        'POST' if is_stream else 'GET',
        f'{url}/advice/{number}' if is_stream else f'{url}/lookup/{number}',
        headers=_headers(number, is_stream=is_stream),
        data=b'{"prompt": "which roll fits?"}' if is_stream else None,
    ) as response:
        await response.content.readany()
        totals.first_byte_times_s.append(time.monotonic() - sent_s)
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


def _updated_engines(fleet: Fleet) -> list[object]:
    return [
        engine
        for engine in _model_engines(fleet)
        if engine.version == _NEW_VERSION
    ]
