"""Run node daemons of several VMs against an emulated store and engines.

Every daemon is a subprocess; the store and the engines are served by the
event loop of this process.
"""

import asyncio
import contextlib
import functools
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path

import aiohttp
import attrs
from aiohttp import web

from emulator._addresses import (
    STORE_PORT,
    find_free_address_prefix,
    release_address_prefix,
)
from emulator.fleet_engine import EngineOptions, FleetEngine
from emulator.limit_sums import QuotaTolerance
from emulator.store import FleetStore

CONFIGURATION_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
_ENGINE_PORT = 8701
_FRONTEND_PORT = 8702
_READINESS_PORT = 8703
_CONTROL_PORT = 8704
_PEER_PORTS = (8710, 8715)
_FIRST_VM_HOST = 10
_FIRST_ENGINE_HOST = 100
_WAIT_TIMEOUT_S = 15.0
_MAX_LINE_BYTES = 262_144
_POLL_S = 0.02
_AFTER_BOUNDS = '[platform]'
_SOURCE_DIRECTORY = Path(__file__).resolve().parent.parent / 'src'

SETTINGS = """\
node = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "here"
internal_ports = [{peer_from}, {peer_to}]
seeds = []
heartbeat_ms = 1200
a_field_that_nobody_knows = true
[zones]
plateau = "here"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
[bounds]
drain_timeout_ms = 2000
grace_period_s = {grace_s}
fail_closed = true
revocation_ms = {revocation_ms}
config_apply_ms = 2000
retry_budget_ratio = {retry_ratio}
retry_budget_slack = {retry_slack}
budget_window_s = 10
lease_ms = 1000
thaw_slack_ms = 100
version_ms = {version_ms}
[platform]
address = "{store}"
"""


@attrs.define(kw_only=True)
class FleetNode:
    """Control the daemon process of one VM, which logs to ``log_path``.

    ``command`` holds the arguments of the Python interpreter.
    """

    name: str
    ip: str
    settings_path: Path
    log_path: Path
    command: Sequence[str] = (str(_SOURCE_DIRECTORY / 'arbutusbay_node.py'),)
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """Return the port of the client API."""
        return _FRONTEND_PORT

    @property
    def url(self) -> str:
        """Return the base URL of the client API."""
        return f'http://{self.ip}:{self.port}'

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return where the daemon receives load reports."""
        return self.ip, _PEER_PORTS[0]

    @property
    def control_url(self) -> str:
        """Return the base URL of the operator API."""
        return f'http://{self.ip}:{_CONTROL_PORT}'

    async def start(self) -> None:
        """Start the daemon and append its output to the log file."""
        with self.log_path.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                env={
                    **os.environ,
                    'ARBUTUSBAY_SETTINGS': str(self.settings_path),
                },
                stdout=output,
                stderr=output,
            )

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait for the process and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the readiness check of the platform succeeds."""
        url = f'http://{self.ip}:{_READINESS_PORT}/arbutusbay/readiness'
        try:
            async with session.get(url) as response:
                return response.ok
        except aiohttp.ClientError:
            return False


class Fleet:
    """Manage the store, the engines and the daemons of one deployment."""

    def __init__(self, directory: Path) -> None:
        """Write settings and logs into ``directory``."""
        self.directory = directory
        self.address_prefix = find_free_address_prefix()
        self.store = FleetStore()
        self.engines: list[FleetEngine] = []
        self.nodes: list[FleetNode] = []
        self.runners_by_address: dict[str, web.AppRunner] = {}
        self.revocation_ms = 5000
        self.version_ms = 8000
        self.grace_s = 8
        self.retry_ratio = 0.2
        self.retry_slack = 60
        self.quota_tolerance = QuotaTolerance()
        self.restart_s = 1.0
        self.receive_buffer_bytes: int | None = None
        self.end_moments_s: list[float] = []
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def store_address(self) -> str:
        """Return the ``host:port`` address of the store."""
        return f'{self.address_prefix}1:{STORE_PORT}'

    async def serve_store(self) -> None:
        """Start to serve the store."""
        await self._serve(self.store.application(), self.store_address)

    async def add_engine(self, options: EngineOptions) -> FleetEngine:
        """Start to serve an engine and register it in the store."""
        engine = FleetEngine(options)
        number = _FIRST_ENGINE_HOST + len(self.engines)
        engine.address = f'{self.address_prefix}{number}:{_ENGINE_PORT}'
        await self._start_engine(engine)
        return engine

    def register(self, engine: FleetEngine) -> None:
        """Write the current registration of the engine to the store."""
        self.store.append_document(
            SERVERS_TOPIC,
            engine.options.id,
            engine.registration(),
        )

    async def stop_engine(self, engine: FleetEngine) -> None:
        """Stop to serve the engine but leave its registration in the store."""
        await self.runners_by_address.pop(engine.address).cleanup()

    async def resume_engine(self, engine: FleetEngine) -> None:
        """Start to serve an engine again that is still registered."""
        await self._serve(engine.application(), engine.address)

    async def restart_engine(self, engine: FleetEngine) -> FleetEngine:
        """Start an engine that has ended again, with a new id and address kept.

        Its registration expires at the same moment.
        """
        name, _, count = engine.options.id.partition('+')
        options = attrs.evolve(
            engine.options, id=f'{name}+{int(count or 0) + 1}'
        )
        restarted = FleetEngine(options)
        restarted.address = engine.address
        self.store.append_document(SERVERS_TOPIC, engine.options.id, None)
        await self._start_engine(restarted)
        return restarted

    def configure(self, configuration: dict[str, object]) -> None:
        """Write the operator's configuration to the store."""
        self.store.append_document(CONFIGURATION_TOPIC, 'config', configuration)

    def set_target_weights_version(self, model: str, version: int) -> None:
        """Write the operator's target weights version of a model."""
        self.store.append_document(
            CONFIGURATION_TOPIC,
            f'version/{model}',
            {'model': model, 'version': version},
        )

    async def add_node(
        self, zone: str, command: Sequence[str] = ()
    ) -> FleetNode:
        """Start the daemon of a new VM, which has its own IP address.

        ``command`` replaces the arguments of the interpreter.
        """
        number = len(self.nodes)
        ip = f'{self.address_prefix}{_FIRST_VM_HOST + number}'
        name = f'vm-{number}'
        settings_path = self.directory / f'{name}.toml'
        settings_path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                peer_from=_PEER_PORTS[0],
                peer_to=_PEER_PORTS[1],
                frontend=_FRONTEND_PORT,
                readiness=_READINESS_PORT,
                control=_CONTROL_PORT,
                revocation_ms=self.revocation_ms,
                version_ms=self.version_ms,
                grace_s=self.grace_s,
                retry_ratio=self.retry_ratio,
                retry_slack=self.retry_slack,
                store=self.store_address,
            ).replace(
                _AFTER_BOUNDS, self.quota_tolerance.to_toml() + _AFTER_BOUNDS
            ),
        )
        node = FleetNode(
            name=name,
            ip=ip,
            settings_path=settings_path,
            log_path=self.directory / f'{name}.log',
        )
        node.command = command or node.command
        self.nodes.append(node)
        await node.start()
        return node

    async def close(self) -> None:
        """Kill all daemons and stop the servers of this process."""
        for node in self.nodes:
            if node.process.returncode is None:
                await node.stop(signal.SIGKILL)
        for task in tuple(self.tasks):
            task.cancel()
        for runner in self.runners_by_address.values():
            await runner.cleanup()

    async def _start_engine(self, engine: FleetEngine) -> None:
        self.engines.append(engine)
        engine.observer.record_end = functools.partial(self._handle_end, engine)
        await self._serve(engine.application(), engine.address)
        self.register(engine)

    def _handle_end(self, engine: FleetEngine) -> None:
        """Stop listening for an engine that has ended, then restart it."""
        self.end_moments_s.append(time.monotonic())
        runner = self.runners_by_address.pop(engine.address)
        for site in runner.sites:
            site._server.close()  # noqa: SLF001
        task = asyncio.create_task(self._restart_later(engine, runner))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart_later(
        self, engine: FleetEngine, runner: web.AppRunner
    ) -> None:
        await runner.cleanup()
        await asyncio.sleep(self.restart_s)
        await self.restart_engine(engine)

    async def _serve(self, application: web.Application, address: str) -> None:
        host, _, port = address.partition(':')
        runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        await runner.setup()
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        if self.receive_buffer_bytes is not None:
            _limit_receive_buffer(site, self.receive_buffer_bytes)
        self.runners_by_address[address] = runner


def _limit_receive_buffer(site: web.TCPSite, size_bytes: int) -> None:
    """Let the kernel hold little that is not read of later connections."""
    for listener in site._server.sockets:  # noqa: SLF001
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


@contextlib.asynccontextmanager
async def running_fleet(directory: Path) -> AsyncIterator[Fleet]:
    """Serve a store for the block; the caller adds engines and daemons."""
    fleet = Fleet(directory)
    try:
        await fleet.serve_store()
        yield fleet
    finally:
        await fleet.close()
        release_address_prefix(fleet.address_prefix)


async def wait_for_condition(
    condition: Callable[[], object],
    description: str,
    limit_s: float = _WAIT_TIMEOUT_S,
) -> None:
    """Poll ``condition``, which may be a coroutine function, until it holds.

    Raises ``AssertionError`` naming ``description`` after ``limit_s`` seconds.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        outcome = condition()
        if asyncio.iscoroutine(outcome):
            outcome = await outcome
        if outcome:
            return
        await asyncio.sleep(_POLL_S)
    raise AssertionError(
        f'timed out after {limit_s} s waiting for: {description}'
    )
