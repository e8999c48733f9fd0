"""Serve health, metrics and the state dump of any daemon."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web

from arbutusbay.http import json_response


@attrs.frozen(kw_only=True)
class DebugApi:
    """Answer questions about this process.

    ``dump`` returns the state as JSON values, without secrets.
    """

    is_ready: Callable[[], bool]
    dump: Callable[[], Any]
    render: Callable[[], web.Response]

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoints."""
        router = application.router
        router.add_get('/healthz', self.answer_health)
        router.add_get('/readyz', self.answer_ready)
        router.add_get('/metrics', self.answer_metrics)
        router.add_get('/debug/state', self.answer_state)

    async def answer_health(self, request: web.Request) -> web.Response:
        """Tell that the process lives."""
        return json_response({'alive': True})

    async def answer_ready(self, request: web.Request) -> web.Response:
        """Tell whether the process wants new work."""
        ready = self.is_ready()
        return json_response(
            {'ready': ready},
            status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def answer_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics as text."""
        return self.render()

    async def answer_state(self, request: web.Request) -> web.Response:
        """Return the dump."""
        return json_response(self.dump())
