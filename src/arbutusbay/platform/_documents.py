"""Decode what the operator, the engines and the VMs keep in the store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import (
    BackendServer,
    CacheStoreSpec,
    ClientLimits,
    Configuration,
    RequestKind,
    RouteRule,
    ServiceSpec,
    TeamAccess,
    WeightedService,
    WeightsTarget,
)
from arbutusbay.platform._fields import (
    MalformedDocumentError,
    as_table,
    get_flag,
    get_list,
    get_milliseconds,
    get_number,
    get_text,
    get_texts,
    get_whole,
)
from arbutusbay.platform._settings_file import endpoint_from_text

_CONFIGURATION_KEY = 'config'
_WEIGHTS_PREFIX = 'version/'
_KINDS = MappingProxyType(
    {
        'safe': RequestKind.IDEMPOTENT,
        'unsafe': RequestKind.AT_MOST_ONCE,
        'streaming': RequestKind.STREAM,
    }
)
_STATES = MappingProxyType({'ready': False, 'draining': True})

OperatorDocument = Configuration | WeightsTarget


def operator_document_from_record(
    key: str,
    payload: bytes,
) -> Result[OperatorDocument | None, Failure]:
    """Return the configuration or weights target; None for other keys."""
    return decode_document(key, payload, _operator_document)


def backend_server_from_record(
    key: str,
    payload: bytes,
) -> Result[BackendServer, Failure]:
    """Return the registered backend server."""
    return decode_document(key, payload, _backend_server)


def decode_document(
    key: str, payload: bytes, read: Any
) -> Result[Any, Failure]:
    """Return what ``read`` makes of the JSON table in ``payload``."""
    try:
        return Ok(read(key, as_table(orjson.loads(payload), key)))
    except ValueError as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'{key}: {error}'),
        )


def _operator_document(
    key: str,
    table: Mapping[str, Any],
) -> OperatorDocument | None:
    if key == _CONFIGURATION_KEY:
        return _configuration(table)
    if key.startswith(_WEIGHTS_PREFIX):
        return WeightsTarget(
            model=get_text(table, 'model'),
            version=get_whole(table, 'version'),
        )
    return None


def _configuration(table: Mapping[str, Any]) -> Configuration:
    services = [
        as_table(entry, 'services') for entry in get_list(table, 'services')
    ]
    routes = [_route(entry) for entry in get_list(table, 'routes')]
    teams = [_team(entry) for entry in get_list(table, 'tenants')]
    return Configuration(
        version=get_whole(table, 'version'),
        routes_by_host=_by_host(routes),
        services={
            get_text(entry, 'name'): _service(entry)
            for entry in services
            if 'kv_store_address' not in entry
        },
        cache_stores=tuple(
            _cache_store(entry)
            for entry in services
            if 'kv_store_address' in entry
        ),
        teams_by_key={key: team for team in teams for key in team.api_keys},
        has_teams='tenants' in table,
        limits=_limits(as_table(table.get('limits', {}), 'limits')),
    )


def _by_host(routes: list[RouteRule]) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(entries, key=_prefix_length, reverse=True))
        for host, entries in by_host.items()
    }


def _prefix_length(route: RouteRule) -> int:
    return len(route.path_prefix)


def _route(entry: Any) -> RouteRule:
    table = as_table(entry, 'routes')
    kind = get_text(table, 'kind')
    if kind not in _KINDS:
        raise MalformedDocumentError(f'kind: {kind!r} is not known')
    return RouteRule(
        name=get_text(table, 'name'),
        host=get_text(table, 'host').lower(),
        path_prefix=get_text(table, 'path_prefix'),
        kind=_KINDS[kind],
        timeout_s=get_milliseconds(table, 'timeout_ms'),
        target_latency_s=get_milliseconds(table, 'target_latency_ms', 0),
        target_gap_s=get_milliseconds(table, 'target_gap_ms', 0),
        priority=get_whole(table, 'priority', 0),
        targets=_targets(table),
        max_attempts=max(1, get_whole(table, 'max_attempts', 1)),
        is_public=get_flag(table, 'public', default=False),
        is_resumable=get_flag(table, 'resumable', default=False),
    )


def _targets(table: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    if not get_list(table, 'traffic_split'):
        return (WeightedService(service=get_text(table, 'service'), weight=1),)
    return tuple(
        WeightedService(
            service=get_text(as_table(part, 'traffic_split'), 'service'),
            weight=get_number(part, 'weight'),
        )
        for part in get_list(table, 'traffic_split')
    )


def _service(table: Mapping[str, Any]) -> ServiceSpec:
    engine = as_table(table.get('engine', {}), 'engine')
    return ServiceSpec(
        name=get_text(table, 'name'),
        models=tuple(
            get_text(as_table(model, 'models'), 'name')
            for model in get_list(engine, 'models')
        ),
        slots=get_whole(engine, 'slots', 0),
        kv_capacity_tokens=get_whole(engine, 'kv_capacity_tokens', 0),
        max_connections=get_whole(table, 'max_connections', 0),
    )


def _cache_store(table: Mapping[str, Any]) -> CacheStoreSpec:
    address = get_text(table, 'kv_store_address')
    endpoint_from_text(address)
    return CacheStoreSpec(
        name=get_text(table, 'name'),
        address=address,
        zone=get_text(table, 'zone'),
    )


def _team(entry: Any) -> TeamAccess:
    table = as_table(entry, 'tenants')
    priority = table.get('priority')
    return TeamAccess(
        name=get_text(table, 'name'),
        api_keys=frozenset(get_texts(table, 'api_keys')),
        priority=None if priority is None else get_whole(table, 'priority'),
        is_isolated=get_flag(table, 'isolated', default=False),
    )


def _limits(table: Mapping[str, Any]) -> ClientLimits:
    usual = ClientLimits()
    return ClientLimits(
        max_header_bytes=get_whole(
            table,
            'max_header_bytes',
            usual.max_header_bytes,
        ),
        max_body_bytes=get_whole(
            table,
            'max_body_bytes',
            usual.max_body_bytes,
        ),
        header_timeout_s=_limit_s(
            table,
            'header_timeout_ms',
            usual.header_timeout_s,
        ),
        idle_timeout_s=_limit_s(
            table,
            'idle_timeout_ms',
            usual.idle_timeout_s,
        ),
    )


def _limit_s(
    table: Mapping[str, Any],
    name: str,
    usual_s: float,
) -> float:
    if name in table:
        return get_milliseconds(table, name)
    return usual_s


def _backend_server(key: str, table: Mapping[str, Any]) -> BackendServer:
    state = get_text(table, 'state')
    if state not in _STATES:
        raise MalformedDocumentError(f'state: {state!r} is not known')
    address = get_text(table, 'address')
    endpoint_from_text(address)
    return BackendServer(
        id=key,
        service=get_text(table, 'service'),
        address=address,
        zone=get_text(table, 'zone'),
        slots=get_whole(table, 'slots'),
        is_draining=_STATES[state],
        cold_remaining_s=get_milliseconds(table, 'cold_remaining_ms', 0),
        weights=weights_from_models(table),
        incarnation=get_whole(table, 'born', 0),
    )


def weights_from_models(table: Mapping[str, Any]) -> dict[str, int]:
    """Return the loaded version of each model in ``models``."""
    models = [as_table(entry, 'models') for entry in get_list(table, 'models')]
    return {
        get_text(model, 'name'): get_whole(model, 'version') for model in models
    }
