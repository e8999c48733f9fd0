"""Serve engines, and send requests whose answers are read late, as a process.

What this takes of the processor delays no quick request of the test beside it.
A line of JSON on standard input begins the requests, one on standard output
tells how they ended.
"""

import asyncio
import contextlib
import json
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
from aiohttp import web

from emulator.fleet_engine import EngineOptions, FleetEngine
from tests.fleet_builders import build_raw_request
from tests.raw_clients import parse_bytes

_DIRECTORY = Path(__file__).resolve().parent.parent
_RECEIVE_BUFFER_BYTES = 4096
_READ_BYTES = 65_536
_DEADLINE = b'Deadline-Ms: 5000'
_LONG_DEADLINE = b'Deadline-Ms: 60000'
_HEAD_END = b'\r\n\r\n'


@attrs.frozen(kw_only=True)
class ServedEngine:
    """Describe one engine of the process."""

    address: str
    options: dict[str, Any]


@attrs.frozen(kw_only=True)
class LateRequests:
    """Describe requests at a VM whose answers are read after ``wait_s``."""

    host: str
    port: int
    count: int
    wait_s: float
    body_bytes: int = 2


@attrs.frozen(kw_only=True)
class LateAnswers:
    """Count whole answers, all runs, and the most runs of one request."""

    whole: int
    runs: int
    most_runs: int


@attrs.define(kw_only=True)
class SlowPeers:
    """Control the process from the test."""

    process: asyncio.subprocess.Process

    async def send(self, requests: LateRequests) -> LateAnswers:
        """Send requests and return how they ended."""
        line = json.dumps(attrs.asdict(requests))
        self.process.stdin.write(f'{line}\n'.encode())
        return LateAnswers(**json.loads(await self.process.stdout.readline()))


@contextlib.asynccontextmanager
async def running_slow_peers(
    engines: list[ServedEngine],
) -> AsyncIterator[SlowPeers]:
    """Serve engines in a process for the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.slow_peers',
        json.dumps([attrs.asdict(engine) for engine in engines]),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        cwd=_DIRECTORY,
    )
    try:
        await process.stdout.readline()
        yield SlowPeers(process=process)
    finally:
        process.kill()
        await process.wait()


async def _read_late(requests: LateRequests, number: int) -> bytes:
    """Send a request, take nothing for a while and then all of its answer."""
    loop = asyncio.get_running_loop()
    body = b'u' * requests.body_bytes
    request = build_raw_request('/ask/1', f'slow-{number}', body).replace(
        _DEADLINE, _LONG_DEADLINE
    )
    received = []
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        await loop.sock_connect(connection, (requests.host, requests.port))
        await loop.sock_sendall(
            connection,
            request.replace(_HEAD_END, b'\r\nConnection: close\r\n\r\n', 1),
        )
        await asyncio.sleep(requests.wait_s)
        with contextlib.suppress(ConnectionError):
            while chunk := await loop.sock_recv(connection, _READ_BYTES):
                received.append(chunk)
    return b''.join(received)


def _is_whole(answer: bytes) -> bool:
    if not answer:
        return False
    parsed = parse_bytes(answer)
    return parsed.status == 200 and parsed.is_complete


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def _serve(served: ServedEngine) -> FleetEngine:
    engine = FleetEngine(EngineOptions(**served.options))
    runner = web.AppRunner(
        engine.application(), access_log=None, handler_cancellation=True
    )
    await runner.setup()
    host, _, port = served.address.partition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return engine


async def _run() -> None:
    described = json.loads(sys.argv[1])
    engines = [await _serve(ServedEngine(**engine)) for engine in described]
    _tell('ready')
    line = await asyncio.to_thread(sys.stdin.readline)
    requests = LateRequests(**json.loads(line))
    answers = await asyncio.gather(
        *(_read_late(requests, number) for number in range(requests.count))
    )
    runs = Counter[str]()
    for engine in engines:
        runs.update(engine.count_executions_by_attempt())
    counted = LateAnswers(
        whole=sum(_is_whole(answer) for answer in answers),
        runs=sum(runs.values()),
        most_runs=max(runs.values(), default=0),
    )
    _tell(json.dumps(attrs.asdict(counted)))


if __name__ == '__main__':
    asyncio.run(_run())
