"""Run a stand-in as a small program of its own."""

import argparse
from collections.abc import Callable
from typing import Any

import uvloop
from aiohttp import web

MAX_BODY_BYTES = 10_000_000


def run_stand_in(
    *,
    name: str,
    add_options: Callable[[argparse.ArgumentParser], None],
    build: Callable[[argparse.Namespace], web.Application],
) -> None:
    """Serve the application that ``build`` makes until a signal."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    add_options(parser)
    options = parser.parse_args()
    uvloop.install()
    web.run_app(
        build(options),
        host=options.host,
        port=options.port,
        access_log=None,
        print=lambda _: None,
        shutdown_timeout=1,
        handler_cancellation=True,
    )


async def read_fields(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in the body, empty when there is none."""
    if not request.can_read_body:
        return {}
    return await request.json()
