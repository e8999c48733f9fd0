"""Dump the state of the router for debugging, without secrets."""

import time
from typing import Any

import attrs

from arbutusbay.router._shared_state import RouterState


def dump_state(board: RouterState) -> dict[str, Any]:
    """Return the state of this router as a JSON-compatible dict."""
    now_s = time.monotonic()
    return {
        'node': board.settings.node.id,
        'policy': board.settings.policy.value,
        'config_offset': board.config.offset,
        'config_known': board.config_known,
        'draining': board.draining,
        'members': [attrs.asdict(member) for member in board.members],
        'leaving_hosts': sorted(board.leaving_hosts),
        'retry_budget': board.retry_budget.tokens,
        'pools': {
            pool.name: {
                'queued': len(pool.queue),
                'prefill_s': pool.prefill_s_per_token,
                'service_s': pool.service_s,
            }
            for pool in board.pools.values()
        },
        'engines': {
            engine.name: {
                'usable': engine.is_usable(),
                'avoided': engine.is_in_backoff(now_s),
                'ready': engine.ready,
                'draining': engine.draining,
                'leaving': engine.leaving,
                'incarnation': engine.incarnation,
                'weights_version': engine.weights_version,
                'in_flight': len(engine.in_flight),
                'running': engine.running,
                'waiting': engine.waiting,
                'slots': engine.slots,
                'piece_s': engine.piece_s,
                'failures': engine.consecutive_failures,
            }
            for engine in board.engines.values()
        },
        'services': {
            service.name: {
                'in_flight': service.in_flight,
                'draining': service.draining,
            }
            for service in board.services.values()
        },
    }
