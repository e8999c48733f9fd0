"""Define the resources that operators declare, and validate them."""

import enum
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
import orjson
from attrs import validators
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.structuring import format_structure_error, new_strict_converter

_NAME_PATTERN = re.compile('[a-z0-9][a-z0-9-]{0,62}')
_DIGEST_PATTERN = re.compile('[0-9a-f]{64}')
_URL_PATTERN = re.compile(r'https?://[0-9a-zA-Z.:\[\]-]+')
_MAX_DEADLINE_MS = 600_000
_MAX_CONCURRENT_LOADS = 64
_MIN_SHARE = 0.01
_MAX_SHARE = 1000
_DEFAULT_BLOCK_BYTES = 64
_DEFAULT_DEADLINE_MS = 10_000
_MAX_BLOCK_BYTES = 65_536
_MAX_QUOTA = 1_000_000_000


class Urgency(enum.StrEnum):
    """List the two priority classes of requests."""

    URGENT = 'urgent'
    NORMAL = 'normal'


class QuotaUnit(enum.StrEnum):
    """List what a team's limit may count."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


class BackendKind(enum.StrEnum):
    """Distinguish model engines from plain HTTP services."""

    ENGINE = 'engine'
    SERVICE = 'service'


def _matches(pattern: re.Pattern[str]) -> Any:
    return validators.matches_re(pattern, func=re.fullmatch)


def _between(low: float, high: float) -> Any:
    return validators.and_(validators.ge(low), validators.le(high))


@attrs.frozen(kw_only=True)
class Quota:
    """Limit what a team may use over all VMs together.

    ``burst`` units may be used at once, ``rate_per_s`` come back each second.
    Without a rate there is no limit.
    """

    unit: QuotaUnit = QuotaUnit.REQUESTS
    rate_per_s: float = attrs.field(
        default=0.0, validator=_between(0, _MAX_QUOTA)
    )
    burst: float = attrs.field(default=0.0, validator=_between(0, _MAX_QUOTA))

    def __attrs_post_init__(self) -> None:
        """Raise ``ValueError`` for a limit that admits nothing."""
        if self.is_limiting and self.burst < 1:
            raise ValueError(f'burst must be at least 1, not {self.burst}')

    @property
    def is_limiting(self) -> bool:
        """Return whether there is a limit."""
        return self.rate_per_s > 0


@attrs.frozen(kw_only=True)
class Team:
    """Declare a team.

    ``api_key_digests`` are SHA-256 digests of its API keys in lower-case
    hexadecimal. ``share`` is its weight in fair queueing against other teams
    when capacity is short. ``quota`` limits its requests, None without a limit.
    """

    api_key_digests: list[str] = attrs.field(
        validator=validators.deep_iterable(_matches(_DIGEST_PATTERN)),
    )
    share: float = attrs.field(
        default=1.0, validator=_between(_MIN_SHARE, _MAX_SHARE)
    )
    quota: Quota | None = None


@attrs.frozen(kw_only=True)
class Pool:
    """Declare a pool and the model, adapter and weights it serves.

    ``block_bytes`` is the size of one block of prompt text in the prefix
    cache. ``max_concurrent_loads`` limits how many engines load weights at
    the same time.
    """

    model: str = attrs.field(validator=validators.min_len(1))
    weights_version: str = attrs.field(validator=validators.min_len(1))
    adapter: str = ''
    block_bytes: int = attrs.field(
        default=_DEFAULT_BLOCK_BYTES,
        validator=_between(1, _MAX_BLOCK_BYTES),
    )
    max_concurrent_loads: int = attrs.field(
        default=2,
        validator=_between(1, _MAX_CONCURRENT_LOADS),
    )


@attrs.frozen(kw_only=True)
class Route:
    """Declare a route from a model name or service path to a pool.

    ``deadline_ms`` limits the time to the first token, or to the response
    of a plain service. If an engine falls silent after the first token, it
    also limits the wait for the next one.
    """

    pool: str = attrs.field(validator=_matches(_NAME_PATTERN))
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    deadline_ms: int = attrs.field(
        default=_DEFAULT_DEADLINE_MS,
        validator=_between(10, _MAX_DEADLINE_MS),
    )


@attrs.frozen(kw_only=True)
class BackendServer:
    """Declare a backend server and the guarantees it gives.

    With ``checks_fencing`` it rejects commands with an outdated fencing
    token; with ``checks_idempotency_keys`` it runs the requests of one
    idempotency key at most once.
    """

    pool: str = attrs.field(validator=_matches(_NAME_PATTERN))
    url: str = attrs.field(validator=_matches(_URL_PATTERN))
    zone: str = attrs.field(validator=validators.min_len(1))
    kind: BackendKind = BackendKind.ENGINE
    checks_fencing: bool = False
    checks_idempotency_keys: bool = False
    draining: bool = False


Spec = Team | Pool | Route | BackendServer

SPEC_TYPES: Mapping[str, type[Spec]] = MappingProxyType(
    {
        'team': Team,
        'pool': Pool,
        'route': Route,
        'backend-server': BackendServer,
    }
)


_CONVERTER = new_strict_converter()


def spec_from_json(kind: str, fields: Any) -> Result[Spec, Failure]:
    """Return the validated spec of a resource of ``kind``.

    Fails with ``INVALID_RESOURCE`` and names the invalid fields.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        return _validation_error(
            f'unknown resource kind {kind!r}; use one of {_kind_list()}'
        )
    if not isinstance(fields, dict):
        return _validation_error(
            f'{kind}: spec must be a TOML table or JSON object'
        )
    try:
        return Ok(_CONVERTER.structure(fields, spec_type))
    except Exception as error:
        problems = format_structure_error(error, kind)
        return _validation_error(
            f'{problems}; allowed fields: {_field_list(spec_type)}'
        )


def spec_to_json(spec: Spec) -> dict[str, Any]:
    """Return ``spec`` as a JSON-compatible dict.

    What is absent is left out: earlier versions refuse fields unknown to them.
    """
    fields = _CONVERTER.unstructure(spec)
    return {name: entry for name, entry in fields.items() if entry is not None}


def spec_to_canonical_json(spec: Spec) -> str:
    """Return ``spec`` as JSON text with sorted keys."""
    return orjson.dumps(
        spec_to_json(spec), option=orjson.OPT_SORT_KEYS
    ).decode()


def validate_resource_name(name: Any) -> Result[str, Failure]:
    """Return ``name`` if it is a valid resource name.

    Fails with ``INVALID_RESOURCE`` otherwise.
    """
    if isinstance(name, str) and _NAME_PATTERN.fullmatch(name):
        return Ok(name)
    return _validation_error(
        f'resource name {name!r} must match {_NAME_PATTERN.pattern}',
    )


def _kind_list() -> str:
    return ', '.join(SPEC_TYPES)


def _field_list(spec_type: type[Spec]) -> str:
    return ', '.join(field.name for field in attrs.fields(spec_type))


def _validation_error(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.INVALID_RESOURCE, detail=detail))
