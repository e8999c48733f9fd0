"""Provide the HTTP server and client of the router and control daemons.

The server runs on aiohttp and turns failures and exceptions into the
responses that the errors module defines. Peers exchange Cap'n Proto messages.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson
from aiohttp import web
from aiomisc import Service
from result import Err, Ok, Result

from arbutusbay._request_drain import HAS_STARTED, RequestDrain
from arbutusbay._response_streams import abort_connection
from arbutusbay.client_connections import (
    StrictConnector,
    open_client_session,
)
from arbutusbay.client_ends import (
    ClientSite,
    HalfClosedError,
    client_end_of,
    is_last_request,
    work_for_client,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.logs import get_logger
from arbutusbay.planned_stop import PlannedStop, plan_drain
from arbutusbay.responses import fetch_message
from arbutusbay.settings import DrainSettings
from arbutusbay.single_send import disable_repetition
from arbutusbay.wire import decode_message, encode_message

_LOG = get_logger('http')
_MAX_BODY_BYTES = 8 * 1024 * 1024
_KEEP_ALIVE_TIMEOUT_S = 75.0
_LISTEN_BACKLOG_CONNECTIONS = 1024
_FORCED_CLOSE_S = 5.0
_REQUEST_DRAIN = web.AppKey('request_drain', RequestDrain)
_CAPNP_CONTENT_TYPE = 'application/capnp'


def new_client_session(
    *, reuse_connections: bool = True
) -> aiohttp.ClientSession:
    """Return a new client session, which the caller has to close.

    Without ``reuse_connections`` each request opens its own connection, so
    an error while connecting proves that nothing was sent, and each request is
    sent at most once.
    """
    session = open_client_session(
        StrictConnector(force_close=not reuse_connections)
    )
    if not reuse_connections:
        disable_repetition(session)
    return session


def failure_response(failure: Failure) -> web.Response:
    """Return the HTTP error response for ``failure``."""
    headers = {}
    retry_after = failure.retry_after_header
    if retry_after is not None:
        headers['Retry-After'] = retry_after
    return json_response(
        failure.to_json(),
        status=failure.status,
        headers=headers,
    )


def json_response(
    body: Any,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Return a response with ``body`` as JSON.

    Values of types that orjson does not support are converted with ``str``.
    """
    return web.Response(
        body=orjson.dumps(body, default=str),
        status=status,
        headers=headers,
        content_type='application/json',
    )


def capnp_response(message: Any) -> web.Response:
    """Return a response with ``message`` in Cap'n Proto encoding."""
    return web.Response(
        body=encode_message(message), content_type=_CAPNP_CONTENT_TYPE
    )


async def read_request_message(
    request: web.Request,
    message_type: type[Any],
) -> Result[Any, Failure]:
    """Return the message in the body of ``request``.

    Fails with ``BAD_MESSAGE`` if the body is not a valid ``message_type``.
    """
    return decode_message(message_type, await request.read())


async def call_peer(
    session: aiohttp.ClientSession,
    url: str,
    message: Any,
    reply_type: type[Any],
    *,
    timeout_s: float,
) -> Result[Any, Failure]:
    """Send ``message`` to another process and return its decoded reply.

    Fails with ``PEER_UNREACHABLE`` on a network error, on a timeout after
    ``timeout_s`` seconds, on a reply that is not whole or of another content
    type, and with
    ``BAD_MESSAGE`` if the reply can't be decoded.
    """
    call = session.post(
        url,
        data=encode_message(message),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )
    match await fetch_message(call, _MAX_BODY_BYTES):
        case Err(missing):
            return _peer_unreachable(missing.detail)
        case Ok(response) if response.content_type != _CAPNP_CONTENT_TYPE:
            return _peer_unreachable(f'status {response.status}')
        case Ok(response):
            return decode_message(reply_type, response.body)


async def _record_start(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Remember that the head of a response is out, or about to be."""
    request[HAS_STARTED] = True


@web.middleware
async def _handle_errors(request: web.Request, handler: Any) -> Any:
    """Turn exceptions of the handler into error responses.

    The handler does not begin, or is cancelled, for a client that has ended its
    stream, which may still wait for its response. Once the response has started
    nothing may follow, so the connection is aborted. ``ConnectionError`` is
    raised again without a response, as is ``CancelledError``: the client left,
    or the process ends.
    """
    try:
        return await _respond_to_client(request, handler)
    except (asyncio.CancelledError, ConnectionError):
        _LOG.info(
            'request ended without a whole response',
            fields={
                'method': request.method,
                'path': request.path,
                'client_end': client_end_of(request),
            },
        )
        raise
    except Exception as error:
        if HAS_STARTED in request:
            _break_off(request)
            raise ConnectionResetError('response broken off') from error
        return failure_response(_failure_from_exception(request, error))


async def _respond_to_client(request: web.Request, handler: Any) -> Any:
    if client_end_of(request) is not None:
        return _half_closed_response(request, ErrorKind.CLIENT_HALF_CLOSED)
    try:
        async with work_for_client(request):
            return await handler(request)
    except HalfClosedError as error:
        if HAS_STARTED in request:
            raise ConnectionResetError('client left') from error
        return _half_closed_response(request, ErrorKind.OUTCOME_UNKNOWN)


def _half_closed_response(
    request: web.Request, kind: ErrorKind
) -> web.Response:
    _LOG.info(
        'client ended its stream before its response',
        fields={
            'method': request.method,
            'path': request.path,
            'kind': kind.value,
            'client_end': client_end_of(request),
        },
    )
    response = failure_response(
        Failure(
            kind=kind,
            detail='the client ended its sending side before the response',
        )
    )
    if is_last_request(request):
        response.force_close()
    return response


@web.middleware
async def _end_with_drain(request: web.Request, handler: Any) -> Any:
    """Turn the end of a request by the drain into an error response."""
    answer = await request.app[_REQUEST_DRAIN].run_handler(request, handler)
    if isinstance(answer, Failure):
        return failure_response(answer)
    return answer


def _break_off(request: web.Request) -> None:
    _LOG.exception(
        'response broken off by an exception',
        fields={'method': request.method, 'path': request.path},
    )
    abort_connection(request)


def _failure_from_exception(
    request: web.Request,
    error: Exception,
) -> Failure:
    if not isinstance(error, web.HTTPException):
        _LOG.exception(
            'unhandled exception in a request handler',
            fields={'method': request.method, 'path': request.path},
        )
        return Failure(kind=ErrorKind.INTERNAL, detail='internal error')
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return Failure(
            kind=ErrorKind.BODY_TOO_LARGE,
            detail=f'request body exceeds the limit of {_MAX_BODY_BYTES} bytes',
        )
    return Failure(
        kind=ErrorKind.UNKNOWN_ROUTE,
        detail=f'{request.method} {request.path}: {error.reason}',
    )


def new_application() -> web.Application:
    """Return an application that handles errors and limits body sizes."""
    application = web.Application(
        middlewares=[_handle_errors, _end_with_drain],
        client_max_size=_MAX_BODY_BYTES,
    )
    application[_REQUEST_DRAIN] = RequestDrain()
    application.on_response_prepare.append(_record_start)
    return application


class HttpService(Service):
    """Serve an application and drain it when the process stops.

    ``on_drain_start`` is called when draining starts, so that the readiness
    endpoint can report it to the load balancer. After the notice period the
    service accepts no new connections and waits for requests in flight, as
    long as ``drain`` allows. Those that last longer are ended with a response.
    """

    application: web.Application
    host: str
    port: int
    drain: DrainSettings
    on_drain_start: Callable[[PlannedStop], None]

    async def start(self) -> None:
        """Listen on ``host`` and ``port``."""
        self.runner = web.AppRunner(
            self.application,
            shutdown_timeout=self.drain.limit_s,
            handler_cancellation=True,
        )
        await self.runner.setup()
        site = ClientSite(
            self.runner,
            self.host,
            self.port,
            keepalive_timeout_s=_KEEP_ALIVE_TIMEOUT_S,
            backlog=_LISTEN_BACKLOG_CONNECTIONS,
        )
        await site.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Announce the drain, wait the notice period and stop the server."""
        stop = plan_drain(
            time.monotonic(),
            notice_s=self.drain.notice_ms / 1000,
            limit_s=self.drain.limit_s,
        )
        self.on_drain_start(stop)
        await asyncio.sleep(stop.notice_end_s - time.monotonic())
        request_drain = self.application[_REQUEST_DRAIN]
        request_drain.end_uploads()
        ending = asyncio.get_running_loop().call_later(
            stop.time_left_s(time.monotonic()), request_drain.end_requests
        )
        try:
            async with asyncio.timeout(stop.exit_s - time.monotonic()):
                await self.runner.cleanup()
        except TimeoutError:
            _LOG.warning('connections were open at the end of the drain')
        finally:
            ending.cancel()


def _peer_unreachable(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))


def parse_json(body: bytes) -> Result[dict[str, Any], Failure]:
    """Return the JSON object in ``body``.

    Fails with ``BAD_REQUEST`` if the body is not valid JSON or not an object.
    """
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
            detail='JSON value must be an object',
        ),
    )
