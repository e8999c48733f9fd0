"""Dump the state of the control daemon for debugging, without secrets."""

from typing import Any

import attrs

from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._shared_state import ControlState


def dump_state(board: ControlState, ledger: LedgerService) -> dict[str, Any]:
    """Return the state of this daemon as a JSON-compatible dict."""
    return {
        'node': board.node_id,
        'incarnation': board.incarnation,
        'config_offset': board.config.offset,
        'config_known': board.config_known,
        'log_reachable': board.log_reachable,
        'resources': [
            f'{resource.id.kind}/{resource.id.name}@{resource.version}'
            for resource in board.config.resources.values()
        ],
        'router_offset': board.live_router_offset(),
        'members': [attrs.asdict(member) for member in board.live_members()],
        'leaving_hosts': sorted(board.leaving_hosts),
        'lease': attrs.asdict(board.lease) if board.lease else None,
        'holds_lease': board.holds_lease(),
        'index': {
            engine.name: {
                'incarnation': engine.incarnation,
                'weights_version': engine.weights_version,
                'sequence': engine.sequence,
                'blocks': len(engine.blocks),
                'gaps': engine.gaps,
                'reachable': engine.reachable,
            }
            for engine in board.index.values()
        },
        'ledger': {
            partition.stream: {
                'next_offset': partition.next_offset,
                'keys': len(partition.entries),
                'pending': len(partition.pending),
            }
            for partition in ledger.partitions.values()
        },
        'draining': board.draining,
    }
