"""Serve health, metrics and the state dump of the control daemon."""

from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web

from arbutusbay.control._blackboard import ControlBoard
from arbutusbay.control._ledger_api import Ledger
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.http import json_response


class DebugApi:
    """Answer questions about this process."""

    def __init__(
        self,
        *,
        board: ControlBoard,
        ledger: Ledger,
        metrics: ControlMetrics,
    ) -> None:
        """Read ``board`` and ``ledger``; render ``metrics``."""
        self.board = board
        self.ledger = ledger
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
        """Tell whether the configuration is known and nothing drains."""
        ready = self.board.config_known and not self.board.draining
        return json_response(
            {'ready': ready},
            status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def render_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics as text."""
        return self.metrics.response(self.board, self.ledger)

    async def answer_state(self, request: web.Request) -> web.Response:
        """Return a dump of the blackboard without secrets."""
        return json_response(dump_state(self.board, self.ledger))


def dump_state(board: ControlBoard, ledger: Ledger) -> dict[str, Any]:
    """Return the state of this daemon as JSON values."""
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
