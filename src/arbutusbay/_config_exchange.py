"""Convert configuration between daemons' messages and folded state."""

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


def entries_from_state(
    state: ConfigState,
    *,
    after: int = NO_VERSION,
) -> list[ResourceEntry]:
    """Return the resources put after offset ``after`` as entries."""
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


def keys_from_ids(ids: Iterable[ResourceId]) -> list[ResourceKey]:
    """Return resource names as message entries."""
    return [
        ResourceKey(kind=resource_id.kind, name=resource_id.name)
        for resource_id in ids
    ]


def state_from_reply(known: ConfigState, reply: ConfigReply) -> ConfigState:
    """Return ``known`` brought to the state in ``reply``.

    Entries that can't be read are skipped. Resources that ``known`` holds
    at the same version are not parsed again.
    """
    resources = {} if reply.full else dict(known.resources)
    for key in reply.removed:
        resources.pop(ResourceId(kind=key.kind, name=key.name), None)
    for entry in reply.entries:
        resource = _resource(known, entry)
        if resource is not None:
            resources[resource.id] = resource
    return ConfigState(
        offset=reply.offset,
        resources=MappingProxyType(resources),
    )


def _resource(known: ConfigState, entry: ResourceEntry) -> Resource | None:
    resource_id = ResourceId(kind=entry.kind, name=entry.name)
    present = known.resources.get(resource_id)
    if present is not None and present.version == entry.version:
        return present
    spec = parse_json(entry.spec.encode()).and_then(
        lambda fields: spec_from_json(entry.kind, fields),
    )
    match spec:
        case Ok(checked):
            return Resource(
                id=resource_id,
                spec=checked,
                version=entry.version,
            )
        case Err(failure):
            _LOG.error('ignored entry: {}', failure.detail)
    return None
