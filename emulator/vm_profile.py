"""Measure what the daemon of one VM spends in a large fleet.

The load is added step by step and the processor time of each step is printed:
nothing, load reports of other VMs, requests, a rollout of weights whose loads
are not announced, so that engines reject attempts. With ``--profile`` the
last step goes on for a while under a profiler, which prints where time goes.
"""

import argparse
import asyncio
import os
import pstats
import random
import signal
import sys
import tempfile
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import orjson
from tabulate import tabulate

from arbutusbay.hashing import rank_by_rendezvous_hash
from emulator._process_costs import process_cpu_time_s
from emulator._reporting_peers import (
    PeerFleet,
    ReportingPeers,
    name_zone_peers,
)
from emulator.fleet import Fleet, FleetNode, running_fleet, wait_for_condition
from emulator.fleet_engine import EngineOptions, FleetEngine

_ROOT = Path(__file__).resolve().parent
_CONFIGURATION = _ROOT.parent / 'examples' / 'fleet.json'
_ZONE = 'zone-0'
_MODEL = 'roll-advisor'
_ZONE_PEERS = 38
_OTHER_ZONES = 4
_MODEL_ENGINES = 30
_PLAIN_SERVERS = 4
_TEAMS = 100
_SLOTS = 24
_EVENTS = 30
_EVENT_S = 0.02
_REQUESTS_PER_S = 3
_PLAIN_SHARE = 0.25
_PROFILED_LINES = 45
_SETTLING_S = 3.0
_LOADS_AT_ONCE = 8
_LOAD_S = 0.6
_STEP_S = 20.0
_PROMPT_TOKENS = (300, 9000)
_SEED = 1


@attrs.define(kw_only=True)
class StepCost:
    """Hold what the VM spent in one step of the load."""

    load: str
    seconds: float
    cpu_s: float
    switches: int
    reports_received: int
    reports_sent: int
    requests: int
    failures: int
    rejections: int
    log_lines: int


@attrs.define(kw_only=True)
class ClientCounts:
    """Count the requests that clients sent, and those that failed."""

    sent: int = 0
    failed: int = 0


class VmLoad:
    """Drive one VM of a fleet and measure it step by step."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        node: FleetNode,
        peers: ReportingPeers,
        session: aiohttp.ClientSession,
        step_s: float,
    ) -> None:
        """Measure ``node`` for ``step_s`` seconds a step."""
        self.fleet = fleet
        self.node = node
        self.peers = peers
        self.session = session
        self.step_s = step_s
        self.rng = random.Random(_SEED)
        self.clients = ClientCounts()
        self.tasks: set[asyncio.Task[None]] = set()
        self.version = 1

    async def measure_step(self, load: str) -> StepCost:
        """Return what the present load costs after it has settled."""
        await asyncio.sleep(_SETTLING_S)
        before = self._snapshot(load)
        await asyncio.sleep(self.step_s)
        after = self._snapshot(load)
        return StepCost(
            load=load,
            **{
                name: getattr(after, name) - getattr(before, name)
                for name in attrs.fields_dict(StepCost)
                if name != 'load'
            },
        )

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a part of the load until ``stop``."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """End all parts of the load."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def send_requests(self) -> None:
        """Send requests at random moments."""
        while True:
            await asyncio.sleep(self.rng.expovariate(_REQUESTS_PER_S))
            self.start(self._send_request())

    async def roll_out_versions(self) -> None:
        """Let all engines load one version after the other."""
        while True:
            self.version += 1
            self.fleet.set_target_weights_version(_MODEL, self.version)
            engines = [
                engine for engine in self.fleet.engines if engine.options.model
            ]
            for start in range(0, len(engines), _LOADS_AT_ONCE):
                for engine in engines[start : start + _LOADS_AT_ONCE]:
                    await self._order_load(engine)
                await asyncio.sleep(_LOAD_S)

    async def _order_load(self, engine: FleetEngine) -> None:
        async with self.session.post(
            f'http://{engine.address}/arbutusbay/order',
            headers={'Expect-Instance': engine.options.id},
            json={
                'version': self.version,
                'holder': 'other',
                'fencing_token': engine.highest_fencing_token + 1,
            },
        ) as response:
            await response.read()

    async def _send_request(self) -> None:
        is_plain = self.rng.random() < _PLAIN_SHARE
        headers = {
            'Host': 'desk.example' if is_plain else 'language.example',
            'Attempt-Id': os.urandom(6).hex(),
            'Authorization': f'Bearer key-{self.rng.randrange(_TEAMS)}',
            'Deadline-Ms': '5000',
        }
        if not is_plain:
            headers['Model'] = _MODEL
            headers['Token-Counts'] = (
                f'{self.rng.randint(*_PROMPT_TOKENS)},{_EVENTS}'
            )
        self.clients.sent += 1
        try:
            async with self.session.request(
                'GET' if is_plain else 'POST',
                f'{self.node.url}/{"lookup" if is_plain else "advice"}/1',
                headers=headers,
                data=None if is_plain else b'{}',
            ) as response:
                await response.read()
                self.clients.failed += not response.ok
        except aiohttp.ClientError:
            self.clients.failed += 1

    def _snapshot(self, load: str) -> StepCost:
        pid = self.node.process.pid
        return StepCost(
            load=load,
            seconds=asyncio.get_running_loop().time(),
            cpu_s=process_cpu_time_s(pid),
            switches=_voluntary_switches(pid),
            reports_received=self.peers.sent_count,
            reports_sent=self.peers.received_count,
            requests=self.clients.sent,
            failures=self.clients.failed,
            rejections=sum(
                len(engine.rejected_at_s) for engine in self.fleet.engines
            ),
            log_lines=self.node.log_path.read_bytes().count(b'\n'),
        )


async def _measure(step_s: float, profile_path: Path | None) -> list[StepCost]:
    with tempfile.TemporaryDirectory() as directory:
        async with (
            running_fleet(Path(directory)) as fleet,
            aiohttp.ClientSession() as session,
        ):
            await _add_engines(fleet)
            node = await _add_follower(fleet, session, profile_path)
            load = VmLoad(
                fleet=fleet,
                node=node,
                peers=await _open_peers(fleet),
                session=session,
                step_s=step_s,
            )
            try:
                return await _measure_steps(load, profile_path)
            finally:
                await load.stop()


async def _measure_steps(
    load: VmLoad, profile_path: Path | None
) -> list[StepCost]:
    costs = [await load.measure_step('none')]
    load.start(load.peers.run(load.node.peer_address))
    costs.append(await load.measure_step('and reports'))
    load.start(load.send_requests())
    costs.append(await load.measure_step('and requests'))
    load.start(load.roll_out_versions())
    costs.append(await load.measure_step('and a rollout'))
    if profile_path:
        await _write_profile(load, profile_path)
    return costs


async def _write_profile(load: VmLoad, path: Path) -> None:
    load.node.process.send_signal(signal.SIGUSR1)
    await asyncio.sleep(load.step_s)
    load.node.process.send_signal(signal.SIGUSR1)
    await wait_for_condition(path.exists, 'profile')
    await load.node.stop()


async def _add_engines(fleet: Fleet) -> None:
    configuration = orjson.loads(_CONFIGURATION.read_bytes())
    configuration['tenants'] = [
        {'name': f'team-{number}', 'api_keys': [f'key-{number}']}
        for number in range(_TEAMS)
    ]
    fleet.configure(configuration)
    for number in range(_MODEL_ENGINES + _PLAIN_SERVERS):
        is_plain = number >= _MODEL_ENGINES
        await fleet.add_engine(
            EngineOptions(
                id=f'i-{number:08x}',
                service='desk' if is_plain else 'language',
                zone=f'zone-{number % (1 + _OTHER_ZONES)}',
                model='' if is_plain else _MODEL,
                slots=_SLOTS,
                events=_EVENTS,
                event_s=_EVENT_S,
                load_s=_LOAD_S,
            )
        )


async def _add_follower(
    fleet: Fleet, session: aiohttp.ClientSession, profile_path: Path | None
) -> FleetNode:
    """Return a VM that reads the store through another one, once ready."""
    command = ()
    if profile_path:
        command = ('-m', 'emulator._profiled_node', str(profile_path))
    nodes = [await fleet.add_node(_ZONE, command) for _ in range(2)]
    for node in nodes:
        await wait_for_condition(partial(node.is_ready, session), 'ready')
    order = rank_by_rendezvous_hash(
        'store-readers', [node.name for node in nodes]
    )
    return next(node for node in nodes if node.name == order[1])


async def _open_peers(fleet: Fleet) -> ReportingPeers:
    own_names = [node.name for node in fleet.nodes]
    zones = [f'zone-{number + 1}' for number in range(_OTHER_ZONES)]
    peers = ReportingPeers(
        fleet=PeerFleet(
            zone=_ZONE,
            zone_peers=name_zone_peers(_ZONE, own_names, _ZONE_PEERS),
            remote_peers=[
                f'{zone}/{number}'
                for zone in zones
                for number in range(_ZONE_PEERS + 2)
            ],
            other_zones=zones,
            engine_ids=[
                engine.options.id
                for engine in fleet.engines
                if engine.options.model
            ],
        )
    )
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: peers, local_addr=(f'{fleet.address_prefix}9', 0)
    )
    return peers


def _voluntary_switches(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    line = next(
        line
        for line in status.splitlines()
        if line.startswith('voluntary_ctxt_switches')
    )
    return int(line.split()[1])


def _format_costs(costs: list[StepCost]) -> str:
    names = [
        field.name
        for field in attrs.fields(StepCost)
        if field.name not in {'load', 'seconds'}
    ]
    rows = [
        [cost.load, *(getattr(cost, name) / cost.seconds for name in names)]
        for cost in costs
    ]
    return tabulate(
        rows,
        headers=['load, each a second', *names],
        floatfmt=('', '.4f', *('.1f' for _ in names[1:])),
    )


def main() -> int:
    """Measure all steps and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--step-s', type=float, default=_STEP_S)
    parser.add_argument(
        '--profile', type=Path, help='write and print a profile'
    )
    options = parser.parse_args()
    costs = asyncio.run(_measure(options.step_s, options.profile))
    sys.stdout.write(f'{_format_costs(costs)}\n')
    if options.profile:
        profile = pstats.Stats(str(options.profile))
        profile.sort_stats('cumulative').print_stats(_PROFILED_LINES)
    return 0


if __name__ == '__main__':
    sys.exit(main())
