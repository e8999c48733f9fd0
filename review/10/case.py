"""A server's own 503 to an order that it ran reaches the client as a promise.

See ``claim.txt``. Eight servers of a plain service; one of them fails part of
its requests for 6.5 s, after it has run them.
"""

import asyncio
import os
import random
import sys
import time
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

from emulator.fleet_engine import EngineOptions, FleetEngine  # noqa: E402
from review.lib_2.deployment import (  # noqa: E402
    KEY,
    ZONES,
    CaseError,
    build_configuration,
    run_case,
)

HOST = 'kumo4.example'
SERVICE = 'comptoir'
FAILING_SHARE = 0.45
FAILING_S = 6.5
CALM_S = 2.0
LATER_S = 2.0
REQUESTS_PER_S = 20
# One of eight is within the share of 0.14 of the site file.
SERVERS = 8
PROMISES = (408, 421, 429, 503)


class OrderServer(FleetEngine):
    """Book orders; while it fails, report a part of them as failed.

    A failed one has run: it was booked. The answer has no ``Not-Executed``.
    """

    def __init__(self, options):
        super().__init__(options)
        self.is_failing = False
        self.rng = random.Random(54)

    async def _respond(self, request, fault):
        await asyncio.sleep(0.06)
        if self.is_failing and self.rng.random() < FAILING_SHARE:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                text='the stock is not reached',
                headers=self._response_headers(request, fault),
            )
        return await super()._respond(request, fault)


def configuration():
    document = build_configuration(1, [KEY])
    document['routes'].append(
        {
            'name': 'order-place',
            'host': HOST,
            'path_prefix': '/fiti832/',
            'kind': 'unsafe',
            'timeout_ms': 2000,
            'target_latency_ms': 300,
            'priority': 2,
            'service': SERVICE,
            'max_attempts': 1,
            'public': False,
            'sticky': False,
            'resumable': False,
        }
    )
    document['services'].append(
        {'name': SERVICE, 'health_check_path': '/health', 'max_connections': 257}
    )
    return document


async def play(deployed, http, has_trouble):
    record = deployed.record
    for number in range(SERVERS):
        await deployed.add_engine(
            EngineOptions(
                id=f'i-4f70{number}',
                service=SERVICE,
                zone=ZONES[number % len(ZONES)],
                slots=6,
            ),
            OrderServer,
        )
    deployed.store.append_document('keyed.op', 'config', configuration())
    for zone in ZONES:
        await deployed.add_machine(zone)
    await deployed.wait_until_ready(http)
    await asyncio.sleep(3.0)
    failing = deployed.engines[0]
    outcomes = []
    await send_orders(deployed, http, 'calm', CALM_S, outcomes)
    if any(status != 200 for _, status in outcomes):
        raise CaseError('orders fail without any trouble')
    if has_trouble:
        failing.is_failing = True
        record.write(f'{failing.options.id} fails {FAILING_SHARE} of its orders')
    await send_orders(deployed, http, 'grey', FAILING_S, outcomes)
    failing.is_failing = False
    await asyncio.sleep(LATER_S)
    broken = [
        (attempt_id, status)
        for attempt_id, status in outcomes
        if status in PROMISES and runs_of(deployed, attempt_id)
    ]
    for attempt_id, status in broken:
        record.write(
            f'REFUSED: {attempt_id} was answered {status} and ran at '
            f'{runs_of(deployed, attempt_id)}'
        )
    return bool(broken)


def runs_of(deployed, attempt_id):
    return [
        engine.options.id
        for engine in deployed.engines
        for run in engine.executions
        if run.attempt_id == attempt_id
    ]


async def send_orders(deployed, http, name, duration_s, outcomes):
    end_s = time.monotonic() + duration_s
    tasks = []
    number = 0
    while time.monotonic() < end_s:
        machine = deployed.machines[number % len(deployed.machines)]
        attempt_id = f'{name}-{number:03}'
        number += 1
        tasks.append(
            asyncio.create_task(
                order(deployed, http, machine, attempt_id, outcomes)
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def order(deployed, http, machine, attempt_id, outcomes):
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt_id,
        'Deadline-Ms': '4004',
        'Authorization': f'Bearer {KEY}',
    }
    try:
        async with http.post(
            f'{machine.url}/fiti832/ti23/2f',
            data=b'x' * 600,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=5),
        ) as response:
            await response.read()
            status = response.status
            stamp = response.headers.get('Response-Stamp', '')
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
        status, stamp = 0, ''
    outcomes.append((attempt_id, status))
    deployed.record.write(
        f'{attempt_id} to {machine.name}: {status}, stamp {stamp!r}, '
        f'ran at {runs_of(deployed, attempt_id)}'
    )


run_case(
    Path(__file__).resolve().parent,
    play,
    # TROUBLE=0 plays the same without the disruption.
    has_trouble=os.environ.get('TROUBLE', '1') != '0',
)
