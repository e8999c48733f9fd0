"""Read TOML settings into checked attrs classes."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs
from attrs import validators
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.structuring import explain_error, new_converter

_SettingsT = TypeVar('_SettingsT')
_MIN_PORT = 1
_MAX_PORT = 65_535


def between(low: float, high: float) -> Any:
    """Return a validator for the closed range from ``low`` to ``high``."""
    return validators.and_(validators.ge(low), validators.le(high))


def is_not_empty() -> Any:
    """Return a validator for text that must not be empty."""
    return validators.min_len(1)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Name this VM, its address and the ports of both daemons."""

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
        """Return the base URL of this VM's control daemon."""
        return f'http://{self.host}:{self.control_port}'


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Locate the platform's log service and list of VMs."""

    log_url: str = attrs.field(validator=is_not_empty())
    vms_url: str = attrs.field(validator=is_not_empty())


@attrs.frozen(kw_only=True)
class LogSettings:
    """Choose how much is logged."""

    level: str = attrs.field(
        default='INFO',
        validator=validators.in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Time the steps of a graceful shutdown.

    ``notice_ms`` lets the balancer see that the process is not ready;
    ``limit_s`` bounds the wait for requests in flight.
    """

    notice_ms: int = attrs.field(default=1000, validator=between(0, 60_000))
    limit_s: int = attrs.field(default=600, validator=between(1, 3600))


def load_settings(
    settings_type: type[_SettingsT],
    path: Path,
) -> Result[_SettingsT, Failure]:
    """Return the checked settings in the TOML file at ``path``."""
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return _invalid(f'{path}: {error}')
    try:
        return Ok(new_converter().structure(fields, settings_type))
    except Exception as error:
        return _invalid(f'{path}: {explain_error(error, "settings")}')


def _invalid(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.BAD_REQUEST, detail=detail))
