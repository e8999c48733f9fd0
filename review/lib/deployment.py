"""A small deployment on loopback addresses: settings, daemons, stand-ins.

The daemons are started with the command of ``deploy/system.toml``. The store
is the project's own stand-in, ``emulator.store.FleetStore``; engines and
clients are small ones of this module that speak plain HTTP/1.1.
"""

import asyncio
import contextlib
import os
import random
import re
import shlex
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

from emulator.store import FleetStore

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT = 8784
ENGINE_PORT = 8080
FRONTEND_PORT = 8782
READY_PORT = 8789
CONTROL_PORT = 8783
OPERATOR_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_TIMEOUT_S = 2.0
MEMORY_MB = 136
API_KEY = 'ctnfzs989anu6wsjnban'

# The example of DEPLOY.md, with loopback addresses.
SETTINGS = """\
node = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "dakar"
internal_ports = [7340,7355]
seeds = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","platform"]
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
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
"""


def free_prefix() -> str:
    """Return the first three octets of loopback addresses that are free."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    while True:
        prefix = f'127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.'
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((f'{prefix}1', STORE_PORT))
            except OSError:
                continue
        return prefix


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self.output = path.open('w')
        self.began_s = time.monotonic()

    def write(self, text: str) -> None:
        moment_s = time.monotonic() - self.began_s
        self.output.write(f'{moment_s:8.3f} {text}\n')
        self.output.flush()


class Node:
    """One daemon process, on an address of its own."""

    def __init__(self, deployment: 'Deployment', name: str, zone: str) -> None:
        self.deployment = deployment
        self.name = name
        self.zone = zone
        number = 10 + len(deployment.nodes)
        self.ip = f'{deployment.prefix}{number}'
        self.process: asyncio.subprocess.Process | None = None
        self.settings = deployment.folder / f'{name}.toml'
        self.log = deployment.folder / f'{name}.log'
        text = SETTINGS.format(
            name=name, ip=self.ip, zone=zone, store=deployment.store_address
        )
        for field, changed in deployment.changed_settings.items():
            text = re.sub(f'(?m)^{field} = .*$', f'{field} = {changed}', text)
        self.settings.write_text(text)

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        inherited = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in inherited if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['ARBUTUSBAY_SETTINGS'] = str(self.settings)
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.deployment.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.deployment.record.write(f'{self.name} started')

    async def kill(self) -> None:
        """Kill the process, like a machine that loses power."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.deployment.record.write(f'{self.name} killed')

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Ask the readiness probe of the platform once."""
        try:
            async with asyncio.timeout(1):
                answer = await exchange(
                    (self.ip, READY_PORT),
                    b'GET /arbutusbay/readiness HTTP/1.1\r\nHost: x\r\n\r\n',
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return answer.status == 200


class Deployment:
    """The store, the engines and the daemons of one small deployment."""

    def __init__(
        self, record: Record, settings: dict[str, object] | None = None
    ) -> None:
        """``settings`` replace fields of the example by their names."""
        self.record = record
        self.changed_settings = settings or {}
        self.prefix = free_prefix()
        self.folder_handle = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.folder_handle.name)
        self.store = FleetStore()
        self.store_address = f'{self.prefix}1:{STORE_PORT}'
        self.nodes: list[Node] = []
        self.engines: list[Engine] = []
        self.runner: web.AppRunner | None = None
        self.tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['node']['run'])

    async def serve_store(self) -> None:
        """Start the stand-in of the platform's store."""
        self.runner = web.AppRunner(
            self.store.application(), access_log=None, shutdown_timeout=0.1
        )
        await self.runner.setup()
        host, _, port = self.store_address.partition(':')
        await web.TCPSite(self.runner, host, int(port)).start()

    def configure(self, configuration: dict) -> None:
        """Write the operator's configuration; the store acknowledges it."""
        self.store.append_document(OPERATOR_TOPIC, 'config', configuration)

    async def add_node(self, name: str, zone: str) -> Node:
        """Add a machine and start its daemon."""
        node = Node(self, name, zone)
        self.nodes.append(node)
        await node.start()
        return node

    async def add_engine(self, engine: 'Engine') -> 'Engine':
        """Start an engine that registers itself and writes heartbeats."""
        engine.address = (
            f'{self.prefix}{100 + len(self.engines)}:{ENGINE_PORT}'
        )
        engine.record = self.record
        self.engines.append(engine)
        await engine.serve()
        self.register(engine)
        self.tasks.append(asyncio.create_task(self._heartbeats(engine)))
        return engine

    def register(self, engine: 'Engine') -> None:
        """Write the entry of an engine to the store."""
        self.store.append_document(
            SERVERS_TOPIC, engine.id, engine.registration()
        )

    def remove_entry(self, engine: 'Engine') -> None:
        """Remove the entry of an engine, which then stays removed."""
        engine.is_registered = False
        self.store.append_document(SERVERS_TOPIC, engine.id, None)
        self.record.write(f'store: entry of {engine.id} removed (acknowledged)')

    async def wait_until_ready(self, limit_s: float = 20) -> None:
        """Wait until all daemons say that they are ready."""
        deadline_s = time.monotonic() + limit_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f'{node.name} is not ready')
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.kill()
        for engine in self.engines:
            await engine.close()
        if self.runner is not None:
            await self.runner.cleanup()
        self.folder_handle.cleanup()

    async def _heartbeats(self, engine: 'Engine') -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if engine.is_registered:
                self.register(engine)


class Answer:
    """An answer of HTTP/1.1 with a length."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError('connection closed before a head') from error
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer; ``EOFError`` if the connection ends before."""
    first, headers = await read_head(reader)
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError('connection closed within a body') from error
    return Answer(int(first.split()[1]), headers, body)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def exchange(address: tuple[str, int], request: bytes) -> Answer:
    """Send one request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def build_request(
    attempt_id: str,
    path: str,
    host: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b'{}',
) -> bytes:
    """Return one request of a client."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {host}',
        f'Attempt-Id: {attempt_id}',
        f'Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {API_KEY}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in (headers or {}).items()),
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + body


class Engine:
    """A sound engine of a plain service, which records what it runs."""

    def __init__(
        self, engine_id: str, service: str, zone: str, work_s: float = 0.09
    ) -> None:
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 6
        self.address = ''
        self.record: Record | None = None
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.is_registered = True
        self.arrivals: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def registration(self) -> dict:
        """Return the entry that the engine writes to the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def serve(self) -> None:
        """Listen."""
        host, _, port = self.address.partition(':')
        self.server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    async def close(self) -> None:
        """Stop to listen and reset all connections: the engine has ended."""
        self.is_registered = False
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Run one request and answer it."""
        await asyncio.sleep(self.work_s)
        writer.write(self.whole_answer(headers))

    def whole_answer(self, headers: dict[str, str]) -> bytes:
        """Return the whole answer to a request."""
        text = f'{self.id} ran {headers["attempt-id"]}'
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {headers["attempt-id"]}',
            f'Response-Stamp: stamp.{self.id}',
            f'Server-Load: 1,0,{self.slots},100',
            f'Content-Length: {len(text)}',
            '',
            text,
        ]
        return '\r\n'.join(lines).encode()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
            if headers.get('expect-instance', self.id) != self.id:
                writer.write(
                    b'HTTP/1.1 421 Misdirected Request\r\n'
                    b'Attempt-Id: %b\r\nInstance-Id: %b\r\n'
                    b'Content-Length: 0\r\n\r\n'
                    % (headers['attempt-id'].encode(), self.id.encode())
                )
                continue
            self.arrivals.append((time.monotonic(), headers['attempt-id']))
            self.record.write(f'{self.id} runs {headers["attempt-id"]}')
            await self.answer(headers, writer)


def plain_configuration(services: list[str]) -> dict:
    """Return a configuration with one unsafe route for each service."""
    return {
        'version': 3,
        'routes': [
            {
                'name': f'order-{service}',
                'host': f'{service}.example',
                'path_prefix': '/order/',
                'kind': 'unsafe',
                'timeout_ms': 4000,
                'target_latency_ms': 400,
                'priority': 2,
                'service': service,
                'max_attempts': 1,
                'public': False,
                'sticky': False,
                'resumable': False,
            }
            for service in services
        ],
        'services': [
            {
                'name': service,
                'health_check_path': '/health',
                'max_connections': 257,
            }
            for service in services
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {'name': 'sese880', 'api_keys': [API_KEY], 'isolated': False}
        ],
    }


def finish(record: Record, is_broken: bool, text: str) -> int:
    """Write the verdict and return the exit status."""
    record.write(('BROKEN: ' if is_broken else 'HELD: ') + text)
    print(('BROKEN: ' if is_broken else 'HELD: ') + text)
    return 1 if is_broken else 0


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case, record: Record) -> int:
    """Run ``case``; 2 if it could not run."""
    try:
        return asyncio.run(case(record))
    except Exception as error:
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        return 2

