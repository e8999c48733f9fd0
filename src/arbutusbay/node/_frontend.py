"""Handle client HTTP requests.

Each request is validated and read, then proxied to a backend server. The
frontend also writes the access log and the request metrics.
"""

import asyncio
import functools

import attrs
from aiohttp import ClientConnectionResetError, web
from result import Err, Ok, Result

from arbutusbay.client_ends import (
    HalfClosedError,
    client_end_of,
    has_queued_request,
    is_last_request,
    work_for_client,
)
from arbutusbay.clock import milliseconds, now_s
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.held_bytes import BOUNDED_BODIES, ByteShare
from arbutusbay.logs import get_logger
from arbutusbay.node._attempts import BufferedResponse
from arbutusbay.node._client_connection import (
    check_client,
    look_at_connection,
)
from arbutusbay.node._client_stream import (
    ClientExchange,
    ClientStream,
    CutReason,
    StreamCompleted,
    StreamCut,
    StreamEnd,
    StreamTiming,
)
from arbutusbay.node._incoming_request import (
    IncomingRequest,
    last_received_s,
    validate_request,
)
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._request_dependencies import RequestDependencies
from arbutusbay.node._request_executor import (
    RequestExecutor,
    execute_before_deadline,
    half_closed_failure,
)
from arbutusbay.node._stop_decision import stop_fields
from arbutusbay.node._stream_relay import StreamRelay
from arbutusbay.node._uploads import read_upload
from arbutusbay.platform import build_refusal_headers, get_attempt_id

_LOG = get_logger('frontend')


class Frontend:
    """Serve client requests and log how each one ended."""

    def __init__(
        self,
        *,
        node_state: NodeState,
        dependencies: RequestDependencies,
        metrics: NodeMetrics,
    ) -> None:
        """Proxy requests with the shared ``dependencies``."""
        self.node_state = node_state
        self.dependencies = dependencies
        self.metrics = metrics

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one client request and return the response sent.

        Raises ``asyncio.CancelledError`` when aiohttp cancels the handler
        because the client disconnected.
        """
        connection = request.protocol
        self.node_state.busy_connections.add(connection)
        exchange = ClientExchange(request=request)
        try:
            return await exchange.finish(await self._respond(exchange))
        except ClientConnectionResetError:
            # aiohttp drops a response whose connection is aborted.
            exchange.abort()
            return web.Response()
        finally:
            self.node_state.busy_connections.discard(connection)
            connection.last_end_s = now_s()

    async def _respond(
        self, exchange: ClientExchange
    ) -> web.Response | StreamEnd:
        try:
            with BOUNDED_BODIES.share() as share:
                return await self._proxy_request(exchange, share)
        except ClientConnectionResetError:
            raise
        except Exception as error:
            return self._handle_unexpected(exchange, error)

    async def _proxy_request(
        self, exchange: ClientExchange, share: ByteShare
    ) -> web.Response | StreamEnd:
        """Answer a request, whose body is held in ``share`` until then."""
        request = exchange.request
        match validate_request(self.node_state, request):
            case Err(failure):
                return self._end_with_failure(exchange, failure)
            case Ok(incoming):
                exchange.incoming = incoming
        exchange.grant = self.dependencies.request_grants.begin(incoming)
        try:
            return await self._proxy_accepted(exchange, share)
        finally:
            exchange.grant.end(may_have_run=exchange.may_have_run)

    async def _proxy_accepted(
        self, exchange: ClientExchange, share: ByteShare
    ) -> web.Response | StreamEnd:
        """Answer a request that may be sent once its team's limit allows it."""
        request = exchange.request
        incoming = exchange.incoming
        match await self._read_body(request, incoming, share):
            case Err(failure):
                return self._end_with_failure(exchange, failure)
            case Ok(body):
                incoming = attrs.evolve(
                    incoming,
                    whole_s=last_received_s(request),
                    previous_end_s=request.protocol.last_end_s,
                )
                exchange.incoming = incoming
        match await exchange.grant.wait():
            case Err(failure):
                return self._end_with_failure(exchange, failure)
        executor = RequestExecutor(
            dependencies=self.dependencies,
            incoming=incoming,
            body=body,
            check_client=functools.partial(check_client, request),
        )
        exchange.executor = executor
        try:
            return await self._execute(exchange, executor)
        except (asyncio.CancelledError, ClientConnectionResetError):
            self._log_client_left(
                request,
                incoming,
                executor.attempt_history.last_detail,
                exchange.stream,
            )
            raise
        finally:
            executor.replacement.release()
            self.dependencies.quarantine.end_request(incoming)

    async def _execute(
        self, exchange: ClientExchange, executor: RequestExecutor
    ) -> web.Response | StreamEnd:
        """Execute a request; end that once its client ends its stream."""
        try:
            async with work_for_client(exchange.request):
                if executor.incoming.is_stream:
                    return await self._proxy_stream(exchange, executor)
                return await self._proxy_buffered(exchange, executor)
        except HalfClosedError as error:
            if exchange.stream is not None:
                raise ClientConnectionResetError('client left') from error
            return self._end_with_failure(
                exchange, half_closed_failure(executor)
            )

    async def _proxy_buffered(
        self,
        exchange: ClientExchange,
        executor: RequestExecutor,
    ) -> web.Response:
        match await execute_before_deadline(executor):
            case Ok(answer):
                return self._end_with_answer(exchange, answer)
            case Err(failure):
                return self._end_with_failure(exchange, failure)

    async def _proxy_stream(
        self,
        exchange: ClientExchange,
        executor: RequestExecutor,
    ) -> web.Response | StreamEnd:
        incoming = executor.incoming
        relay = StreamRelay(executor=executor, exchange=exchange)
        match await relay.relay():
            case StreamCompleted() | StreamCut() as stream_end:
                self._record_stream_end(incoming, exchange.stream, stream_end)
                return stream_end
            case BufferedResponse() as answer:
                return self._end_with_answer(exchange, answer)
            case Failure() as failure:
                return self._end_with_failure(exchange, failure)

    def _handle_unexpected(
        self, exchange: ClientExchange, error: Exception
    ) -> web.Response | StreamEnd:
        """Answer a request that ended in an exception, or cut its stream."""
        request = exchange.request
        _LOG.exception(
            'request failed for an error in the program',
            fields={'request_id': get_attempt_id(request.headers)},
        )
        stream = exchange.stream
        if stream is None:
            failure = Failure(kind=ErrorKind.INTERNAL, detail=repr(error))
            return self._end_with_failure(exchange, failure)
        stream_end = stream.cut(CutReason.INTERNAL, repr(error))
        self._record_stream_end(exchange.incoming, stream, stream_end)
        return stream_end

    def _record_stream_end(
        self,
        incoming: IncomingRequest,
        stream: ClientStream,
        stream_end: StreamEnd,
    ) -> None:
        timing_fields = {
            **_timing_fields(incoming, stream.timing),
            'client_awaited_ms': milliseconds(stream.stream.waited_s),
        }
        match stream_end:
            case StreamCompleted(end=end):
                self._log_outcome(
                    incoming,
                    'stream complete',
                    body_end=end.value,
                    unsent_bytes=stream.unsent_bytes,
                    **timing_fields,
                )
            case StreamCut(reason=reason, detail=detail):
                self.metrics.streams_cut.inc({'reason': reason.value})
                self._log_outcome(
                    incoming,
                    'stream cut',
                    detail,
                    reason=reason.value,
                    **timing_fields,
                )

    async def _read_body(
        self,
        request: web.BaseRequest,
        incoming: IncomingRequest,
        share: ByteShare,
    ) -> Result[bytes, Failure]:
        try:
            return await read_upload(self.node_state, request, incoming, share)
        except (asyncio.CancelledError, ClientConnectionResetError):
            self._log_client_left(request, incoming, 'during the upload')
            raise

    def _end_with_answer(
        self, exchange: ClientExchange, answer: BufferedResponse
    ) -> web.Response:
        """Return the answer of a server."""
        self._log_answer(exchange.incoming, answer)
        response = web.Response(
            status=answer.status,
            headers=answer.headers,
            body=answer.body.content,
        )
        return self._close_if_last(exchange.request, response)

    def _end_with_failure(
        self, exchange: ClientExchange, failure: Failure
    ) -> web.Response:
        """Refuse a request, unless a server has given an answer to it.

        All requests that fail here end so, whatever the cause. An answer in
        hand is not given up for another one that could not be got. A request
        that may have run is never refused as 'not run'.
        """
        answer = exchange.answer_in_hand
        if answer is None:
            return self._reject_request(
                exchange.request,
                failure.unless_run(may_have_run=exchange.may_have_run),
                exchange.incoming,
            )
        _LOG.info(
            'gives the answer in hand',
            fields={
                'request_id': exchange.incoming.attempt_id,
                'kind': failure.kind.value,
                'detail': failure.detail,
            },
        )
        return self._end_with_answer(exchange, answer)

    def _close_if_last(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        is_stopping = self.node_state.is_stopping and not has_queued_request(
            request
        )
        if is_stopping or is_last_request(request):
            response.force_close()
        return response

    def _reject_request(
        self,
        request: web.BaseRequest,
        failure: Failure,
        incoming: IncomingRequest | None = None,
    ) -> web.Response:
        attempt_id = get_attempt_id(request.headers)
        self.metrics.refusals.inc({'kind': failure.kind.value})
        elapsed_s = now_s() - incoming.received_s if incoming else 0
        _LOG.info(
            'request refused',
            fields={
                'request_id': attempt_id,
                'kind': failure.kind.value,
                'status': int(failure.status),
                'ran': failure.effective_run_state.value,
                'detail': failure.detail,
                'retry_after_s': failure.retry_after_s,
                'elapsed_ms': int(elapsed_s * 1000),
                'client_end': client_end_of(request),
                **(_terms_fields(incoming) if incoming else {}),
                'accepted_by_version': incoming
                and incoming.configuration_version,
                'config_version': self._config_version(),
                'config_age_ms': self.node_state.configuration_age_ms(),
                **stop_fields(self.node_state),
            },
        )
        response = web.Response(
            status=failure.status,
            text=f'{failure.kind.value}: {failure.detail}\n',
            headers=build_refusal_headers(attempt_id, failure.retry_after_s),
        )
        return self._close_if_last(request, response)

    def _log_answer(
        self, incoming: IncomingRequest, answer: BufferedResponse
    ) -> None:
        self._log_outcome(
            incoming,
            f'status {answer.status}',
            body_end=answer.body.end.value,
            body_bytes=len(answer.body.content),
        )

    def _log_outcome(
        self,
        incoming: IncomingRequest,
        outcome: str,
        detail: str = '',
        **fields: float | str | None,
    ) -> None:
        elapsed_s = now_s() - incoming.received_s
        self.metrics.observe_request(incoming.route.kind, elapsed_s)
        _LOG.info(
            'request ended',
            fields={
                'request_id': incoming.attempt_id,
                'route': incoming.route.name,
                'outcome': outcome,
                'detail': detail,
                'elapsed_ms': int(elapsed_s * 1000),
                'accepted_by_version': incoming.configuration_version,
                'config_version': self._config_version(),
                'config_age_ms': self.node_state.configuration_age_ms(),
                **stop_fields(self.node_state),
                **fields,
            },
        )

    def _log_client_left(
        self,
        request: web.BaseRequest,
        incoming: IncomingRequest,
        detail: str,
        stream: ClientStream | None = None,
    ) -> None:
        """Log how the client ended its side, and what saw that first."""
        seen_by_loop = client_end_of(request)
        look = look_at_connection(request.transport)
        self._log_outcome(
            incoming,
            'client left',
            detail,
            client_end=seen_by_loop or look.client_end,
            found_by='event_loop' if seen_by_loop else 'look',
            **_terms_fields(incoming),
            **(_timing_fields(incoming, stream.timing) if stream else {}),
            **(_last_event_fields(stream.timing) if stream else {}),
        )

    def _config_version(self) -> int | None:
        configuration = self.node_state.configuration
        return configuration.version if configuration else None


def _terms_fields(incoming: IncomingRequest) -> dict[str, str | int | None]:
    """Return what the route allows, and the time that the client had left."""
    return {
        'route': incoming.route.name,
        'route_kind': incoming.route.kind.value,
        'max_attempts': incoming.route.max_attempts,
        'client_waits_ms': milliseconds(incoming.client_leaves_s - now_s()),
        'remaining_ms': milliseconds(incoming.remaining_s()),
    }


def _last_event_fields(event_timing: StreamTiming) -> dict[str, int | None]:
    if event_timing.first_event_s is None:
        return {'last_event_age_ms': None}
    return {
        'last_event_age_ms': milliseconds(now_s() - event_timing.latest_event_s)
    }


def _timing_fields(
    incoming: IncomingRequest,
    event_timing: StreamTiming,
) -> dict[str, float | None]:
    first_ms = None
    if event_timing.first_event_s is not None:
        first_ms = int(
            (event_timing.first_event_s - incoming.received_s) * 1000
        )
    return {
        'events': event_timing.event_count,
        'first_event_ms': first_ms,
        'longest_gap_ms': int(event_timing.longest_gap_s * 1000),
        'longest_gap_end_s': round(event_timing.longest_gap_end_s, 3),
    }
