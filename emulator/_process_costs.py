"""Measure processor time and memory of running daemons."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import aiohttp

from emulator._cluster import Cluster, ClusterOptions, Process, running_cluster
from emulator._slope import Slope, fit_line

_EXAMPLE = Path(__file__).resolve().parent.parent / 'examples' / 'sahel.toml'
_HEADERS = (('Authorization', 'Bearer key-till-rolls'),)
_TICK_S = 1 / os.sysconf('SC_CLK_TCK')
_US_PER_S = 1_000_000
_CONCURRENCY = 8
_USER_FIELD = 11
_RESIDENT_FIELD = 1
_REQUEST_SIZES = (100, 300, 600)
_PIECE_SIZES = (10, 60, 120)
_STREAMS = 60
_QUESTION_LINES = 20
_QUESTION = ''.join(
    f'Which roll fits printer {number}? ' for number in range(_QUESTION_LINES)
)


def measure_processes() -> list[Slope]:
    """Return slopes of requests, pieces, claims and resident memory."""
    options = ClusterOptions(example=_EXAMPLE, zones=('plateau',))
    with running_cluster(options) as cluster:
        node = cluster.nodes[0]
        ask = partial(_ask_many, cluster, pieces=1)
        book = partial(_book_many, cluster)
        return [
            _resident('router, resident at start', node.router),
            _resident('control, resident at start', node.control),
            _slope('router, a completion of one piece', node.router, ask),
            _slope('control, a lookup of 6 engines', node.control, ask),
            _piece_slope(cluster),
            _slope('router, a keyed order', node.router, book),
            _slope('control, a keyed order', node.control, book),
        ]


def processor_s(pid: int) -> float:
    """Return user and system seconds that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = [int(field) for field in fields[_USER_FIELD : _USER_FIELD + 2]]
    return sum(ticks) * _TICK_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = Path(f'/proc/{pid}/statm')
    pages = int(statm.read_text(encoding='utf-8').split()[_RESIDENT_FIELD])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _resident(name: str, process: Process) -> Slope:
    return Slope(
        name=name,
        unit='bytes',
        sizes=(1,),
        slope=resident_bytes(process.popen.pid),
        intercept=0,
        residual=0,
    )


def _slope(
    name: str,
    process: Process,
    run: Callable[[int], Awaitable[None]],
) -> Slope:
    measured = []
    for size in _REQUEST_SIZES:
        before_s = processor_s(process.popen.pid)
        asyncio.run(run(size))
        measured.append((processor_s(process.popen.pid) - before_s) * _US_PER_S)
    return fit_line(name, 'µs', _REQUEST_SIZES, measured)


def _piece_slope(cluster: Cluster) -> Slope:
    router = cluster.nodes[0].router
    measured = []
    for pieces in _PIECE_SIZES:
        before_s = processor_s(router.popen.pid)
        asyncio.run(_ask_many(cluster, _STREAMS, pieces=pieces))
        used_s = processor_s(router.popen.pid) - before_s
        measured.append(used_s * _US_PER_S / _STREAMS)
    return fit_line(
        'router, a relayed piece',
        'µs',
        _PIECE_SIZES,
        measured,
    )


async def _ask_many(cluster: Cluster, count: int, *, pieces: int) -> None:
    url = f'{cluster.nodes[0].router.url}/v1/chat/completions'
    body = {
        'model': 'roll-advisor',
        'stream': True,
        'max_tokens': pieces,
        'messages': [{'role': 'user', 'content': _QUESTION}],
    }
    await _send_many(count, 'POST', url, body, keyed=False)


async def _book_many(cluster: Cluster, count: int) -> None:
    url = f'{cluster.nodes[0].router.url}/services/orders/orders'
    await _send_many(count, 'POST', url, {'pallets': 1}, keyed=True)


async def _send_many(
    count: int,
    method: str,
    url: str,
    body: dict[str, object],
    *,
    keyed: bool,
) -> None:
    limit = asyncio.Semaphore(_CONCURRENCY)
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _send(
                    session,
                    limit,
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


async def _send(
    session: aiohttp.ClientSession,
    limit: asyncio.Semaphore,
    call: object,
) -> None:
    async with limit, call as response:
        await response.read()
