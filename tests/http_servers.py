"""Serve an application of our own interface in the process of the test."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.test_utils import unused_port

from arbutusbay.http import HttpService
from arbutusbay.settings import DrainSettings


@contextlib.asynccontextmanager
async def serving(application: web.Application) -> AsyncIterator[int]:
    """Serve ``application`` as the daemons do; yield the port."""
    port = unused_port()
    service = HttpService(
        application=application,
        host='127.0.0.1',
        port=port,
        drain=DrainSettings(notice_ms=0, limit_s=1),
        on_drain_start=lambda stop: None,
    )
    await service.start()
    try:
        yield port
    finally:
        await service.stop()
