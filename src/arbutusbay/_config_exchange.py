"""Convert configuration between daemons' messages and folded state."""

from result import Err, Ok

from arbutusbay.http import parse_json
from arbutusbay.logs import get_logger
from arbutusbay.state import (
    ConfigState,
    Resource,
    ResourceId,
    Snapshot,
    spec_from_json,
    spec_to_text,
    state_from_snapshot,
)
from arbutusbay.wire import ConfigReply, ResourceEntry

_LOG = get_logger('config_exchange')


def entries_from_state(state: ConfigState) -> list[ResourceEntry]:
    """Return every resource in force as message entries."""
    return [
        ResourceEntry(
            kind=resource.id.kind,
            name=resource.id.name,
            spec=spec_to_text(resource.spec),
            version=resource.version,
        )
        for resource in state.resources.values()
    ]


def state_from_reply(known: ConfigState, reply: ConfigReply) -> ConfigState:
    """Return the state in ``reply``; skip entries that can't be read.

    Resources that ``known`` holds at the same version are not parsed again.
    """
    resources = (_resource(known, entry) for entry in reply.entries)
    return state_from_snapshot(
        Snapshot(
            base=reply.offset,
            resources=tuple(found for found in resources if found),
            nonce='',
        ),
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
