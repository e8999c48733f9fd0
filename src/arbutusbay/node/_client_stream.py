"""Answer one client request in one of two ways.

It gets a whole response, or a stream of events. Once the head of a stream is
out, the client holds a ``ClientStream``, which takes events and an end and
nothing else.
"""

import enum
from contextlib import AbstractContextManager, nullcontext

import attrs
from aiohttp import HttpVersion11, web

from arbutusbay.client_ends import has_queued_request
from arbutusbay.clock import now_s
from arbutusbay.node._attempts import BufferedResponse, OpenResponse
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._request_executor import RequestExecutor, may_have_run
from arbutusbay.node.quota import RequestGrant
from arbutusbay.platform import ServerSentEvent
from arbutusbay.response_streams import (
    ResponseStream,
    abort_connection,
    begin_stream,
    flow_of,
    is_connection_open,
)
from arbutusbay.responses import BodyEnd
from arbutusbay.unsent_bytes import count_unsent_bytes

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class CutReason(enum.StrEnum):
    """Name why a stream ended after its response had started.

    ``DEADLINE``: the time of the route ran out. ``BROKEN``: the engine broke
    off, and the stream may not be resumed. ``SILENT``: this VM ended the
    attempt, and did not send another one. ``NO_REPLACEMENT``: no engine was
    found to resume it. ``INTERNAL``: an error in this program. ``SHUTDOWN``:
    this VM ended.
    """

    DEADLINE = 'deadline'
    BROKEN = 'broken'
    SILENT = 'silent'
    NO_REPLACEMENT = 'no_replacement'
    INTERNAL = 'internal'
    SHUTDOWN = 'shutdown'


@attrs.frozen(kw_only=True)
class StreamCompleted:
    """Report that a stream was relayed to its end, which ``end`` showed."""

    end: BodyEnd


@attrs.frozen(kw_only=True)
class StreamCut:
    """Report that a stream was cut: its connection is aborted."""

    reason: CutReason
    detail: str


StreamEnd = StreamCompleted | StreamCut


@attrs.define(kw_only=True)
class StreamTiming:
    """Measure the timing of the events relayed to the client.

    Times ending in ``_s`` are in seconds on the clock of ``now_s``, except
    ``longest_gap_s``, which is a duration. ``first_event_s`` is None until the
    first event.
    """

    event_count: int = 0
    first_event_s: float | None = None
    latest_event_s: float = 0.0
    longest_gap_s: float = 0.0
    longest_gap_end_s: float = 0.0

    def record_event(self) -> None:
        """Record that an event was relayed now."""
        moment_s = now_s()
        if self.first_event_s is None:
            self.first_event_s = moment_s
        else:
            gap_s = moment_s - self.latest_event_s
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.longest_gap_end_s = moment_s
        self.latest_event_s = moment_s
        self.event_count += 1


@attrs.define(kw_only=True)
class ClientStream:
    """Represent a streamed response of events whose head is out."""

    stream: ResponseStream
    timing: StreamTiming = attrs.field(factory=StreamTiming)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the client has not acknowledged yet."""
        return count_unsent_bytes(self.stream.request.transport)

    def can_continue_with(self, answer: OpenResponse) -> bool:
        """Return whether the body of ``answer`` may follow the head sent."""
        return (
            answer.status == self.stream.response.status
            and answer.content_type == self.stream.response.content_type
        )

    async def write_event(self, event: ServerSentEvent) -> None:
        """Send one whole event."""
        await self.stream.write(event.raw_bytes)
        if not event.is_comment:
            self.timing.record_event()

    async def complete(self, end: BodyEnd) -> StreamCompleted:
        """End the stream so that the client sees that it is complete."""
        await self.stream.complete()
        return StreamCompleted(end=end)

    def cut(self, reason: CutReason, detail: str) -> StreamCut:
        """Abort the connection: the client sees that the stream broke."""
        self.stream.cut()
        return StreamCut(reason=reason, detail=detail)


@attrs.define(kw_only=True)
class ClientExchange:
    """Hold one client request and how far its response has come.

    ``incoming`` and ``grant`` are None until the request was accepted,
    ``executor`` until it was read whole, and ``stream`` until the head of a
    stream is out.
    """

    request: web.BaseRequest
    incoming: IncomingRequest | None = None
    grant: RequestGrant | None = None
    executor: RequestExecutor | None = None
    stream: ClientStream | None = None

    @property
    def answer_in_hand(self) -> BufferedResponse | None:
        """Return the latest response of a server that failed, if any."""
        if self.executor is None:
            return None
        return self.executor.attempt_history.answer_in_hand

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have executed the request."""
        return self.executor is not None and may_have_run(self.executor)

    def reading_from(
        self, answer: OpenResponse
    ) -> AbstractContextManager[None]:
        """Hold back the body of ``answer`` whenever the client is awaited."""
        flow = flow_of(self.request)
        if flow is None:
            return nullcontext()
        return flow.reading_from(answer.connection)

    async def start_stream(
        self, answer: OpenResponse, *, closes: bool
    ) -> ClientStream:
        """Send the head of ``answer``.

        The connection is closed after the stream if it ``closes`` and no other
        request was read, or if nothing else shows the end.
        """
        response = web.StreamResponse(
            status=answer.status,
            headers=answer.headers(),
        )
        if closes and not has_queued_request(self.request):
            response.force_close()
        self.stream = ClientStream(
            stream=await begin_stream(self.request, response)
        )
        return self.stream

    async def finish(
        self, outcome: web.Response | StreamEnd
    ) -> web.StreamResponse:
        """Send a whole response unless a stream ended; return what was sent."""
        match outcome:
            case web.Response() as response:
                if is_connection_open(self.request):
                    await response.prepare(self.request)
                    await response.write_eof()
                return response
        return self.stream.stream.response

    def abort(self) -> None:
        """Abort the connection, also if a stream has begun."""
        abort_connection(self.request)


def invite_body(request: web.BaseRequest) -> None:
    """Send the interim response that a client may await before its body."""
    awaits = request.headers.get('Expect', '').lower() == '100-continue'
    is_possible = request.version >= HttpVersion11 and is_connection_open(
        request
    )
    if awaits and is_possible and not request.content.total_bytes:
        request.transport.write(_CONTINUE)
