"""Serve readiness, metrics and the state dump of the daemon."""

from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from arbutusbay.logs import LineWriter
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.platform import READINESS_PATH, StoreClient

_READINESS_PATHS = frozenset((READINESS_PATH, '/readyz'))
_METRICS_PATH = '/metrics'
_DUMP_PATH = '/debug/state'


class ControlApi:
    """Answer questions about this process."""

    def __init__(
        self,
        *,
        board: NodeBoard,
        metrics: NodeMetrics,
        store: StoreClient,
        writer: LineWriter,
    ) -> None:
        """Tell of ``board``, ``store`` and ``writer``."""
        self.board = board
        self.metrics = metrics
        self.store = store
        self.writer = writer

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        if request.path in _READINESS_PATHS:
            return self._answer_readiness()
        if request.path == _METRICS_PATH:
            return self._answer_metrics()
        if request.path == _DUMP_PATH:
            return web.Response(
                body=orjson.dumps(self.dump()),
                content_type='application/json',
            )
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values, without keys of teams."""
        board = self.board
        moment_s = now_s()
        configuration = board.configuration
        return {
            'vm': board.settings.name,
            'ready': board.is_ready(),
            'stopping': board.is_stopping,
            'config_version': configuration.version if configuration else None,
            'config_age_ms': board.age_ms(),
            'requests_in_progress': len(board.busy),
            'vms': sorted(board.catalog.vms),
            'targets': {
                model: target.version
                for model, target in board.catalog.targets.items()
            },
            'servers': [
                {
                    'id': view.id,
                    'service': view.service,
                    'weights': view.weights,
                    'draining': view.is_draining,
                    'avoided': view.is_avoided(moment_s),
                    'loading': view.is_loading(moment_s),
                    'attempts': view.occupancy(moment_s).attempts,
                }
                for view in board.views.values()
            ],
        }

    def _answer_readiness(self) -> web.Response:
        return web.Response(
            status=HTTPStatus.OK
            if self.board.is_ready()
            else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    def _answer_metrics(self) -> web.Response:
        self.metrics.store_calls.set({}, self.store.calls)
        self.metrics.log_lines_dropped.set({}, self.writer.dropped)
        content, headers = self.metrics.render()
        return web.Response(body=content, headers=headers)
