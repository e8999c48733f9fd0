"""Decode the records that the operator and backend servers write.

Records hold JSON objects and lie in keyed topics of the platform's store.
"""

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
_WEIGHTS_KEY_PREFIX = 'version/'
_REQUEST_KINDS = MappingProxyType(
    {
        'safe': RequestKind.IDEMPOTENT,
        'unsafe': RequestKind.AT_MOST_ONCE,
        'streaming': RequestKind.STREAM,
    }
)
_IS_DRAINING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})

OperatorDocument = Configuration | WeightsTarget


def operator_document_from_record(
    key: str,
    payload: bytes,
) -> Result[OperatorDocument | None, Failure]:
    """Decode a record of the operator's topic.

    Return the configuration or weights target, None for a key of another
    kind, or a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_document(key, payload, _parse_operator_document)


def backend_server_from_record(
    key: str,
    payload: bytes,
) -> Result[BackendServer, Failure]:
    """Decode the registration of the backend server ``key``.

    Return a failure of kind ``BAD_MESSAGE`` if the payload is malformed.
    """
    return decode_document(key, payload, _parse_backend_server)


def decode_document(
    key: str, payload: bytes, parse: Any
) -> Result[Any, Failure]:
    """Decode the JSON object in ``payload`` with ``parse``.

    ``parse`` takes the key and the object and raises ``ValueError`` if the
    object is malformed. Return its result, or a failure of kind
    ``BAD_MESSAGE`` whose detail starts with the key.
    """
    try:
        return Ok(parse(key, as_table(orjson.loads(payload), key)))
    except ValueError as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'{key}: {error}'),
        )


def _parse_operator_document(
    key: str,
    fields: Mapping[str, Any],
) -> OperatorDocument | None:
    if key == _CONFIGURATION_KEY:
        return _parse_configuration(fields)
    if key.startswith(_WEIGHTS_KEY_PREFIX):
        return WeightsTarget(
            model=get_text(fields, 'model'),
            version=get_whole(fields, 'version'),
        )
    return None


def _parse_configuration(fields: Mapping[str, Any]) -> Configuration:
    services = [
        as_table(entry, 'services') for entry in get_list(fields, 'services')
    ]
    routes = [_parse_route(entry) for entry in get_list(fields, 'routes')]
    teams = [_parse_team(entry) for entry in get_list(fields, 'tenants')]
    return Configuration(
        version=get_whole(fields, 'version'),
        routes_by_host=_group_by_host(routes),
        services={
            get_text(entry, 'name'): _parse_service(entry)
            for entry in services
            if 'kv_store_address' not in entry
        },
        cache_stores=tuple(
            _parse_cache_store(entry)
            for entry in services
            if 'kv_store_address' in entry
        ),
        teams_by_key={key: team for team in teams for key in team.api_keys},
        has_teams='tenants' in fields,
        limits=_parse_limits(as_table(fields.get('limits', {}), 'limits')),
    )


def _group_by_host(routes: list[RouteRule]) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(entries, key=_prefix_length, reverse=True))
        for host, entries in by_host.items()
    }


def _prefix_length(route: RouteRule) -> int:
    return len(route.path_prefix)


def _parse_route(entry: Any) -> RouteRule:
    fields = as_table(entry, 'routes')
    kind = get_text(fields, 'kind')
    if kind not in _REQUEST_KINDS:
        raise MalformedDocumentError(
            f'kind: {kind!r} is not a known request kind'
        )
    return RouteRule(
        name=get_text(fields, 'name'),
        host=get_text(fields, 'host').lower(),
        path_prefix=get_text(fields, 'path_prefix'),
        kind=_REQUEST_KINDS[kind],
        timeout_s=get_milliseconds(fields, 'timeout_ms'),
        target_latency_s=get_milliseconds(fields, 'target_latency_ms', 0),
        target_gap_s=get_milliseconds(fields, 'target_gap_ms', 0),
        priority=get_whole(fields, 'priority', 0),
        targets=_parse_targets(fields),
        max_attempts=max(1, get_whole(fields, 'max_attempts', 1)),
        is_public=get_flag(fields, 'public', default=False),
        is_resumable=get_flag(fields, 'resumable', default=False),
    )


def _parse_targets(fields: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    if not get_list(fields, 'traffic_split'):
        return (WeightedService(service=get_text(fields, 'service'), weight=1),)
    return tuple(
        WeightedService(
            service=get_text(as_table(entry, 'traffic_split'), 'service'),
            weight=get_number(entry, 'weight'),
        )
        for entry in get_list(fields, 'traffic_split')
    )


def _parse_service(fields: Mapping[str, Any]) -> ServiceSpec:
    engine = as_table(fields.get('engine', {}), 'engine')
    return ServiceSpec(
        name=get_text(fields, 'name'),
        models=tuple(
            get_text(as_table(model, 'models'), 'name')
            for model in get_list(engine, 'models')
        ),
        slots=get_whole(engine, 'slots', 0),
        kv_capacity_tokens=get_whole(engine, 'kv_capacity_tokens', 0),
        max_connections=get_whole(fields, 'max_connections', 0),
    )


def _parse_cache_store(fields: Mapping[str, Any]) -> CacheStoreSpec:
    address = get_text(fields, 'kv_store_address')
    endpoint_from_text(address)
    return CacheStoreSpec(
        name=get_text(fields, 'name'),
        address=address,
        zone=get_text(fields, 'zone'),
    )


def _parse_team(entry: Any) -> TeamAccess:
    fields = as_table(entry, 'tenants')
    priority = fields.get('priority')
    return TeamAccess(
        name=get_text(fields, 'name'),
        api_keys=frozenset(get_texts(fields, 'api_keys')),
        priority=None if priority is None else get_whole(fields, 'priority'),
        is_isolated=get_flag(fields, 'isolated', default=False),
    )


def _parse_limits(fields: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=get_whole(
            fields,
            'max_header_bytes',
            defaults.max_header_bytes,
        ),
        max_body_bytes=get_whole(
            fields,
            'max_body_bytes',
            defaults.max_body_bytes,
        ),
        header_timeout_s=_get_timeout_s(
            fields,
            'header_timeout_ms',
            defaults.header_timeout_s,
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
        return get_milliseconds(fields, name)
    return default_s


def _parse_backend_server(key: str, fields: Mapping[str, Any]) -> BackendServer:
    state = get_text(fields, 'state')
    if state not in _IS_DRAINING_BY_STATE:
        raise MalformedDocumentError(
            f'state: {state!r} is not a known server state'
        )
    address = get_text(fields, 'address')
    endpoint_from_text(address)
    return BackendServer(
        id=key,
        service=get_text(fields, 'service'),
        address=address,
        zone=get_text(fields, 'zone'),
        slots=get_whole(fields, 'slots'),
        is_draining=_IS_DRAINING_BY_STATE[state],
        cold_remaining_s=get_milliseconds(fields, 'cold_remaining_ms', 0),
        weights=weights_from_models(fields),
        incarnation=get_whole(fields, 'born', 0),
    )


def weights_from_models(fields: Mapping[str, Any]) -> dict[str, int]:
    """Return the loaded weights version of each model in ``models``.

    Raise ``MalformedDocumentError`` if an entry lacks a name or a version.
    """
    models = [as_table(entry, 'models') for entry in get_list(fields, 'models')]
    return {
        get_text(model, 'name'): get_whole(model, 'version') for model in models
    }
