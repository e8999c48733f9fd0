"""Check that clients and engines that read slowly hold up nobody else.

Many clients take nothing of their streams, or many engines nothing of their
uploads, at a VM with the memory of the smallest one. They run in a process of
their own, beside the quick requests.
"""

import asyncio
import contextlib
import time
from typing import Any

import attrs

from emulator.fleet_engine import FleetEngine
from tests.background_tasks import running
from tests.fleet_builders import (
    MODEL,
    build_configuration,
    build_engine,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import request_service
from tests.integration.test_fleet_backends import resident_bytes
from tests.slow_peers import (
    LateAnswers,
    LateRequests,
    ServedEngine,
    running_slow_peers,
)

_READERS = 200
_UPLOADS = 50
_ENGINES = 4
_MEMORY_BYTES = 80_000_000
_QUICK_S = 1.0
_QUICK_PAUSE_S = 0.05
_SLOW_S = 3.0
_LIMIT_S = 40.0
_EVENTS = 20
_EVENT_S = 0.1
_PADDING_BYTES = 20_000
_UPLOAD_BYTES = 95_000
_LONG_READERS = 40
_LONG_EVENTS = 40
_LONG_EVENT_S = 0.05
_LONG_PADDING_BYTES = 100_000


@attrs.define(kw_only=True)
class Watch:
    """Hold the slowest quick request and the most memory of a VM."""

    slowest_s: float = 0.0
    peak_bytes: int = 0
    statuses: set[int] = attrs.field(factory=set)

    async def ask_again_and_again(self, http, node) -> None:
        """Send quick requests until cancelled."""
        number = 0
        while True:
            number += 1
            began_s = time.monotonic()
            status, _, _ = await request_service(
                http, node, f'quick-{number}', '/look/1', 'GET'
            )
            self.statuses.add(status)
            self.slowest_s = max(self.slowest_s, time.monotonic() - began_s)
            self.peak_bytes = max(self.peak_bytes, resident_bytes(node))
            await asyncio.sleep(_QUICK_PAUSE_S)


def register_engines(fleet, **changes: Any) -> list[ServedEngine]:
    """Register engines that another process is to serve."""
    served = []
    for number in range(_ENGINES):
        options = build_engine(number, slots=_READERS, **changes)
        engine = FleetEngine(options)
        engine.address = f'{fleet.address_prefix}{100 + number}:8000'
        fleet.register(engine)
        fields = {
            name: field
            for name, field in attrs.asdict(options).items()
            if isinstance(field, str | int | float)
        }
        served.append(ServedEngine(address=engine.address, options=fields))
    return served


@contextlib.asynccontextmanager
async def start_node(fleet, http, **changes: Any):
    """Yield a VM and the peers that hold its four engines."""
    configuration = build_configuration(2)
    engine = configuration['services'][0]
    engine['max_connections'] = _READERS
    engine['engine'] = {
        'slots': _READERS,
        'kv_capacity_tokens': 10_000_000,
        'models': [{'name': MODEL}],
    }
    async with running_slow_peers(register_engines(fleet, **changes)) as peers:
        node = await start_single_node(fleet, engines=0, plain=1)
        fleet.configure(configuration)
        await wait_until_ready([node], http)
        await asyncio.sleep(2)
        yield node, peers


async def watch_beside(
    http, node, peers, **changes: Any
) -> tuple[Watch, LateAnswers]:
    """Return what quick requests met beside late readers, and the latter."""
    watch = Watch()
    requests = LateRequests(host=node.ip, port=node.port, **changes)
    async with (
        running(watch.ask_again_and_again(http, node)),
        asyncio.timeout(_LIMIT_S),
    ):
        answers = await peers.send(requests)
    return watch, answers


# Guards against readers that fill the memory of the VM, delay others, or cost
# their engines a second run.
async def test_slow_readers_of_streams(fleet, http):
    async with start_node(
        fleet,
        http,
        events=_EVENTS,
        event_s=_EVENT_S,
        padding_bytes=_PADDING_BYTES,
    ) as (node, peers):
        watch, answers = await watch_beside(
            http, node, peers, count=_READERS, wait_s=_SLOW_S
        )
    found = (watch, answers)
    assert watch.statuses == {200}, found
    assert watch.peak_bytes < _MEMORY_BYTES, found
    assert watch.slowest_s < _QUICK_S, found
    assert answers.whole == _READERS, found
    assert answers.most_runs == 1, found


# Guards against the same by engines that read their uploads late.
async def test_slow_engines_that_read_uploads(fleet, http):
    async with start_node(fleet, http, queue_s=_SLOW_S) as (node, peers):
        watch, answers = await watch_beside(
            http,
            node,
            peers,
            count=_UPLOADS,
            wait_s=0.0,
            body_bytes=_UPLOAD_BYTES,
        )
    found = (watch, answers)
    assert watch.statuses == {200}, found
    assert watch.peak_bytes < _MEMORY_BYTES, found
    assert watch.slowest_s < _QUICK_S, found
    assert answers.whole == _UPLOADS, found


# Guards against what is read of long streams while their clients read nothing.
async def test_slow_readers_of_long_streams(fleet, http):
    async with start_node(
        fleet,
        http,
        events=_LONG_EVENTS,
        event_s=_LONG_EVENT_S,
        padding_bytes=_LONG_PADDING_BYTES,
    ) as (node, peers):
        watch, answers = await watch_beside(
            http, node, peers, count=_LONG_READERS, wait_s=_SLOW_S
        )
    found = (watch, answers)
    assert watch.statuses == {200}, found
    assert watch.peak_bytes < _MEMORY_BYTES, found
    assert watch.slowest_s < _QUICK_S, found
    assert answers.whole == _LONG_READERS, found
    assert answers.most_runs == 1, found
