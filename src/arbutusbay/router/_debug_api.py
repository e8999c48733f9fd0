"""Serve health, metrics and the state dump of the router."""

import time
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web

from arbutusbay.http import json_response
from arbutusbay.router._blackboard import RouterBoard
from arbutusbay.router._metrics import RouterMetrics


class DebugApi:
    """Answer questions about this process."""

    def __init__(
        self,
        *,
        board: RouterBoard,
        metrics: RouterMetrics,
    ) -> None:
        """Read ``board``; render ``metrics``."""
        self.board = board
        self.metrics = metrics

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoints."""
        router = application.router
        router.add_get('/healthz', self.answer_health)
        router.add_get('/readyz', self.answer_ready)
        router.add_get('/metrics', self.render_metrics)
        router.add_get('/debug/state', self.answer_state)

    async def answer_health(self, request: web.Request) -> web.Response:
        """Tell that the process lives."""
        return json_response({'alive': True})

    async def answer_ready(self, request: web.Request) -> web.Response:
        """Tell whether the balancer may send requests."""
        ready = self.board.config_known and not self.board.draining
        return json_response(
            {'ready': ready},
            status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def render_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics as text."""
        return self.metrics.response(self.board)

    async def answer_state(self, request: web.Request) -> web.Response:
        """Return a dump of the blackboard without secrets."""
        return json_response(dump_state(self.board))


def dump_state(board: RouterBoard) -> dict[str, Any]:
    """Return the state of this router as JSON values."""
    now_s = time.monotonic()
    return {
        'node': board.settings.node.id,
        'policy': board.settings.policy.value,
        'config_offset': board.config.offset,
        'config_known': board.config_known,
        'draining': board.draining,
        'members': [attrs.asdict(member) for member in board.members],
        'leaving_hosts': sorted(board.leaving_hosts),
        'retry_budget': board.retries.tokens,
        'hedge_budget': board.hedges.tokens,
        'pools': {
            pool.name: {
                'queued': len(pool.queue),
                'prefill_s': pool.prefill_s,
                'service_s': pool.service_s,
            }
            for pool in board.pools.values()
        },
        'engines': {
            engine.name: {
                'usable': engine.is_usable(),
                'avoided': engine.is_avoided(now_s),
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
                'first_token_ratio': engine.first_token_ratio,
                'failures': engine.failures,
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
