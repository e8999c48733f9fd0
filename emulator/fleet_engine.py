"""Emulate the model engines and plain services that a fleet routes to.

The engines record every request that they execute, accept orders to load
weights and inject faults into their responses.
"""

import asyncio
import enum
import functools
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
from aiohttp import web

from emulator._engine_connections import EngineConnections
from emulator._server_queue import ServerQueue
from emulator._silence import Silence
from emulator.raw_response import PartialResponse
from emulator.scripted_response import (
    ScriptedResponse,
    read_unless_early,
    send_scripted,
)

_NOT_EXECUTED = 'Not-Executed'
_MUTE_S = 60
_SECOND_COPY_DELAY_S = 0.1
_TRICKLE_S = 0.3


class EngineFault(enum.StrEnum):
    """List the faults that an engine can inject into its responses.

    CUT aborts the connection in the middle of a stream and RESET before the
    response. FAIL responds 500. SHED rejects requests with 503 as not
    executed until another fault is set. MISDIRECT rejects them with 421.
    FOREIGN responds with the ID of another attempt. MUTE delays the response by
    a minute. ENDLESS_HEAD and ENDLESS_LINE send head lines, or one line,
    without end, ENDLESS_BODY a body. SECOND_COPY sends the response of a plain
    service again a moment later. TRICKLE sends two events and then a byte now
    and then. END ends the engine as it begins to respond. ODD_EVENT begins a
    stream with an event whose id is no number of use.
    """

    NONE = 'none'
    CUT = 'cut'
    RESET = 'reset'
    FAIL = 'fail'
    SHED = 'shed'
    MISDIRECT = 'misdirect'
    FOREIGN = 'foreign'
    MUTE = 'mute'
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_LINE = 'endless_line'
    ENDLESS_BODY = 'endless_body'
    SECOND_COPY = 'second_copy'
    TRICKLE = 'trickle'
    END = 'end'
    ODD_EVENT = 'odd_event'


_MAX_ENDLESS_BYTES = 200_000_000
_MAX_BODY_BYTES = 8_388_608
_CHUNK_BYTES = 65_536
_ODD_EVENT = f'id: {9:9>5000}\ndata: odd\n\n'
_HEAD_LINE = b'X-Noise: 0123456789\r\n'


@attrs.define(kw_only=True)
class ExecutedRequest:
    """Record one request that the engine executed.

    ``began_s`` and ``ended_s``, infinity until then, are in seconds of
    ``time.monotonic``.
    """

    attempt_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    version: int
    began_s: float = attrs.field(factory=time.monotonic)
    ended_s: float = float('inf')


@attrs.frozen(kw_only=True)
class ArrivedPrompt:
    """Record the shared segments of a prompt that reached the engine.

    ``moment_s`` is in seconds of ``time.monotonic``.
    """

    moment_s: float
    segments: frozenset[str]


@attrs.define(kw_only=True)
class EngineOptions:
    """Configure one backend server; ``model`` is empty for a plain service.

    ``events`` is the number of events of a stream, ``event_s`` the seconds
    between them and ``load_s`` the seconds that loading weights takes. A
    plain service takes ``service_s`` seconds for a request. Each event has
    ``padding_bytes`` more than it needs. An engine that does
    not accept orders keeps its weights. A request waits ``queue_s`` seconds
    before it is executed. An engine ends when it begins to respond to a prompt
    with one of ``fatal_segments``, after ``fatal_after_events`` events. Streams
    that are ``is_close_delimited`` have neither a length nor chunks and end
    with their connection. Refusals bear the id of the attempt unless
    ``hides_id_in_refusals`` is set. Without a ``queue`` any number of requests
    is executed at once.
    """

    id: str
    service: str
    zone: str
    model: str = ''
    slots: int = 8
    events: int = 5
    event_s: float = 0.01
    load_s: float = 0.3
    service_s: float = 0.0
    accepts_orders: bool = True
    queue_s: float = 0.0
    fatal_segments: frozenset[str] = frozenset()
    fatal_after_events: int = 0
    is_close_delimited: bool = False
    padding_bytes: int = 0
    hides_id_in_refusals: bool = False
    queue: ServerQueue | None = None


def _ignore() -> None:
    """Do nothing where nobody observes the engine."""


@attrs.define(kw_only=True)
class EngineObserver:
    """Hold what to call as an engine ends, and as it begins to fail."""

    record_end: Callable[[], None] = _ignore
    record_fault: Callable[[], None] = _ignore


class FleetEngine:
    """Implement the backend server protocol and record executed requests."""

    def __init__(self, options: EngineOptions) -> None:
        """Start ready, with weights version 1."""
        self.options = options
        self.address = ''
        self.born_ms = int(time.time() * 1000)
        self.version = 1
        self.accepted_order_count = 0
        self.highest_fencing_token = -1
        self.order_holders: list[tuple[str, int]] = []
        self.is_loading_weights = False
        self.is_draining = False
        self.is_leaving = False
        self.requested_pause_s: float | None = None
        self.heartbeat_count = 0
        self.fault = EngineFault.NONE
        self.remaining_faults = 0
        self.running = 0
        self.executions: list[ExecutedRequest] = []
        self.rejected_at_s: list[float] = []
        self.endless_bytes_sent = 0
        self.arrived_prompts: list[ArrivedPrompt] = []
        self.has_ended = False
        self.observer = EngineObserver()
        self.silence = Silence()
        self.connections = EngineConnections()
        self.scripted_responses: deque[ScriptedResponse | PartialResponse] = (
            deque()
        )

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(
            middlewares=[self.connections.write_copies],
            client_max_size=_MAX_BODY_BYTES,
        )
        application.on_response_prepare.append(self._add_departure)
        router = application.router
        router.add_get('/arbutusbay/report', self.report)
        router.add_post(
            '/arbutusbay/order',
            functools.partial(_outlast_caller, self.order),
        )
        router.add_route('*', '/{path:.*}', self.execute)
        return application

    def registration(self) -> dict[str, object]:
        """Return the registration that the engine writes to the store."""
        self.heartbeat_count += 1
        return {
            'service': self.options.service,
            'address': self.address,
            'zone': self.options.zone,
            'version': 'v1',
            'slots': self.options.slots,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_remaining_ms': 0,
            'models': self._models(),
            'sequence': self.heartbeat_count,
            'born': self.born_ms,
        }

    def count_executions_by_attempt(self) -> Counter[str]:
        """Return how often each attempt was executed."""
        return Counter(request.attempt_id for request in self.executions)

    def inject_fault(self, fault: EngineFault, times: int) -> None:
        """Inject ``fault`` into the next ``times`` responses."""
        self.fault = fault
        self.remaining_faults = times

    async def report(self, request: web.Request) -> web.Response:
        """Return weights, load and the number of accepted orders."""
        await self.silence.over.wait()
        return web.json_response(
            {
                'stage': 'prefill_and_decode',
                'models': self._models(),
                'busy': self.is_loading_weights,
                'sequence': self.accepted_order_count,
                'waiting': 0,
                'running': self.running,
                'kv_used': 0,
                'kv_total': 1,
                'handles': 0,
            },
        )

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order to load weights and start to load them.

        Responds 421 if the order is for another instance, 412 if its fencing
        token is stale, 200 if the version is loaded already and 409 while
        loading or if the expected order count differs. An order that arrives
        in a silence is carried out after it, though its caller may have left.
        """
        await self.silence.over.wait()
        if request.headers.get('Expect-Instance') != self.options.id:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        fields = await request.json()
        fencing_token = fields['fencing_token']
        if fencing_token < self.highest_fencing_token:
            return web.Response(status=HTTPStatus.PRECONDITION_FAILED)
        self.highest_fencing_token = fencing_token
        self.order_holders.append((fields['holder'], fencing_token))
        if fields['version'] == self.version:
            return web.Response(status=HTTPStatus.OK)
        if (
            self.is_loading_weights
            or not self.options.accepts_orders
            or fields.get('expect', self.accepted_order_count)
            != self.accepted_order_count
        ):
            return web.Response(status=HTTPStatus.CONFLICT)
        self.accepted_order_count += 1
        self.is_loading_weights = True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.options.load_s,
            self._finish_load,
            fields['version'],
        )
        return web.Response(status=HTTPStatus.ACCEPTED)

    def end(self) -> None:
        """End like a process that crashes: reset all connections at once."""
        self.has_ended = True
        self.connections.attempts.break_off()
        for transport in self.connections.transports:
            transport.abort()
        self.observer.record_end()

    async def execute(self, request: web.Request) -> web.StreamResponse:
        """Execute a request, or reject it before its execution."""
        self.connections.transports.add(request.transport)
        self.arrived_prompts.append(
            ArrivedPrompt(
                moment_s=time.monotonic(), segments=_shared_segments(request)
            )
        )
        attempt_id = request.headers.get('Attempt-Id', '')
        try:
            with self.connections.attempts.hold(attempt_id):
                if self.options.queue is None:
                    return await self._execute(request)
                return await self.options.queue.execute(request, self._execute)
        finally:
            self.connections.transports.discard(request.transport)

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        await self.silence.over.wait()
        rejection = self._rejection(request)
        if rejection is not None:
            if not self.options.hides_id_in_refusals:
                rejection.headers['Attempt-Id'] = request.headers['Attempt-Id']
            return rejection
        await self.silence.sleep(self.options.queue_s)
        executed = ExecutedRequest(
            attempt_id=request.headers['Attempt-Id'],
            path=request.raw_path,
            headers=dict(request.headers),
            body=await read_unless_early(request, self.scripted_responses),
            version=self.version,
        )
        self.executions.append(executed)
        self.running += 1
        try:
            fault = EngineFault.NONE
            if self.remaining_faults:
                self.remaining_faults -= 1
                fault = self.fault
                self.observer.record_fault()
            if _shared_segments(request) & self.options.fatal_segments:
                fault = EngineFault.END
            if self.scripted_responses:
                return await send_scripted(
                    request,
                    self.scripted_responses.popleft(),
                    self._response_headers(request, fault),
                )
            return await self._respond(request, fault)
        finally:
            self.running -= 1
            executed.ended_s = time.monotonic()

    def _rejection(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get('Expect-Version', str(self.version))
        is_misdirected = (
            self.fault is EngineFault.MISDIRECT and self.remaining_faults > 0
        )
        if is_misdirected:
            self.remaining_faults -= 1
        if is_misdirected or expected != str(self.version):
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if request.headers.get('Expect-Instance') != self.options.id:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if self.is_loading_weights or self.fault is EngineFault.SHED:
            headers = {_NOT_EXECUTED: '1'}
            if self.requested_pause_s is not None:
                headers['Retry-After'] = str(self.requested_pause_s)
            self.rejected_at_s.append(time.monotonic())
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers
            )
        return None

    async def _add_departure(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.is_leaving:
            response.headers['Server-Leaving'] = '1'

    async def _respond(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> web.StreamResponse:
        match fault:
            case EngineFault.RESET:
                request.transport.abort()
                return web.Response()
            case EngineFault.MUTE:
                await asyncio.sleep(_MUTE_S)
            case EngineFault.FAIL:
                headers = self._response_headers(request, fault)
                return web.Response(
                    status=HTTPStatus.INTERNAL_SERVER_ERROR, headers=headers
                )
            case (
                EngineFault.ENDLESS_HEAD
                | EngineFault.ENDLESS_LINE
                | EngineFault.ENDLESS_BODY
            ):
                await self._send_endless_bytes(request, fault)
                return web.Response()
        if not self.options.model:
            return await self._serve_plainly(request, fault)
        if self.options.is_close_delimited:
            return await self._stream_until_close(request, fault)
        return await self._stream_events(request, fault)

    async def _serve_plainly(
        self, request: web.Request, fault: EngineFault
    ) -> web.Response:
        await self.silence.sleep(self.options.service_s)
        headers = self._response_headers(request, fault)
        text = f'{self.options.id} {request.path}'
        if fault is EngineFault.SECOND_COPY:
            lines = [
                'HTTP/1.1 200 OK',
                f'Content-Length: {len(text)}',
                *(f'{name}: {field}' for name, field in headers.items()),
                '',
                text,
            ]
            asyncio.get_running_loop().call_later(
                _SECOND_COPY_DELAY_S,
                request.transport.write,
                '\r\n'.join(lines).encode(),
            )
        return web.Response(text=text, headers=headers)

    async def _send_endless_bytes(
        self, request: web.Request, fault: EngineFault
    ) -> None:
        """Send bytes until the caller closes, within a limit."""
        transport = request.transport
        transport.write(b'HTTP/1.1 200 OK\r\n')
        if fault is EngineFault.ENDLESS_BODY:
            for name, text in self._response_headers(request, fault).items():
                transport.write(f'{name}: {text}\r\n'.encode())
            transport.write(b'\r\n')
        is_head = fault is EngineFault.ENDLESS_HEAD
        pattern = _HEAD_LINE if is_head else b'x'
        chunk = pattern * (_CHUNK_BYTES // len(pattern))
        while (
            not transport.is_closing()
            and self.endless_bytes_sent < _MAX_ENDLESS_BYTES
        ):
            if transport.get_write_buffer_size() < len(chunk):
                transport.write(chunk)
                self.endless_bytes_sent += len(chunk)
            await asyncio.sleep(0)
        transport.abort()

    async def _stream_events(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=self._response_headers(request, fault)
        )
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        last_event_id = int(request.headers.get('Last-Event-Id', 0))
        first_fatal = last_event_id + self.options.fatal_after_events
        for number in range(last_event_id + 1, self.options.events + 1):
            if fault is EngineFault.END and number > first_fatal:
                await asyncio.sleep(self.options.event_s)
                self.end()
                return response
            if fault is EngineFault.CUT and number > last_event_id + 2:
                await response.write(b'id: ')
                request.transport.abort()
                return response
            if fault is EngineFault.TRICKLE and number > last_event_id + 2:
                await response.write(b':')
                await asyncio.sleep(_TRICKLE_S)
                continue
            await response.write(
                _event_text(number, self.options, fault).encode()
            )
            await self.silence.sleep(self.options.event_s)
        return response

    async def _stream_until_close(
        self, request: web.Request, fault: EngineFault
    ) -> web.StreamResponse:
        """Send a stream that ends when the connection is closed.

        CUT closes it inside the third event and END before the first one.
        """
        transport = request.transport
        headers = self._response_headers(request, fault)
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join(
            ('HTTP/1.1 200 OK', 'Content-Type: text/event-stream', *lines)
        )
        transport.write(f'{head}\r\n\r\n'.encode())
        for number in range(1, self.options.events + 1):
            await self.silence.sleep(self.options.event_s)
            if fault is EngineFault.END:
                self.end()
                break
            if fault is EngineFault.CUT and number > 2:
                transport.write(b'id: ')
                break
            transport.write(f'id: {number}\ndata: w{number}\n\n'.encode())
        transport.close()
        return web.Response()

    def _response_headers(
        self,
        request: web.Request,
        fault: EngineFault,
    ) -> dict[str, str]:
        attempt_id = request.headers['Attempt-Id']
        if fault is EngineFault.FOREIGN:
            attempt_id = 'of-somebody-else'
        return {
            'Attempt-Id': attempt_id,
            'Response-Stamp': f'stamp-{self.options.id}',
            'Server-Load': f'{self.running},0,{self.options.slots},100',
            'Weight-Versions': str(self.version),
        }

    def _models(self) -> list[dict[str, object]]:
        if not self.options.model:
            return []
        return [
            {
                'name': self.options.model,
                'version': self.version,
                'adapters': [],
            },
        ]

    def _finish_load(self, version: int) -> None:
        self.version = version
        self.is_loading_weights = False


async def _outlast_caller(
    handler: Callable[[web.Request], Awaitable[web.Response]],
    request: web.Request,
) -> web.Response:
    """Handle a request to its end, though its caller may leave."""
    await request.read()
    return await asyncio.shield(asyncio.ensure_future(handler(request)))


def _shared_segments(request: web.Request) -> frozenset[str]:
    entries = request.headers.get('Prompt-Prefix', '').split(',')[:-1]
    return frozenset(entry.partition(':')[0] for entry in entries)


def _event_text(number: int, options: EngineOptions, fault: EngineFault) -> str:
    padding = 'x' * options.padding_bytes
    event = f'id: {number}\ndata: w{number}{padding}\n\n'
    is_odd = fault is EngineFault.ODD_EVENT and number == 1
    return f'{_ODD_EVENT}{event}' if is_odd else event
