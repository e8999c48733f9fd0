"""Decode the records that the operator and backend servers write.

The records are JSON objects in keyed topics of the platform's store.
"""

import math
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    MalformedValueError,
    describe_value,
    require_mapping,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import (
    BackendServer,
    ClientLimits,
    Configuration,
    KVCacheStoreSpec,
    QuotaSpec,
    QuotaUnit,
    RequestKind,
    RouteSpec,
    RouteTarget,
    ServiceSpec,
    TeamSpec,
    WeightsTarget,
)
from arbutusbay.platform._endpoints import parse_remote_endpoint
from arbutusbay.platform._field_validation import (
    get_boolean,
    get_duration_s,
    get_integer,
    get_list,
    get_number,
    get_string,
    get_strings,
)

_CONFIGURATION_KEY = 'config'
_WEIGHTS_KEY_PREFIX = 'version/'
_REQUEST_KINDS = MappingProxyType(
    {
        'safe': RequestKind.IDEMPOTENT,
        'unsafe': RequestKind.AT_MOST_ONCE,
        'streaming': RequestKind.STREAM,
    }
)
_BYTES_PER_MEGABIT = 125_000
_MIN_PATIENCE_S = 2.0
_PATIENCE_LATENCY_FACTOR = 4
_PATIENCE_GAP_FACTOR = 8
_SERVER_ID_PATTERN = re.compile('[!-~]+')
_QUOTA_UNITS = MappingProxyType(
    {'requests': QuotaUnit.REQUESTS, 'tokens': QuotaUnit.TOKENS}
)
_IS_DRAINING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})

OperatorRecord = Configuration | WeightsTarget


def decode_operator_record(
    key: str,
    payload: bytes,
) -> Result[OperatorRecord | None, Failure]:
    """Decode a record of the operator's topic.

    Return the configuration or weights target, None for a key of another
    kind, or a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_json_object(key, payload, _parse_operator_document)


def decode_backend_server(
    key: str,
    payload: bytes,
) -> Result[BackendServer, Failure]:
    """Decode the registration of the backend server ``key``.

    Return a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_json_object(key, payload, _parse_backend_server)


def decode_json_object(
    key: str, payload: bytes, parse: Any
) -> Result[Any, Failure]:
    """Decode the JSON object in ``payload`` with ``parse``.

    ``parse`` takes the key and the object and raises ``ValueError`` if the
    object is malformed. Return its result, or a failure of kind
    ``BAD_MESSAGE`` whose detail starts with the key.
    """
    try:
        return Ok(parse(key, require_mapping(orjson.loads(payload), key)))
    except ValueError as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'{key}: {error}'),
        )


def _parse_operator_document(
    key: str,
    fields: Mapping[str, Any],
) -> OperatorRecord | None:
    if key == _CONFIGURATION_KEY:
        return _parse_configuration(fields)
    if key.startswith(_WEIGHTS_KEY_PREFIX):
        return WeightsTarget(
            model=get_string(fields, 'model'),
            version=get_integer(fields, 'version'),
        )
    return None


def _parse_configuration(fields: Mapping[str, Any]) -> Configuration:
    services = [
        require_mapping(entry, 'services')
        for entry in get_list(fields, 'services')
    ]
    cache_stores = [
        _parse_cache_store(entry)
        for entry in services
        if 'kv_store_address' in entry
    ]
    routes = [_parse_route(entry) for entry in get_list(fields, 'routes')]
    problems = [
        store.err_value for store in cache_stores if isinstance(store, Err)
    ]
    teams = [
        _parse_team(entry, problems) for entry in get_list(fields, 'tenants')
    ]
    return Configuration(
        version=get_integer(fields, 'version'),
        routes_by_host=_group_by_host(routes),
        services={
            get_string(entry, 'name'): _parse_service(entry)
            for entry in services
            if 'kv_store_address' not in entry
        },
        kv_cache_stores=tuple(
            store.ok_value for store in cache_stores if isinstance(store, Ok)
        ),
        problems=tuple(problems),
        teams_by_api_key={key: team for team in teams for key in team.api_keys},
        requires_api_key='tenants' in fields,
        isolated_teams=frozenset(
            team.name for team in teams if team.has_isolated_cache
        ),
        limits=_parse_limits(
            require_mapping(fields.get('limits', {}), 'limits')
        ),
    )


def _group_by_host(routes: list[RouteSpec]) -> dict[str, tuple[RouteSpec, ...]]:
    by_host: dict[str, list[RouteSpec]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(entries, key=_prefix_length, reverse=True))
        for host, entries in by_host.items()
    }


def _prefix_length(route: RouteSpec) -> int:
    return len(route.path_prefix)


def _parse_route(entry: Any) -> RouteSpec:
    fields = require_mapping(entry, 'routes')
    kind = get_string(fields, 'kind')
    if kind not in _REQUEST_KINDS:
        raise MalformedValueError(
            f'kind: {describe_value(kind)} is not a known request kind'
        )
    target_latency_s = get_duration_s(fields, 'target_latency_ms', 0)
    return RouteSpec(
        name=get_string(fields, 'name'),
        host=get_string(fields, 'host').lower(),
        path_prefix=get_string(fields, 'path_prefix'),
        kind=_REQUEST_KINDS[kind],
        timeout_s=get_duration_s(fields, 'timeout_ms'),
        target_latency_s=target_latency_s,
        client_patience_s=_client_patience_s(
            _REQUEST_KINDS[kind],
            target_latency_s,
            _target_gap_s(fields),
        ),
        priority=get_integer(fields, 'priority', 0),
        targets=_parse_targets(fields),
        max_attempts=max(1, get_integer(fields, 'max_attempts', 1)),
        is_public=get_boolean(fields, 'public', default=False),
        is_resumable=get_boolean(fields, 'resumable', default=False),
    )


def _target_gap_s(fields: Mapping[str, Any]) -> float:
    """Return the longest pause between events, 0 if it can't be read.

    A route is served without it.
    """
    try:
        return get_duration_s(fields, 'target_gap_ms', 0)
    except MalformedValueError:
        return 0.0


def _client_patience_s(
    kind: RequestKind, target_latency_s: float, target_gap_s: float
) -> float:
    if kind is not RequestKind.STREAM:
        return math.inf
    return max(
        _MIN_PATIENCE_S,
        _PATIENCE_LATENCY_FACTOR * target_latency_s,
        _PATIENCE_GAP_FACTOR * target_gap_s,
    )


def _parse_targets(fields: Mapping[str, Any]) -> tuple[RouteTarget, ...]:
    if not get_list(fields, 'traffic_split'):
        return (RouteTarget(service=get_string(fields, 'service'), weight=1),)
    return tuple(
        RouteTarget(
            service=get_string(
                require_mapping(entry, 'traffic_split'), 'service'
            ),
            weight=get_number(entry, 'weight'),
        )
        for entry in get_list(fields, 'traffic_split')
    )


def _parse_service(fields: Mapping[str, Any]) -> ServiceSpec:
    engine = require_mapping(fields.get('engine', {}), 'engine')
    return ServiceSpec(
        name=get_string(fields, 'name'),
        models=tuple(
            get_string(require_mapping(model, 'models'), 'name')
            for model in get_list(engine, 'models')
        ),
        kv_capacity_tokens=get_integer(engine, 'kv_capacity_tokens', 0),
        kv_token_bytes=int(_get_optional_number(engine, 'kv_token_bytes')),
        link_bytes_per_s=_get_optional_number(engine, 'link_mbps')
        * _BYTES_PER_MEGABIT,
    )


def _get_optional_number(fields: Mapping[str, Any], name: str) -> float:
    """Return a number, 0 if it can't be read: a service is used without it."""
    try:
        return get_number(fields, name, 0)
    except MalformedValueError:
        return 0.0


def _parse_cache_store(
    fields: Mapping[str, Any],
) -> Result[KVCacheStoreSpec, str]:
    """Return the store, or what is wrong with it: requests do without one."""
    try:
        address = get_string(fields, 'kv_store_address')
        parse_remote_endpoint(address)
    except MalformedValueError as error:
        return Err(f'kv_store_address: {error}')
    zone = fields.get('zone')
    return Ok(
        KVCacheStoreSpec(
            address=address,
            zone=zone if isinstance(zone, str) else '',
        )
    )


def _parse_team(entry: Any, problems: list[str]) -> TeamSpec:
    """Return the team, without a quota if that can't be read.

    What is wrong with the quota, or missing, is added to ``problems``.
    """
    fields = require_mapping(entry, 'tenants')
    name = get_string(fields, 'name')
    priority = fields.get('priority')
    quota = None
    try:
        quota = _parse_quota(fields)
    except MalformedValueError as error:
        problems.append(f'quota of {name}: {error}')
    if _counts_no_other_tokens(quota, fields):
        problems.append(
            f'quota of {name}: no uncached_tokens, so requests without token '
            'counts are not limited'
        )
    return TeamSpec(
        name=name,
        quota=quota,
        api_keys=frozenset(get_strings(fields, 'api_keys')),
        priority=None if priority is None else get_integer(fields, 'priority'),
        has_isolated_cache=get_boolean(fields, 'isolated', default=False),
    )


def _counts_no_other_tokens(
    quota: QuotaSpec | None, fields: Mapping[str, Any]
) -> bool:
    """Return whether nothing says what requests without counts cost."""
    return (
        quota is not None
        and quota.unit is QuotaUnit.TOKENS
        and 'uncached_tokens' not in fields
    )


def _parse_quota(fields: Mapping[str, Any]) -> QuotaSpec | None:
    """Return the rate limit of a team, None if it has none.

    A limit without a rate would never grant again what was used once.
    """
    unit = fields.get('unit', 'requests')
    if not isinstance(unit, str) or unit not in _QUOTA_UNITS:
        raise MalformedValueError(
            f'unit: {describe_value(unit)} is not a known unit'
        )
    rate_per_s = get_number(fields, 'rate_per_s', 0)
    quota = QuotaSpec(
        unit=_QUOTA_UNITS[unit],
        rate_per_s=rate_per_s,
        burst=get_number(fields, 'burst', 0),
        default_cost=get_number(fields, 'uncached_tokens', 0),
    )
    return quota if rate_per_s else None


def _parse_limits(fields: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=get_integer(
            fields,
            'max_header_bytes',
            defaults.max_header_bytes,
        ),
        max_body_bytes=get_integer(
            fields,
            'max_body_bytes',
            defaults.max_body_bytes,
        ),
        idle_timeout_s=_get_timeout_s(
            fields,
            'idle_timeout_ms',
            defaults.idle_timeout_s,
        ),
    )


def _get_timeout_s(
    fields: Mapping[str, Any],
    name: str,
    default_s: float,
) -> float:
    if name in fields:
        return get_duration_s(fields, name)
    return default_s


def _parse_backend_server(key: str, fields: Mapping[str, Any]) -> BackendServer:
    state = get_string(fields, 'state')
    if state not in _IS_DRAINING_BY_STATE:
        raise MalformedValueError(
            f'state: {describe_value(state)} is not a known server state'
        )
    address = get_string(fields, 'address')
    parse_remote_endpoint(address)
    return BackendServer(
        id=_require_server_id(key),
        service=get_string(fields, 'service'),
        address=address,
        zone=get_string(fields, 'zone'),
        slots=get_integer(fields, 'slots'),
        is_draining=_IS_DRAINING_BY_STATE[state],
        weights=parse_weights_versions(fields),
        incarnation=get_integer(fields, 'born', 0),
        heartbeat_count=get_integer(fields, 'sequence', 0),
    )


def _require_server_id(key: str) -> str:
    """Return ``key`` if it can be sent as the text of a header."""
    if _SERVER_ID_PATTERN.fullmatch(key):
        return key
    raise MalformedValueError(
        f'id: must be printable ASCII, not {describe_value(key)}'
    )


def parse_weights_versions(fields: Mapping[str, Any]) -> dict[str, int]:
    """Return the loaded weights version of each model in ``models``.

    Raise ``MalformedValueError`` if an entry lacks a name or a version.
    """
    models = [
        require_mapping(entry, 'models') for entry in get_list(fields, 'models')
    ]
    return {
        get_string(model, 'name'): get_integer(model, 'version')
        for model in models
    }
