"""Load TOML settings files and define the settings that daemons share."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs
from attrs import validators
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.structuring import format_structure_error, new_strict_converter

_SettingsT = TypeVar('_SettingsT')
_MIN_PORT = 1
_MAX_PORT = 65_535


def between(low: float, high: float) -> Any:
    """Return an attrs validator for ``low`` to ``high``, both inclusive."""
    return validators.and_(validators.ge(low), validators.le(high))


def is_not_empty() -> Any:
    """Return an attrs validator that rejects the empty string."""
    return validators.min_len(1)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Configure the identity and the address of this VM.

    ``host`` is the address on which the router and control daemons listen and
    at which other VMs reach them. ``zone`` is the availability zone.
    """

    id: str = attrs.field(validator=is_not_empty())
    host: str = attrs.field(validator=is_not_empty())
    zone: str = attrs.field(validator=is_not_empty())
    router_port: int = attrs.field(
        default=8080,
        validator=between(_MIN_PORT, _MAX_PORT),
    )
    control_port: int = attrs.field(
        default=8081,
        validator=between(_MIN_PORT, _MAX_PORT),
    )

    @property
    def control_url(self) -> str:
        """Return the base URL of the control daemon on this VM."""
        return f'http://{self.host}:{self.control_port}'


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Configure the URLs of the platform's log service and VM list."""

    log_url: str = attrs.field(validator=is_not_empty())
    vms_url: str = attrs.field(validator=is_not_empty())


@attrs.frozen(kw_only=True)
class LogSettings:
    """Configure the lowest level that is logged."""

    level: str = attrs.field(
        default='INFO',
        validator=validators.in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Configure the timing of a graceful shutdown.

    During the first ``notice_ms`` milliseconds the process still serves, so
    that the load balancer can notice that it is not ready. ``limit_s`` is the
    maximum time in seconds to wait for requests in flight.
    """

    notice_ms: int = attrs.field(default=1000, validator=between(0, 60_000))
    limit_s: int = attrs.field(default=600, validator=between(1, 3600))


def load_settings(
    settings_type: type[_SettingsT],
    path: Path,
) -> Result[_SettingsT, Failure]:
    """Return the validated settings in the TOML file at ``path``.

    Fails with ``BAD_REQUEST`` if the file can't be read or is invalid.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return _settings_error(f'{path}: {error}')
    try:
        return Ok(new_strict_converter().structure(fields, settings_type))
    except Exception as error:
        return _settings_error(
            f'{path}: {format_structure_error(error, "settings")}'
        )


def _settings_error(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.BAD_REQUEST, detail=detail))
