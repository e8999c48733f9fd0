"""Serve the health, readiness, metrics and state endpoints of a daemon."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web

from arbutusbay.http import json_response


@attrs.frozen(kw_only=True)
class DebugApi:
    """Serve the endpoints that monitoring and operators query.

    ``is_ready`` returns whether the process accepts new requests, ``dump``
    returns its state as JSON-compatible values without secrets, and
    ``render_metrics`` returns the metrics.
    """

    is_ready: Callable[[], bool]
    dump: Callable[[], Any]
    render_metrics: Callable[[], web.Response]

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoints on ``application``."""
        router = application.router
        router.add_get('/healthz', self.handle_health)
        router.add_get('/readyz', self.handle_readiness)
        router.add_get('/metrics', self.handle_metrics)
        router.add_get('/debug/state', self.handle_state_dump)

    async def handle_health(self, request: web.Request) -> web.Response:
        """Return status 200, which shows that the process is running."""
        return json_response({'alive': True})

    async def handle_readiness(self, request: web.Request) -> web.Response:
        """Return status 200 if the process accepts new requests, else 503."""
        ready = self.is_ready()
        return json_response(
            {'ready': ready},
            status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in text format."""
        return self.render_metrics()

    async def handle_state_dump(self, request: web.Request) -> web.Response:
        """Return the state dump as JSON."""
        return json_response(self.dump())
