"""Test what pipelined requests get as a daemon of our own interface drains."""

import asyncio

import attrs
from aiohttp import web

from arbutusbay.http import new_application
from emulator.fleet import wait_for_condition
from tests.http_servers import serving
from tests.raw_clients import build_bytes, parse_bytes

_DRAIN_S = 1.0
_LIMIT_S = 2.0
_REQUEST = build_bytes('/x', {'Host': 'test', 'Connection': 'keep-alive'})


@attrs.define(kw_only=True)
class SlowApi:
    """Answer each request after ``run_s`` seconds."""

    run_s: float = 0.1
    called: int = 0

    async def respond(self, request: web.Request) -> web.Response:
        """Wait and answer."""
        self.called += 1
        await asyncio.sleep(self.run_s)
        return web.Response()


# Guards against requests that were read whole before or in a drain and get
# nothing, as the first one's answer closes their connection.
async def test_pipelined_requests_in_a_drain_are_answered():
    api = SlowApi()
    application = new_application()
    application.router.add_post('/x', api.respond)
    async with serving(application) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b''.join((_REQUEST, _REQUEST, _REQUEST)))
        await wait_for_condition(lambda: api.called, 'the first one runs')
    async with asyncio.timeout(_LIMIT_S):
        received = await reader.read()
    writer.close()
    statuses = []
    while received:
        response = parse_bytes(received)
        statuses.append(response.status)
        received = response.rest
    assert len(statuses) == 3
    assert set(statuses) <= {200, 503}


# Guards against a drain without end for requests that outlast its limit.
async def test_drain_ends_at_its_limit():
    api = SlowApi(run_s=60)
    application = new_application()
    application.router.add_post('/x', api.respond)
    async with asyncio.timeout(_DRAIN_S + _LIMIT_S):
        async with serving(application) as port:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b''.join((_REQUEST, _REQUEST, _REQUEST)))
            await wait_for_condition(lambda: api.called, 'the first one runs')
    writer.close()
    assert api.called == 1
