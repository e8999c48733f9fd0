"""Serve HTTP with aiohttp and answer failures from the error table."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson
from aiohttp import web
from aiomisc import Service
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.logs import get_logger
from arbutusbay.settings import DrainSettings
from arbutusbay.wire import decode_message, encode_message

_LOG = get_logger('http')
_MAX_BODY_BYTES = 8 * 1024 * 1024
_CLIENT_CONNECTIONS = 0
_KEEP_ALIVE_S = 75.0
_BACKLOG = 1024
_FORCED_CLOSE_S = 5.0
CAPNP_TYPE = 'application/capnp'


def new_session(*, reuse_connections: bool = True) -> aiohttp.ClientSession:
    """Return a client session; the caller closes it.

    Without ``reuse_connections`` each call opens its own connection, so
    that a failure to connect proves that nothing was sent.
    """
    connector = aiohttp.TCPConnector(
        limit=_CLIENT_CONNECTIONS,
        force_close=not reuse_connections,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def failure_response(failure: Failure) -> web.Response:
    """Return the HTTP answer for ``failure``."""
    headers = {}
    retry_after = failure.retry_after_header
    if retry_after is not None:
        headers['Retry-After'] = retry_after
    return json_response(
        failure.to_json(),
        status=failure.answer.status,
        headers=headers,
    )


def json_response(
    body: Any,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Return ``body`` as JSON."""
    return web.Response(
        body=orjson.dumps(body, default=str),
        status=status,
        headers=headers,
        content_type='application/json',
    )


def capnp_response(message: Any) -> web.Response:
    """Return a message between processes as a response."""
    return web.Response(body=encode_message(message), content_type=CAPNP_TYPE)


async def read_message(
    request: web.Request,
    message_type: type[Any],
) -> Result[Any, Failure]:
    """Return the message in the body of ``request``."""
    return decode_message(message_type, await request.read())


async def call_peer(
    session: aiohttp.ClientSession,
    url: str,
    message: Any,
    reply_type: type[Any],
    *,
    timeout_s: float,
) -> Result[Any, Failure]:
    """Send ``message`` to another process and return its typed reply."""
    try:
        async with session.post(
            url,
            data=encode_message(message),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _unreachable(f'{type(error).__name__}')
    if response.content_type != CAPNP_TYPE:
        return _unreachable(f'status {response.status}')
    return decode_message(reply_type, body)


@web.middleware
async def answer_errors(request: web.Request, handler: Any) -> Any:
    """Turn exceptions into answers from the error table."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return failure_response(_failure_from_exception(request, error))
    except ConnectionError:
        raise
    except Exception:
        _LOG.exception('handler failed')
        return failure_response(
            Failure(kind=ErrorKind.INTERNAL, detail='internal error'),
        )


def _failure_from_exception(
    request: web.Request,
    error: web.HTTPException,
) -> Failure:
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return Failure(
            kind=ErrorKind.BODY_TOO_LARGE,
            detail=f'the body exceeds {_MAX_BODY_BYTES} bytes',
        )
    return Failure(
        kind=ErrorKind.UNKNOWN_ROUTE,
        detail=f'{request.method} {request.path}: {error.reason}',
    )


def new_application() -> web.Application:
    """Return an application with the shared middleware and limits."""
    return web.Application(
        middlewares=[answer_errors],
        client_max_size=_MAX_BODY_BYTES,
    )


class HttpService(Service):
    """Serve an application and drain it when the process stops.

    ``announce`` is called first when draining starts; requests in flight
    then finish while new connections are no longer taken.
    """

    application: web.Application
    host: str
    port: int
    drain: DrainSettings
    announce: Callable[[], None]

    async def start(self) -> None:
        """Listen on the service's address."""
        self.runner = web.AppRunner(
            self.application,
            access_log=None,
            shutdown_timeout=self.drain.limit_s,
            keepalive_timeout=_KEEP_ALIVE_S,
            handler_cancellation=True,
        )
        await self.runner.setup()
        site = web.TCPSite(
            self.runner,
            self.host,
            self.port,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        await site.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Announce, wait for the balancer, then finish what is in flight."""
        self.announce()
        await asyncio.sleep(self.drain.notice_ms / 1000)
        await self.runner.cleanup()


def _unreachable(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))


def parse_json(body: bytes) -> Result[dict[str, Any], Failure]:
    """Return the JSON object in ``body``, or ``BAD_REQUEST``."""
    try:
        parsed = orjson.loads(body)
    except ValueError as error:
        return Err(
            Failure(kind=ErrorKind.BAD_REQUEST, detail=f'bad JSON: {error}'),
        )
    if isinstance(parsed, dict):
        return Ok(parsed)
    return Err(
        Failure(
            kind=ErrorKind.BAD_REQUEST,
            detail='the body must be a JSON object',
        ),
    )
