"""Measure CPU time and resident memory of router and control daemons."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import aiohttp

from emulator.cluster import (
    ChildProcess,
    Cluster,
    ClusterOptions,
    running_cluster,
)
from emulator._slope import Slope, fit_line

_EXAMPLE = Path(__file__).resolve().parent.parent / 'examples' / 'sahel.toml'
_HEADERS = (('Authorization', 'Bearer key-till-rolls'),)
_CLOCK_TICK_S = 1 / os.sysconf('SC_CLK_TCK')
_US_PER_S = 1_000_000
_CONCURRENCY = 8
_STAT_USER_TIME_FIELD = 11
_STATM_RESIDENT_FIELD = 1
_REQUEST_COUNTS = (100, 300, 600)
_PIECE_COUNTS = (10, 60, 120)
_STREAM_COUNT = 60
_QUESTION_REPEATS = 20
_QUESTION = ''.join(
    f'Which roll fits printer {number}? ' for number in range(_QUESTION_REPEATS)
)


def measure_processes() -> list[Slope]:
    """Return the costs of requests, pieces and keyed orders.

    CPU time is in µs, resident memory in bytes.
    """
    options = ClusterOptions(example=_EXAMPLE, zones=('plateau',))
    with running_cluster(options) as cluster:
        node = cluster.nodes[0]
        send_completions = partial(_send_completions, cluster, pieces=1)
        send_orders = partial(_send_orders, cluster)
        return [
            _resident_memory('router, resident at start', node.router),
            _resident_memory('control, resident at start', node.control),
            _request_slope(
                'router, a completion of one piece',
                node.router,
                send_completions,
            ),
            _request_slope(
                'control, a lookup of 6 engines', node.control, send_completions
            ),
            _piece_slope(cluster),
            _request_slope('router, a keyed order', node.router, send_orders),
            _request_slope('control, a keyed order', node.control, send_orders),
        ]


def process_cpu_time_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = [
        int(field)
        for field in fields[_STAT_USER_TIME_FIELD : _STAT_USER_TIME_FIELD + 2]
    ]
    return sum(ticks) * _CLOCK_TICK_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    statm = Path(f'/proc/{pid}/statm')
    pages = int(
        statm.read_text(encoding='utf-8').split()[_STATM_RESIDENT_FIELD]
    )
    return pages * os.sysconf('SC_PAGE_SIZE')


def _resident_memory(name: str, process: ChildProcess) -> Slope:
    return Slope(
        name=name,
        unit='bytes',
        sizes=(1,),
        slope=read_resident_bytes(process.popen.pid),
        intercept=0,
        residual=0,
    )


def _request_slope(
    name: str,
    process: ChildProcess,
    run: Callable[[int], Awaitable[None]],
) -> Slope:
    measured = []
    for size in _REQUEST_COUNTS:
        before_s = process_cpu_time_s(process.popen.pid)
        asyncio.run(run(size))
        measured.append(
            (process_cpu_time_s(process.popen.pid) - before_s) * _US_PER_S
        )
    return fit_line(name, 'µs', _REQUEST_COUNTS, measured)


def _piece_slope(cluster: Cluster) -> Slope:
    router = cluster.nodes[0].router
    measured = []
    for pieces in _PIECE_COUNTS:
        before_s = process_cpu_time_s(router.popen.pid)
        asyncio.run(_send_completions(cluster, _STREAM_COUNT, pieces=pieces))
        used_s = process_cpu_time_s(router.popen.pid) - before_s
        measured.append(used_s * _US_PER_S / _STREAM_COUNT)
    return fit_line(
        'router, a relayed piece',
        'µs',
        _PIECE_COUNTS,
        measured,
    )


async def _send_completions(
    cluster: Cluster, count: int, *, pieces: int
) -> None:
    url = f'{cluster.nodes[0].router.url}/v1/chat/completions'
    body = {
        'model': 'roll-advisor',
        'stream': True,
        'max_tokens': pieces,
        'messages': [{'role': 'user', 'content': _QUESTION}],
    }
    await _send_requests(count, 'POST', url, body, keyed=False)


async def _send_orders(cluster: Cluster, count: int) -> None:
    url = f'{cluster.nodes[0].router.url}/services/orders/orders'
    await _send_requests(count, 'POST', url, {'pallets': 1}, keyed=True)


async def _send_requests(
    count: int,
    method: str,
    url: str,
    body: dict[str, object],
    *,
    keyed: bool,
) -> None:
    semaphore = asyncio.Semaphore(_CONCURRENCY)
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _send_request(
                    session,
                    semaphore,
                    session.request(
                        method,
                        url,
                        json=body,
                        headers=_headers(count, number, keyed=keyed),
                    ),
                )
                for number in range(count)
            )
        )


def _headers(count: int, number: int, *, keyed: bool) -> dict[str, str]:
    headers = dict(_HEADERS)
    if keyed:
        headers['Idempotency-Key'] = f'{os.getpid()}-{count}-{number}'
    return headers


async def _send_request(
    session: aiohttp.ClientSession,
    semaphore: asyncio.Semaphore,
    call: object,
) -> None:
    async with semaphore, call as response:
        await response.read()
