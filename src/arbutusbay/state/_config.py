"""Fold configuration records, in log order, into the current state.

Every process folds the same records with the same functions, so the order
of the platform's log resolves concurrent writes the same way everywhere.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    require_integer,
    require_mapping,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.state._resources import (
    Spec,
    spec_from_json,
    spec_to_json,
)

NO_VERSION = -1


@attrs.frozen(kw_only=True)
class ResourceId:
    """Identify a resource by kind and name."""

    kind: str
    name: str


@attrs.frozen(kw_only=True)
class Resource:
    """Hold a resource; ``version`` is the log offset of its last write."""

    id: ResourceId
    spec: Spec
    version: int


@attrs.frozen(kw_only=True)
class Put:
    """Create or replace a resource if its version is ``expects``.

    ``expects`` is ``NO_VERSION`` to create the resource only if it doesn't
    exist, and None to write it unconditionally. ``nonce`` lets the writer
    find its own record in the log.
    """

    id: ResourceId
    spec: Spec
    expects: int | None
    nonce: str


@attrs.frozen(kw_only=True)
class Delete:
    """Delete a resource if its version is ``expects``.

    With None as ``expects`` it is deleted unconditionally.
    """

    id: ResourceId
    expects: int | None
    nonce: str


@attrs.frozen(kw_only=True)
class Snapshot:
    """Hold the full state after the record at offset ``base_offset``.

    A reader uses a snapshot only if the log still holds every record after
    ``base_offset``. A snapshot that is appended late therefore never restores
    old state.
    """

    base_offset: int
    resources: tuple[Resource, ...]
    nonce: str


ConfigRecord = Put | Delete | Snapshot


@attrs.frozen(kw_only=True)
class ConfigState:
    """Hold all resources after the record at ``offset``.

    The offset is -1 before the first record.
    """

    offset: int = -1
    resources: Mapping[ResourceId, Resource] = attrs.field(
        factory=lambda: MappingProxyType({}),
    )


def meets_precondition(state: ConfigState, record: Put | Delete) -> bool:
    """Return whether ``record`` meets its precondition in ``state``."""
    if record.expects is None:
        return True
    return current_version(state, record.id) == record.expects


def current_version(state: ConfigState, resource_id: ResourceId) -> int:
    """Return the version of a resource, or ``NO_VERSION`` if it is absent."""
    resource = state.resources.get(resource_id)
    return resource.version if resource else NO_VERSION


def apply_config_record(
    state: ConfigState,
    offset: int,
    record: ConfigRecord | None,
) -> ConfigState:
    """Return the state after ``record`` at ``offset``.

    A record at or below the state's offset is ignored. An unreadable
    record, passed as None, only advances the offset; so do a snapshot and a
    write whose precondition fails.
    """
    if offset <= state.offset:
        return state
    resources = state.resources
    match record:
        case Put() if meets_precondition(state, record):
            resources = {**resources, record.id: _resource_at(offset, record)}
        case Delete() if meets_precondition(state, record):
            resources = {
                resource_id: resource
                for resource_id, resource in resources.items()
                if resource_id != record.id
            }
        case _:
            return attrs.evolve(state, offset=offset)
    return ConfigState(offset=offset, resources=MappingProxyType(resources))


def state_from_snapshot(snapshot: Snapshot) -> ConfigState:
    """Return the state stored in ``snapshot``."""
    return ConfigState(
        offset=snapshot.base_offset,
        resources=MappingProxyType(
            {resource.id: resource for resource in snapshot.resources}
        ),
    )


def is_usable_snapshot(snapshot: Snapshot, first_offset: int) -> bool:
    """Return whether the log still holds every record after ``snapshot``.

    ``first_offset`` is the lowest offset that the log holds.
    """
    return snapshot.base_offset + 1 >= first_offset


def build_snapshot(state: ConfigState, nonce: str) -> Snapshot:
    """Return a record that stores all of ``state``."""
    return Snapshot(
        base_offset=state.offset,
        resources=tuple(state.resources.values()),
        nonce=nonce,
    )


def encode_config_record(record: ConfigRecord) -> bytes:
    """Encode ``record`` as JSON for the platform's log."""
    match record:
        case Put():
            fields = {'type': 'put', 'spec': spec_to_json(record.spec)}
        case Delete():
            fields = {'type': 'delete'}
        case Snapshot():
            return orjson.dumps(
                {
                    'type': 'snapshot',
                    'base': record.base_offset,
                    'nonce': record.nonce,
                    'resources': [
                        resource_to_json(resource)
                        for resource in record.resources
                    ],
                }
            )
    return orjson.dumps(
        {
            **fields,
            'kind': record.id.kind,
            'name': record.id.name,
            'expects': record.expects,
            'nonce': record.nonce,
        }
    )


def decode_config_record(payload: bytes) -> Result[ConfigRecord, Failure]:
    """Decode the record in ``payload``.

    Fails with ``BAD_MESSAGE`` if it is malformed, and with
    ``INVALID_RESOURCE`` if a spec in it is invalid.
    """
    try:
        return _record_from_json(orjson.loads(payload))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'malformed configuration record: {error!r}',
            ),
        )


def resource_to_json(resource: Resource) -> dict[str, Any]:
    """Return a resource and its version as a JSON-compatible dict."""
    return {
        'kind': resource.id.kind,
        'name': resource.id.name,
        'spec': spec_to_json(resource.spec),
        'version': resource.version,
    }


def resource_from_json(fields: dict[str, Any]) -> Result[Resource, Failure]:
    """Return the resource from the output of ``resource_to_json``.

    Fails with ``INVALID_RESOURCE`` if the spec is invalid, and raises
    ``KeyError`` if a field is missing, ``ValueError`` if it is of another type.
    """
    resource_id = _resource_id_from_json(fields)
    version = _version_from_json(fields, 'version')
    return spec_from_json(resource_id.kind, fields['spec']).map(
        lambda spec: Resource(id=resource_id, spec=spec, version=version),
    )


def _resource_id_from_json(fields: dict[str, Any]) -> ResourceId:
    return ResourceId(
        kind=require_text(fields['kind'], 'kind'),
        name=require_text(fields['name'], 'name'),
    )


def _version_from_json(fields: dict[str, Any], name: str) -> int:
    return require_integer(fields[name], name, lowest=NO_VERSION)


def _resource_at(offset: int, record: Put) -> Resource:
    return Resource(id=record.id, spec=record.spec, version=offset)


def _record_from_json(fields: dict[str, Any]) -> Result[ConfigRecord, Failure]:
    require_mapping(fields, 'record')
    if fields['type'] == 'snapshot':
        return _snapshot_from_json(fields)
    resource_id = _resource_id_from_json(fields)
    expects = fields['expects']
    if expects is not None:
        expects = _version_from_json(fields, 'expects')
    nonce = require_text(fields['nonce'], 'nonce')
    if fields['type'] == 'delete':
        return Ok(Delete(id=resource_id, expects=expects, nonce=nonce))
    return spec_from_json(resource_id.kind, fields['spec']).map(
        lambda spec: Put(
            id=resource_id,
            spec=spec,
            expects=expects,
            nonce=nonce,
        ),
    )


def _snapshot_from_json(fields: dict[str, Any]) -> Result[Snapshot, Failure]:
    resources = []
    for resource_fields in fields['resources']:
        match resource_from_json(resource_fields):
            case Err() as failed:
                return failed
            case Ok(resource):
                resources.append(resource)
    return Ok(
        Snapshot(
            base_offset=_version_from_json(fields, 'base'),
            nonce=require_text(fields['nonce'], 'nonce'),
            resources=tuple(resources),
        )
    )
