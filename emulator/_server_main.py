"""Run an emulated server as a command-line program."""

import argparse
from collections.abc import Callable
from typing import Any

import uvloop
from aiohttp import web

MAX_BODY_BYTES = 10_000_000


def run_server(
    *,
    name: str,
    add_options: Callable[[argparse.ArgumentParser], None],
    build_application: Callable[[argparse.Namespace], web.Application],
) -> None:
    """Parse the command line and serve the application until a signal.

    ``add_options`` adds the options of this server to the parser and
    ``build_application`` creates the application from the parsed options.
    """
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    add_options(parser)
    options = parser.parse_args()
    uvloop.install()
    web.run_app(
        build_application(options),
        host=options.host,
        port=options.port,
        access_log=None,
        print=lambda _: None,
        shutdown_timeout=1,
        handler_cancellation=True,
    )


async def read_json_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in the body, or an empty one without a body.

    Raises ``ValueError`` if the body is not valid JSON.
    """
    if not request.can_read_body:
        return {}
    return await request.json()
