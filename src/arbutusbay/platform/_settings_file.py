"""Read and check the settings file of the process on one VM.

The platform writes the file in TOML.
"""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    MalformedValueError,
    describe_value,
    require_mapping,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform._endpoints import (
    MAX_PORT,
    Endpoint,
    parse_endpoint,
)
from arbutusbay.platform._field_validation import (
    get_boolean,
    get_duration_s,
    get_list,
    get_number,
    get_string,
)
from arbutusbay.platform._protocol_names import SETTINGS_ENV_VARIABLE

_MB = 1_000_000


@attrs.frozen(kw_only=True)
class DeploymentLimits:
    """Hold the limits that the deployment guarantees, times in seconds.

    ``drain_timeout_s`` limits how long a leaving backend server may get new
    requests, ``shutdown_grace_s`` the time between SIGTERM and SIGKILL,
    ``key_revocation_s`` how long a revoked API key may be accepted,
    ``config_apply_s`` the time until a configuration is in force,
    ``weights_switch_s`` how long replaced weights may get new requests and
    ``lease_s`` the duration of a lease. ``resume_slack_s`` is how long orders
    from a VM that was suspended may still arrive. In any
    ``retry_window_s`` all VMs together may retry ``retry_ratio`` of their
    requests and ``retry_slack`` more. In any ``quota_window_s`` they may exceed
    the rate limit of a team by its part ``quota_overshoot`` and by
    ``quota_slack`` more, all three 0 without a name in the file.
    ``fails_closed`` is whether a VM refuses requests that need an API key
    while its keys may be outdated.
    """

    drain_timeout_s: float
    shutdown_grace_s: float
    key_revocation_s: float
    config_apply_s: float
    lease_s: float
    resume_slack_s: float
    weights_switch_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    fails_closed: bool
    quota_window_s: float = 0.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


@attrs.frozen(kw_only=True)
class VMSettings:
    """Hold the checked settings of the process on one VM.

    ``peer_ports`` holds the first and the last port for calls between VMs.
    ``control`` is None if the file names no listener for the control plane,
    ``memory_bytes`` if it names no limit of the memory.
    """

    name: str
    zone: str
    ip: str
    frontend: Endpoint
    readiness_endpoint: Endpoint
    control: Endpoint | None
    peer_ports: tuple[int, int]
    store: Endpoint
    bounds: DeploymentLimits
    memory_bytes: int | None = None


def settings_path_from_environment() -> Path:
    """Return the path from the environment variable of the platform."""
    return Path(os.environ.get(SETTINGS_ENV_VARIABLE, ''))


def read_settings(path: Path) -> Result[VMSettings, Failure]:
    """Return the settings, or a ``BAD_REQUEST`` that names the error."""
    try:
        return Ok(_parse_settings(tomllib.loads(path.read_text('utf-8'))))
    except (OSError, ValueError, RecursionError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_REQUEST,
                detail=f'settings file {path}: {error}',
            ),
        )


def _parse_settings(fields: Mapping[str, Any]) -> VMSettings:
    listen = require_mapping(fields.get('listen'), 'listen')
    store = require_mapping(fields.get('platform'), 'platform')
    return VMSettings(
        name=get_string(fields, 'node'),
        zone=get_string(fields, 'zone'),
        ip=get_string(fields, 'ip'),
        frontend=_get_endpoint(listen, 'frontend'),
        readiness_endpoint=_get_endpoint(listen, 'ready'),
        control=_get_optional_endpoint(listen, 'control_plane'),
        peer_ports=_parse_port_range(fields),
        store=_get_endpoint(store, 'address'),
        bounds=_parse_bounds(require_mapping(fields.get('bounds'), 'bounds')),
        memory_bytes=_parse_memory(
            require_mapping(fields.get('limits', {}), 'limits')
        ),
    )


def _parse_memory(fields: Mapping[str, Any]) -> int | None:
    return int(get_number(fields, 'memory_mb', 0) * _MB) or None


def _get_endpoint(fields: Mapping[str, Any], name: str) -> Endpoint:
    try:
        return parse_endpoint(get_string(fields, name))
    except MalformedValueError as error:
        raise MalformedValueError(f'{name}: {error}') from error


def _get_optional_endpoint(
    fields: Mapping[str, Any], name: str
) -> Endpoint | None:
    if fields.get(name, '') == '':
        return None
    return _get_endpoint(fields, name)


def _parse_port_range(fields: Mapping[str, Any]) -> tuple[int, int]:
    ports = get_list(fields, 'internal_ports')
    if len(ports) == 2 and all(_is_port(port) for port in ports):
        first, last = ports
        if first <= last:
            return first, last
    raise MalformedValueError(
        'internal_ports: must be a list of the first and the last port, '
        f'not {list(map(describe_value, ports))}'
    )


def _is_port(port: Any) -> bool:
    is_integer = isinstance(port, int) and not isinstance(port, bool)
    return is_integer and 0 < port <= MAX_PORT


def _parse_bounds(fields: Mapping[str, Any]) -> DeploymentLimits:
    return DeploymentLimits(
        drain_timeout_s=get_duration_s(fields, 'drain_timeout_ms'),
        shutdown_grace_s=get_number(fields, 'grace_period_s'),
        key_revocation_s=get_duration_s(fields, 'revocation_ms'),
        config_apply_s=get_duration_s(fields, 'config_apply_ms'),
        lease_s=get_duration_s(fields, 'lease_ms'),
        resume_slack_s=get_duration_s(fields, 'thaw_slack_ms'),
        weights_switch_s=get_duration_s(fields, 'version_ms'),
        retry_ratio=get_number(fields, 'retry_budget_ratio'),
        retry_slack=get_number(fields, 'retry_budget_slack'),
        retry_window_s=get_number(fields, 'budget_window_s'),
        fails_closed=get_boolean(fields, 'fail_closed', default=True),
        quota_window_s=get_number(fields, 'quota_window_s', 0),
        quota_overshoot=get_number(fields, 'quota_overshoot', 0),
        quota_slack=get_number(fields, 'quota_slack', 0),
    )
