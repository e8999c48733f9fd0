"""Dump the state of the control daemon for debugging, without secrets."""

from typing import Any

import attrs

from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._shared_state import ControlState


def dump_state(
    shared_state: ControlState,
    ledger: LedgerService,
    quotas: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the state of this daemon as a JSON-compatible dict.

    ``quotas`` describes its part in the limits of teams.
    """
    return {
        'node': shared_state.node_id,
        'incarnation': shared_state.incarnation,
        'config_offset': shared_state.config.offset,
        'config_known': shared_state.config_known,
        'log_reachable': shared_state.log_reachable,
        'resources': [
            f'{resource.id.kind}/{resource.id.name}@{resource.version}'
            for resource in shared_state.config.resources.values()
        ],
        'router_offset': shared_state.live_router_offset(),
        'members': [
            attrs.asdict(member) for member in shared_state.live_members()
        ],
        'leaving_hosts': sorted(shared_state.leaving_hosts),
        'lease': attrs.asdict(shared_state.lease)
        if shared_state.lease
        else None,
        'holds_lease': shared_state.holds_lease(),
        'index': {
            engine.name: {
                'incarnation': engine.incarnation,
                'weights_version': engine.weights_version,
                'sequence': engine.sequence,
                'blocks': len(engine.blocks),
                'gaps': engine.gaps,
                'reachable': engine.reachable,
            }
            for engine in shared_state.index.values()
        },
        'ledger': {
            partition.stream: {
                'next_offset': partition.next_offset,
                'keys': len(partition.entries),
                'pending': len(partition.pending),
            }
            for partition in ledger.partitions.values()
        },
        'quotas': quotas,
        'draining': shared_state.draining,
    }
