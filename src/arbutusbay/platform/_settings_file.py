"""Read the settings file that the platform writes for each process."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform._fields import (
    MalformedDocumentError,
    as_table,
    get_flag,
    get_list,
    get_milliseconds,
    get_number,
    get_text,
    get_whole,
)
from arbutusbay.platform._names import SETTINGS_VARIABLE

_PORT_COUNT = 65_536


@attrs.frozen(kw_only=True)
class Endpoint:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen(kw_only=True)
class Bounds:
    """Hold the times and ratios that the deployment promises, in seconds.

    ``thaw_slack_s`` is how long orders may still arrive from a VM that was
    suspended; ``load_limit_s`` bounds a request on replaced weights.
    """

    contact_s: float
    drain_s: float
    grace_s: float
    config_apply_s: float
    revocation_s: float
    lease_s: float
    thaw_slack_s: float
    weights_s: float
    address_reuse_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    is_fencing_checked: bool
    fails_closed: bool


@attrs.frozen(kw_only=True)
class StoreLimits:
    """Hold the rates that all VMs share, in calls a second."""

    writes_per_s: float
    reads_per_s: float


@attrs.frozen(kw_only=True)
class VMSettings:
    """Hold the checked settings of the process on one VM.

    ``peer_ports`` is the closed range of ports between VMs.
    """

    name: str
    zone: str
    ip: str
    frontend: Endpoint
    readiness: Endpoint
    control: Endpoint | None
    peer_ports: tuple[int, int]
    store: Endpoint
    store_limits: StoreLimits
    heartbeat_s: float
    memory_mb: float
    descriptors: int
    zones: tuple[str, ...]
    bounds: Bounds


def settings_path() -> Path:
    """Return where the platform put the settings of this process."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ''))


def read_settings(path: Path) -> Result[VMSettings, Failure]:
    """Return the checked settings, or what is wrong with the file."""
    try:
        return Ok(_settings_from(tomllib.loads(path.read_text('utf-8'))))
    except (OSError, ValueError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_REQUEST,
                detail=f'settings {path}: {error}',
            ),
        )


def endpoint_from_text(text: str) -> Endpoint:
    """Return the endpoint written as ``IP:PORT``."""
    host, separator, port = text.rpartition(':')
    if separator and port.isdecimal() and int(port) < _PORT_COUNT:
        return Endpoint(host=host, port=int(port))
    raise MalformedDocumentError(f'address: must be IP:PORT, is {text!r}')


def _settings_from(table: Mapping[str, Any]) -> VMSettings:
    listen = as_table(table.get('listen'), 'listen')
    limits = as_table(table.get('limits'), 'limits')
    store = as_table(table.get('platform'), 'platform')
    control = listen.get('control_plane')
    return VMSettings(
        name=get_text(table, 'node'),
        zone=get_text(table, 'zone'),
        ip=get_text(table, 'ip'),
        frontend=endpoint_from_text(get_text(listen, 'frontend')),
        readiness=endpoint_from_text(get_text(listen, 'ready')),
        control=endpoint_from_text(control) if control else None,
        peer_ports=_port_range(table),
        store=endpoint_from_text(get_text(store, 'address')),
        store_limits=StoreLimits(
            writes_per_s=get_number(store, 'writes_per_s'),
            reads_per_s=get_number(store, 'reads_per_s'),
        ),
        heartbeat_s=get_milliseconds(table, 'heartbeat_ms'),
        memory_mb=get_number(limits, 'memory_mb'),
        descriptors=get_whole(limits, 'fd_limit'),
        zones=tuple(as_table(table.get('zones', {}), 'zones')),
        bounds=_bounds_from(as_table(table.get('bounds'), 'bounds')),
    )


def _port_range(table: Mapping[str, Any]) -> tuple[int, int]:
    ports = get_list(table, 'internal_ports')
    if len(ports) == 2 and all(isinstance(port, int) for port in ports):
        return ports[0], ports[1]
    raise MalformedDocumentError('internal_ports: must be two ports')


def _bounds_from(table: Mapping[str, Any]) -> Bounds:
    return Bounds(
        contact_s=get_milliseconds(table, 'contact_ms', 3000),
        drain_s=get_milliseconds(table, 'drain_timeout_ms', 2000),
        grace_s=get_number(table, 'grace_period_s', 8),
        config_apply_s=get_milliseconds(table, 'config_apply_ms', 2000),
        revocation_s=get_milliseconds(table, 'revocation_ms', 5000),
        lease_s=get_milliseconds(table, 'lease_ms', 3000),
        thaw_slack_s=get_milliseconds(table, 'thaw_slack_ms', 300),
        weights_s=get_milliseconds(table, 'version_ms', 8000),
        address_reuse_s=get_number(table, 'reuse_after_s', 2),
        retry_ratio=get_number(table, 'retry_budget_ratio', 0.2),
        retry_window_s=get_number(table, 'budget_window_s', 10),
        retry_slack=get_number(table, 'retry_budget_slack', 20),
        is_fencing_checked=get_flag(table, 'fencing_required', default=True),
        fails_closed=get_flag(table, 'fail_closed', default=True),
    )
