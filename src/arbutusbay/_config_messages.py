"""Convert between the configuration state and the messages that carry it.

Control daemons send the resources that changed after an offset, or all of
them; the receiver applies them to the state that it already has.
"""

from collections.abc import Iterable
from types import MappingProxyType

from result import Err, Ok

from arbutusbay.http import parse_json
from arbutusbay.logs import get_logger
from arbutusbay.state import (
    NO_VERSION,
    ConfigState,
    Resource,
    ResourceId,
    spec_from_json,
    spec_to_canonical_json,
)
from arbutusbay.wire import ConfigReply, ResourceEntry, ResourceKey

_LOG = get_logger('config_exchange')


def build_resource_entries(
    state: ConfigState,
    *,
    after: int = NO_VERSION,
) -> list[ResourceEntry]:
    """Return message entries for the resources written after ``after``.

    ``after`` is an offset of the configuration log. By default all resources
    are returned.
    """
    return [
        ResourceEntry(
            kind=resource.id.kind,
            name=resource.id.name,
            spec=spec_to_canonical_json(resource.spec),
            version=resource.version,
        )
        for resource in state.resources.values()
        if resource.version > after
    ]


def build_resource_keys(ids: Iterable[ResourceId]) -> list[ResourceKey]:
    """Return message keys for the resources ``ids``."""
    return [
        ResourceKey(kind=resource_id.kind, name=resource_id.name)
        for resource_id in ids
    ]


def apply_config_reply(known: ConfigState, reply: ConfigReply) -> ConfigState:
    """Return the state that results from applying ``reply`` to ``known``.

    A full reply replaces all resources. Invalid entries are logged and
    skipped. Resources that ``known`` has at the same version are reused
    without parsing them again.
    """
    resources = {} if reply.full else dict(known.resources)
    for key in reply.removed:
        resources.pop(ResourceId(kind=key.kind, name=key.name), None)
    for entry in reply.entries:
        resource = _parse_entry(known, entry)
        if resource is not None:
            resources[resource.id] = resource
    return ConfigState(
        offset=reply.offset,
        resources=MappingProxyType(resources),
    )


def _parse_entry(known: ConfigState, entry: ResourceEntry) -> Resource | None:
    resource_id = ResourceId(kind=entry.kind, name=entry.name)
    known_resource = known.resources.get(resource_id)
    if known_resource is not None and known_resource.version == entry.version:
        return known_resource
    spec = parse_json(entry.spec.encode()).and_then(
        lambda fields: spec_from_json(entry.kind, fields),
    )
    match spec:
        case Ok(valid_spec):
            return Resource(
                id=resource_id,
                spec=valid_spec,
                version=entry.version,
            )
        case Err(failure):
            _LOG.error('ignored an invalid resource entry: {}', failure.detail)
    return None
