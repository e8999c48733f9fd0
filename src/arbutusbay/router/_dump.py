"""Dump the state of the router for debugging, without secrets."""

import time
from typing import Any

import attrs

from arbutusbay.router._shared_state import RouterState


def dump_state(shared_state: RouterState) -> dict[str, Any]:
    """Return the state of this router as a JSON-compatible dict."""
    now_s = time.monotonic()
    return {
        'node': shared_state.settings.node.id,
        'policy': shared_state.settings.policy.value,
        'config_offset': shared_state.config.offset,
        'config_known': shared_state.config_known,
        'draining': shared_state.draining,
        'members': [attrs.asdict(member) for member in shared_state.members],
        'leaving_hosts': sorted(shared_state.leaving_hosts),
        'retry_budget': shared_state.retry_budget.tokens,
        'quarantine': sorted(
            key.segment for key in shared_state.quarantine.table.quarantined
        ),
        'pools': {
            pool.name: {
                'queued': len(pool.queue),
                'prefill_s': pool.prefill_s_per_token,
                'service_s': pool.service_s,
            }
            for pool in shared_state.pools.values()
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
            for engine in shared_state.engines.values()
        },
        'services': {
            service.name: {
                'in_flight': service.in_flight,
                'draining': service.draining,
            }
            for service in shared_state.services.values()
        },
    }
