"""Emulate a plain HTTP service with a non-idempotent and an idempotent call.

``POST /orders`` executes an order and counts executions by
``Idempotency-Key``; ``GET /stock/<item>`` is idempotent. ``POST /faults``
sets the faults to inject: ``lose_answers`` aborts that many connections after
the order was executed, ``delay_ms`` delays every response.
"""

import argparse
import asyncio
import collections
import time
from typing import Any

import attrs
from aiohttp import web

from emulator._engine_connections import EngineConnections
from emulator._server_main import read_json_object, run_server


@attrs.define(kw_only=True)
class Faults:
    """List the faults to inject; the module docstring explains each."""

    lose_answers: int = 0
    delay_ms: int = 0


class OrderService:
    """Execute orders and count the executions by idempotency key."""

    def __init__(self, *, checks_keys: bool, delay_ms: int) -> None:
        """Deduplicate orders by idempotency key if ``checks_keys``."""
        self.checks_keys = checks_keys
        self.faults = Faults(delay_ms=delay_ms)
        self.executions: collections.Counter[str] = collections.Counter()
        self.lookup_count = 0
        self.connections = EngineConnections()
        self.first_run_s: dict[str, float] = {}

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(
            middlewares=[self.connections.write_copies]
        )
        router = application.router
        router.add_post('/orders', self.execute_order)
        router.add_get('/stock/{item}', self.get_stock)
        router.add_get('/counts', self.get_counts)
        router.add_post('/faults', self.update_faults)
        return application

    async def execute_order(self, request: web.Request) -> web.Response:
        """Execute an order, unless its key is a known duplicate."""
        await request.read()
        key = request.headers.get('Idempotency-Key', '')
        if not self.checks_keys or not self.executions[key]:
            self.executions[key] += 1
            self.first_run_s.setdefault(key, time.monotonic())
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return web.json_response({'booked': key})

    async def get_stock(self, request: web.Request) -> web.Response:
        """Return the stock of an item."""
        self.lookup_count += 1
        await asyncio.sleep(self.faults.delay_ms / 1000)
        return web.json_response(
            {
                'item': request.match_info['item'],
                'stock': 7,
            }
        )

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return how often and when each key was executed first."""
        return web.json_response(
            {
                'runs': self.executions,
                'first_run_s': self.first_run_s,
                'lookups': self.lookup_count,
                'connections': list(self.connections.paths_by_caller.values()),
            }
        )

    async def update_faults(self, request: web.Request) -> web.Response:
        """Update the faults to inject."""
        fields = await read_json_object(request)
        self.faults = attrs.evolve(self.faults, **fields)
        return web.json_response(attrs.asdict(self.faults))


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--checks-keys', action='store_true')
    parser.add_argument('--delay-ms', type=int, default=5)


def _build(options: Any) -> web.Application:
    return OrderService(
        checks_keys=options.checks_keys,
        delay_ms=options.delay_ms,
    ).application()


if __name__ == '__main__':
    run_server(
        name='service', add_options=_add_options, build_application=_build
    )
