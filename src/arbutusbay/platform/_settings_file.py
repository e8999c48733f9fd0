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
    """Hold what the deployment promises; times are seconds.

    ``drain_s`` bounds new work for a leaving backend server, ``grace_s``
    the time between SIGTERM and the kill, ``revocation_s`` work for a key
    that was taken away, ``config_s`` the time until a configuration is in
    force, ``weights_s`` new work on replaced weights.
    ``thaw_slack_s`` is how long orders of a suspended VM may still arrive.
    ``retry_ratio`` and ``retry_slack`` bound repeats by all VMs together
    in any ``retry_window_s``.
    """

    drain_s: float
    grace_s: float
    revocation_s: float
    config_s: float
    lease_s: float
    thaw_slack_s: float
    weights_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    fails_closed: bool


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
        bounds=_bounds_from(as_table(table.get('bounds'), 'bounds')),
    )


def _port_range(table: Mapping[str, Any]) -> tuple[int, int]:
    ports = get_list(table, 'internal_ports')
    if len(ports) == 2 and all(isinstance(port, int) for port in ports):
        return ports[0], ports[1]
    raise MalformedDocumentError('internal_ports: must be two ports')


def _bounds_from(table: Mapping[str, Any]) -> Bounds:
    return Bounds(
        drain_s=get_milliseconds(table, 'drain_timeout_ms'),
        grace_s=get_number(table, 'grace_period_s'),
        revocation_s=get_milliseconds(table, 'revocation_ms'),
        config_s=get_milliseconds(table, 'config_apply_ms'),
        lease_s=get_milliseconds(table, 'lease_ms'),
        thaw_slack_s=get_milliseconds(table, 'thaw_slack_ms'),
        weights_s=get_milliseconds(table, 'version_ms'),
        retry_ratio=get_number(table, 'retry_budget_ratio'),
        retry_slack=get_number(table, 'retry_budget_slack'),
        retry_window_s=get_number(table, 'budget_window_s'),
        fails_closed=get_flag(table, 'fail_closed', default=True),
    )
