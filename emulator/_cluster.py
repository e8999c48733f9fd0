"""Launch a cluster of daemons and emulated servers as local processes.

The launcher is part of the emulator because no program of arbutusbay starts
another. Every VM has its own IP address in 127.0.0.0/8.
"""

import contextlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import attrs
import orjson

from arbutusbay.cli import DeclaredResource, read_resource_file
from arbutusbay.state import BackendKind, BackendServer
from emulator._addresses import (
    PLATFORM_HOST,
    SERVER_PORT,
    find_free_address_prefix,
    release_address_prefix,
)
from emulator._child_process import ChildProcess
from emulator._json_calls import (
    START_TIMEOUT_S,
    call_json,
    wait_for_ok,
    wait_until,
)

ROUTER_PORT = 8080
CONTROL_PORT = 8081
_EXAMPLE_ADDRESS_PREFIX = '127.0.0.'
_FIRST_NODE_HOST = 11


@attrs.frozen(kw_only=True)
class Node:
    """Group the router and control daemons of one entry VM."""

    id: str
    host: str
    zone: str
    router: ChildProcess
    control: ChildProcess


@attrs.frozen(kw_only=True)
class ClusterOptions:
    """Configure a cluster.

    ``example`` is the resource file. ``zones`` lists the availability zone of
    each entry VM. ``router_settings`` and ``control_settings`` override
    settings of the daemons; the other fields are extra arguments of the
    emulated servers.
    """

    example: Path
    zones: Sequence[str]
    router_settings: Mapping[str, Any] = attrs.field(factory=dict)
    control_settings: Mapping[str, Any] = attrs.field(factory=dict)
    engine_arguments: Sequence[str] = ()
    service_arguments: Sequence[str] = ()
    platform_arguments: Sequence[str] = ()


class Cluster:
    """Manage one deployment on its own range of loopback addresses."""

    def __init__(self, *, options: ClusterOptions, directory: Path) -> None:
        """Assign addresses and write the daemons' settings into ``directory``.

        Logs are written there too. No process is started yet. With
        ``keeps_logs`` the directory outlives ``running_cluster``.
        """
        self.options = options
        self.directory = directory
        self.keeps_logs = False
        self.address_prefix = find_free_address_prefix()
        self.resources = [
            self._with_cluster_address(resource)
            for resource in read_resource_file(options.example).unwrap()
        ]
        self.platform = self._emulated_server(
            'platform',
            'emulator.platform',
            self.host(PLATFORM_HOST),
            options.platform_arguments,
        )
        self.backends = {
            resource.name: self._backend_process(resource)
            for resource in self.resources
            if isinstance(resource.spec, BackendServer)
        }
        self.nodes = [
            self._node(number, zone)
            for number, zone in enumerate(options.zones)
        ]

    def host(self, number: int) -> str:
        """Return the IP address with this last octet in the cluster."""
        return f'{self.address_prefix}{number}'

    def engines(self) -> list[ChildProcess]:
        """Return the processes of the emulated engines."""
        return [
            self.backends[resource.name]
            for resource in self.resources
            if isinstance(resource.spec, BackendServer)
            and resource.spec.kind is BackendKind.ENGINE
        ]

    def services(self) -> list[ChildProcess]:
        """Return the processes of the emulated plain services."""
        engines = {engine.name for engine in self.engines()}
        return [
            backend
            for name, backend in self.backends.items()
            if name not in engines
        ]

    def processes(self) -> list[ChildProcess]:
        """Return all processes, daemons first."""
        daemons = [
            daemon
            for node in self.nodes
            for daemon in (node.router, node.control)
        ]
        return [*daemons, *self.backends.values(), self.platform]

    def start(self) -> None:
        """Start all processes, apply the resources and wait until ready.

        Raises ``TimeoutError`` if a daemon doesn't get ready.
        """
        self.start_emulated_servers()
        for node in self.nodes:
            node.control.start()
            node.router.start()
        for node in self.nodes:
            wait_for_ok(f'{node.control.url}/readyz')
        self.apply()
        for node in self.nodes:
            wait_for_ok(f'{node.router.url}/readyz')
        self.wait_for_index()

    def start_emulated_servers(self) -> None:
        """Start the emulated platform and backend servers."""
        self.platform.start()
        for backend in self.backends.values():
            backend.start()
        wait_for_ok(f'{self.platform.url}/counts')
        for backend in self.backends.values():
            wait_for_ok(f'{backend.url}/counts')
        self.publish_vm_list()

    def publish_vm_list(self, leaving: Sequence[str] = ()) -> None:
        """Publish the VM list; hosts in ``leaving`` get the state leaving."""
        hosts = [
            (node.id, node.host, node.zone, 'entry') for node in self.nodes
        ]
        hosts.extend(
            (name, urlsplit(backend.url).hostname, 'any', 'backend')
            for name, backend in self.backends.items()
        )
        vms = [
            {
                'id': name,
                'host': host,
                'zone': zone,
                'role': role,
                'state': 'leaving' if host in leaving else 'live',
            }
            for name, host, zone, role in hosts
        ]
        call_json(f'{self.platform.url}/v1/vms', vms, method='PUT')

    def apply(self) -> None:
        """Apply the resource file with the command-line client."""
        path = self.directory / 'resources.toml'
        text = self.options.example.read_text(encoding='utf-8')
        path.write_text(
            text.replace(_EXAMPLE_ADDRESS_PREFIX, self.address_prefix),
            encoding='utf-8',
        )
        self.run_client('apply', '-f', str(path))

    def put_resource(self, kind: str, name: str, spec: Any) -> Any:
        """Replace a resource unconditionally and return the response."""
        url = f'{self.nodes[0].control.url}/api/v1/{kind}/{name}'
        return call_json(url, spec, method='PUT', headers={'If-Match': '*'})

    def set_backend_url(self, name: str, url: str) -> None:
        """Replace the URL in the resource of a backend server."""
        control = self.nodes[0].control.url
        resource = call_json(f'{control}/api/v1/backend-server/{name}')
        self.put_resource(
            'backend-server', name, {**resource['spec'], 'url': url}
        )

    def run_client(self, *arguments: str) -> str:
        """Run the command-line client and return its standard output.

        Raises ``subprocess.CalledProcessError`` if it fails.
        """
        command = [sys.executable, '-m', 'arbutusbay.cli']
        server = self.nodes[0].control.url
        return subprocess.run(
            [*command, '--server', server, *arguments],
            check=True,
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        ).stdout

    def wait_for_index(self) -> None:
        """Wait until the cache index follows every engine."""
        expected = {engine.name for engine in self.engines()}
        wait_until(lambda: expected <= self._indexed_engines())

    def stop(self) -> None:
        """Kill all processes of the cluster, also suspended ones."""
        for process in self.processes():
            process.resume()
            process.kill()

    def _indexed_engines(self) -> set[str]:
        indexed: set[str] = set()
        for node in self.nodes:
            if node.control.is_running():
                state = call_json(f'{node.control.url}/debug/state')
                indexed.update(
                    name
                    for name, engine in state['index'].items()
                    if engine['reachable']
                )
        return indexed

    def _with_cluster_address(
        self, resource: DeclaredResource
    ) -> DeclaredResource:
        if not isinstance(resource.spec, BackendServer):
            return resource
        url = resource.spec.url.replace(
            _EXAMPLE_ADDRESS_PREFIX, self.address_prefix
        )
        return attrs.evolve(
            resource,
            spec=attrs.evolve(resource.spec, url=url),
        )

    def _backend_process(self, resource: DeclaredResource) -> ChildProcess:
        spec = resource.spec
        host = urlsplit(spec.url).hostname
        arguments = []
        if spec.kind is BackendKind.ENGINE:
            arguments.extend(self.options.engine_arguments)
            if spec.checks_fencing:
                arguments.append('--checks-fencing')
            arguments.extend(('--seed', host.rpartition('.')[-1]))
            return self._emulated_server(
                resource.name,
                'emulator.engine',
                host,
                arguments,
            )
        arguments.extend(self.options.service_arguments)
        if spec.checks_idempotency_keys:
            arguments.append('--checks-keys')
        return self._emulated_server(
            resource.name,
            'emulator.service',
            host,
            arguments,
        )

    def _emulated_server(
        self,
        name: str,
        module: str,
        host: str,
        arguments: Sequence[str],
    ) -> ChildProcess:
        return ChildProcess(
            name=name,
            url=f'http://{host}:{SERVER_PORT}',
            command=[
                sys.executable,
                '-m',
                module,
                '--host',
                host,
                '--port',
                str(SERVER_PORT),
                *arguments,
            ],
            log_path=self.directory / f'{name}.log',
        )

    def _node(self, number: int, zone: str) -> Node:
        host = self.host(_FIRST_NODE_HOST + number)
        node = {
            'id': f'vm-{number + 1}',
            'host': host,
            'zone': zone,
            'router_port': ROUTER_PORT,
            'control_port': CONTROL_PORT,
        }
        peers = [
            f'http://{self.host(_FIRST_NODE_HOST + other)}:{CONTROL_PORT}'
            for other in range(len(self.options.zones))
        ]
        control = {
            'node': node,
            'peers': peers,
            'platform': {
                'log_url': self.platform.url,
                'vms_url': self.platform.url,
            },
            **self.options.control_settings,
        }
        router = {'node': node, 'peers': peers, **self.options.router_settings}
        return Node(
            id=node['id'],
            host=host,
            zone=zone,
            router=self._daemon('router', node, router, ROUTER_PORT),
            control=self._daemon('control', node, control, CONTROL_PORT),
        )

    def _daemon(
        self,
        program: str,
        node: Mapping[str, Any],
        settings: Mapping[str, Any],
        port: int,
    ) -> ChildProcess:
        name = f'{program}-{node["id"]}'
        path = self.directory / f'{name}.toml'
        path.write_text(toml_from_settings(settings), encoding='utf-8')
        return ChildProcess(
            name=name,
            url=f'http://{node["host"]}:{port}',
            command=[
                sys.executable,
                '-m',
                f'arbutusbay.{program}',
                '--config',
                str(path),
            ],
            log_path=self.directory / f'{name}.log',
        )


@contextlib.contextmanager
def running_cluster(options: ClusterOptions) -> Iterator[Cluster]:
    """Run a cluster in a temporary directory and stop it after the block.

    If the block fails, the directory with the logs is kept and named on
    standard error.
    """
    directory = Path(tempfile.mkdtemp(prefix='arbutusbay-cluster-'))
    cluster = Cluster(options=options, directory=directory)
    try:
        cluster.start()
        yield cluster
    except BaseException:
        cluster.keeps_logs = True
        raise
    finally:
        _close(cluster)


def _close(cluster: Cluster) -> None:
    cluster.stop()
    release_address_prefix(cluster.address_prefix)
    _remove_unless_kept(cluster)


def _remove_unless_kept(cluster: Cluster) -> None:
    if cluster.keeps_logs:
        sys.stderr.write(f'kept the logs in {cluster.directory}\n')
        return
    shutil.rmtree(cluster.directory)


def toml_from_settings(settings: Mapping[str, Any]) -> str:
    """Serialize settings to TOML; tables must not be nested."""
    scalars = []
    tables = []
    for name, entry in settings.items():
        if isinstance(entry, Mapping):
            tables.append(f'\n[{name}]\n{toml_from_settings(entry)}')
        else:
            scalars.append(f'{name} = {_toml_value(entry)}\n')
    return ''.join(scalars + tables)


def _toml_value(entry: Any) -> str:
    return orjson.dumps(entry).decode()
