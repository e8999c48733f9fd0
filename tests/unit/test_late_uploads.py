"""Check what unfinished uploads get as a daemon of our own interface drains."""

import asyncio
import time

from aiohttp import web

from arbutusbay.http import new_application
from tests.http_servers import serving
from tests.raw_clients import build_bytes, parse_bytes

_DRAIN_S = 20.0
_MAX_REFUSAL_S = 3.0
_BODY = b'{"prompt": "x"}'


async def read_and_respond(request: web.Request) -> web.Response:
    """Answer once the body is whole."""
    await request.read()
    return web.Response()


# Guards against an upload whose rest is dropped from the end of the notice on,
# and that is refused only at the end of the drain.
async def test_upload_is_refused_at_once_when_no_more_of_it_is_read():
    application = new_application()
    application.router.add_post('/x', read_and_respond)
    request = build_bytes('/x', {'Host': 'test'}, _BODY)
    async with serving(application, limit_s=_DRAIN_S) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(request[:-1])
        await asyncio.sleep(0.1)
        started_s = time.monotonic()
        answer = asyncio.create_task(reader.read())
    refused = parse_bytes(await answer)
    writer.close()
    assert time.monotonic() - started_s < _MAX_REFUSAL_S
    assert (refused.status, refused.is_complete) == (503, True)
    assert b'"run_state":"not_run"' in refused.body
