"""Serve an application of our own interface in the process of the test."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.test_utils import unused_port

from arbutusbay.http import HttpService
from arbutusbay.settings import DrainSettings


@contextlib.asynccontextmanager
async def serving(
    application: web.Application, *, limit_s: float = 1
) -> AsyncIterator[int]:
    """Serve ``application`` as the daemons do; yield the port.

    A drain without notice, of ``limit_s`` seconds at most, ends the block.
    """
    port = unused_port()
    service = HttpService(
        application=application,
        host='127.0.0.1',
        port=port,
        drain=DrainSettings(notice_ms=0, limit_s=limit_s),
        on_drain_start=lambda stop: None,
    )
    await service.start()
    try:
        yield port
    finally:
        await service.stop()
