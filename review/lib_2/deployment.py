"""Run a small deployment on loopback addresses for the cases of a review.

The programs are started with the command of the deploy file, from the root of
the repository. The store and the engines are the project's own stand-ins, in
the event loop of this process. Engines write to the store every
``HEARTBEAT_S`` seconds, as the pages say.
"""

import asyncio
import contextlib
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import aiohttp
from aiohttp import web

from emulator.fleet_engine import EngineOptions, FleetEngine
from emulator.store import FleetStore

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ('plateau', 'hann', 'rufisque')
HEARTBEAT_S = 1.2
MODEL = 'daka510000'
ENGINE_SERVICE = 'redacteur'
HOST = 'jepu9.example'
KEY = 'ctnfzs989anu6wsjnban'
OTHER_KEY = 'bq7kzc204tnu1rvdmnpe'
PREFIX = '5c1e07a2:800,91bd3f06:410,e4402b7d:250'
_STORE_PORT = 8784
_ENGINE_PORT = 8108
_FRONTEND_PORT = 8782
_READY_PORT = 8789
_CONTROL_PORT = 8783
_FIRST_ENGINE_HOST = 100
_FIRST_VM_HOST = 10
_START_LIMIT_S = 30.0
_CASE_LIMIT_S = 105.0

# The bounds are those of the sheet of psr-caisse (SYSTEM.md).
SETTINGS = """\
node = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "dakar"
internal_ports = [7340, 7355]
seeds = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"]
[zones]
plateau = "dakar"
hann = "dakar"
rufisque = "dakar"
[listen]
frontend = "{ip}:8782"
ready = "{ip}:8789"
control_plane = "{ip}:8783"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 136
fd_limit = 1535
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
fail_closed = true
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 135
recovery_s = 12
transit_ms = 120
reuse_window_s = 10
fencing_required = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
min_ttl_ms = 1000
"""


class CaseError(Exception):
    """Report that a case could not be run."""


class Record:
    """Write what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open('w', encoding='utf-8')
        self.began_s = time.monotonic()

    def write(self, text: str) -> None:
        line = f'{time.monotonic() - self.began_s:8.3f}  {text}'
        self.file.write(f'{line}\n')
        self.file.flush()
        print(line)


def free_prefix() -> str:
    """Return the first three octets of loopback addresses that are unused."""
    for _ in range(1000):
        prefix = f'127.{random.randint(60, 250)}.{random.randint(1, 250)}.'
        with contextlib.ExitStack() as probes:
            try:
                for host, port in (
                    ('1', _STORE_PORT),
                    (str(_FIRST_ENGINE_HOST), _ENGINE_PORT),
                    (str(_FIRST_VM_HOST), _FRONTEND_PORT),
                ):
                    probe = probes.enter_context(socket.socket())
                    probe.bind((f'{prefix}{host}', port))
            except OSError:
                continue
        return prefix
    raise CaseError('no free loopback addresses')


class Machine:
    """Control the program of one machine."""

    def __init__(self, name: str, zone: str, ip: str, directory: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.settings_path = directory / f'{name}.toml'
        self.log_path = directory / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        return f'http://{self.ip}:{_FRONTEND_PORT}'

    async def start(self, command: list[str]) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    **environment,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'ARBUTUSBAY_SETTINGS': str(self.settings_path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self, http: aiohttp.ClientSession) -> bool:
        url = f'http://{self.ip}:{_READY_PORT}/arbutusbay/readiness'
        try:
            async with http.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """Hold a store, engines and machines."""

    def __init__(self, directory: Path, record: Record) -> None:
        self.directory = directory
        self.record = record
        self.prefix = free_prefix()
        self.store = FleetStore()
        self.engines: list[FleetEngine] = []
        self.silent_writers: set[str] = set()
        self.machines: list[Machine] = []
        self.former: list[Machine] = []
        self.runners: list[web.AppRunner] = []
        self.tasks: list[asyncio.Task[None]] = []
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['node']['run'])
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CaseError('target/deps is missing: run the build first')

    async def serve(self, application: web.Application, address: str) -> None:
        host, _, port = address.partition(':')
        runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self.runners.append(runner)

    async def start_store(self) -> None:
        await self.serve(
            self.store.application(), f'{self.prefix}1:{_STORE_PORT}'
        )

    async def add_engine(
        self,
        options: EngineOptions,
        kind: type[FleetEngine] = FleetEngine,
    ) -> FleetEngine:
        engine = kind(options)
        number = _FIRST_ENGINE_HOST + len(self.engines)
        engine.address = f'{self.prefix}{number}:{_ENGINE_PORT}'
        self.engines.append(engine)
        await self.serve(engine.application(), engine.address)
        self.tasks.append(asyncio.create_task(self._beat(engine)))
        return engine

    async def add_machine(self, zone: str) -> Machine:
        known = [*self.former, *self.machines]
        number = len(known)
        ordinal = 1 + sum(machine.zone == zone for machine in known)
        machine = Machine(
            f'frontend-{zone}-{ordinal}',
            zone,
            f'{self.prefix}{_FIRST_VM_HOST + number}',
            self.directory,
        )
        machine.settings_path.write_text(
            SETTINGS.format(
                name=machine.name,
                ip=machine.ip,
                zone=zone,
                store=f'{self.prefix}1:{_STORE_PORT}',
            )
        )
        self.machines.append(machine)
        await machine.start(self.command)
        return machine

    def forget_machines(self) -> None:
        """Count the machines as removed; others get new names."""
        self.former += self.machines
        self.machines = []

    def configure(self, version: int, keys: list[str]) -> None:
        """Write a configuration; the write of the stand-in is the ack."""
        self.store.append_document(
            'keyed.op', 'config', build_configuration(version, keys)
        )

    def name_version(self, version: int) -> None:
        """Name new weights; the write of the stand-in is the ack."""
        self.store.append_document(
            'keyed.op', f'version/{MODEL}', {'model': MODEL, 'version': version}
        )

    async def wait_until_ready(self, http: aiohttp.ClientSession) -> None:
        async def all_ready() -> bool:
            ready = [await known.is_ready(http) for known in self.machines]
            return all(ready)

        await wait_for(all_ready, 'all machines are ready', _START_LIMIT_S)

    async def close(self) -> None:
        """End all processes and servers that were started."""
        known = [*self.former, *self.machines]
        for machine in known:
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.signal(signal.SIGKILL)
        for machine in known:
            if machine.process is not None:
                await machine.process.wait()
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()

    async def _beat(self, engine: FleetEngine) -> None:
        """Write the entry of an engine every heartbeat."""
        while True:
            if engine.options.id not in self.silent_writers:
                self.store.append_document(
                    'keyed.servers', engine.options.id, engine.registration()
                )
            await asyncio.sleep(HEARTBEAT_S)


def build_configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration with one streaming route; ``keys`` are valid."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'roll-match',
                'host': HOST,
                'path_prefix': '/lepu270/',
                'kind': 'streaming',
                'timeout_ms': 5000,
                'target_latency_ms': 600,
                'target_gap_ms': 300,
                'priority': 1,
                'service': ENGINE_SERVICE,
                'max_attempts': 1,
                'public': False,
                'sticky': True,
                'resumable': False,
            }
        ],
        'services': [
            {
                'name': ENGINE_SERVICE,
                'health_check_path': '/health',
                'max_connections': 863,
                'engine': {
                    'slots': 64,
                    'kv_capacity_tokens': 110_989,
                    'models': [{'name': MODEL}],
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {'name': 'sese880', 'api_keys': keys, 'isolated': False},
            {'name': 'tola114', 'api_keys': ['zzqnk5'], 'isolated': False},
        ],
    }


def engine_options(number: int) -> EngineOptions:
    """Return the options of one model engine of the sheet."""
    return EngineOptions(
        id=f'i-7f3a91c{number}',
        service=ENGINE_SERVICE,
        zone=ZONES[number % len(ZONES)],
        model=MODEL,
        slots=64,
        events=5,
        event_s=0.02,
        load_s=0.57,
    )


async def ask(
    http: aiohttp.ClientSession,
    machine: Machine,
    attempt_id: str,
    key: str,
    prefix: str = PREFIX,
) -> int:
    """Send one request as a client does; return the status, 0 for none."""
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt_id,
        'Model': MODEL,
        'Token-Counts': '1460,13',
        'Prompt-Prefix': prefix,
        'Deadline-Ms': '5008',
        'Authorization': f'Bearer {key}',
    }
    try:
        async with http.post(
            f'{machine.url}/lepu270/2f',
            data=b'x' * 600,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=6),
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
        return 0


async def wait_for(
    condition: Callable[[], object], what: str, limit_s: float
) -> None:
    """Poll ``condition``; raise ``CaseError`` if it does not come to hold."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        holds = condition()
        if asyncio.iscoroutine(holds):
            holds = await holds
        if holds:
            return
        await asyncio.sleep(0.05)
    raise CaseError(f'timed out waiting until {what}')


async def sleep_until(moment_s: float) -> None:
    await asyncio.sleep(max(0.0, moment_s - time.monotonic()))


@contextlib.asynccontextmanager
async def deployment(record: Record) -> AsyncIterator[Deployment]:
    with tempfile.TemporaryDirectory() as directory:
        deployed = Deployment(Path(directory), record)
        try:
            await deployed.start_store()
            yield deployed
        finally:
            await deployed.close()


def run_case(
    folder: Path,
    play: Callable[[Deployment, aiohttp.ClientSession, bool], object],
    *,
    has_trouble: bool,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 otherwise.

    A SIGTERM ends the case; whatever ends it, its processes end as well.
    """
    record = Record(folder / 'record.txt')
    record.write(f'begins, trouble: {has_trouble}')
    try:
        is_broken = asyncio.run(
            asyncio.wait_for(
                _play_until_signal(record, play, has_trouble), _CASE_LIMIT_S
            )
        )
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'could not run: {error!r}')
        sys.exit(2)
    record.write('the rule was broken' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)


async def _play_until_signal(record, play, has_trouble) -> bool:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        deployment(record) as deployed,
        aiohttp.ClientSession(connector=connector) as http,
    ):
        return await play(deployed, http, has_trouble)
