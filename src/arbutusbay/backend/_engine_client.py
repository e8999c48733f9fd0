"""Provide a typed client of the HTTP protocol of model engines.

``POST /v1/generate`` streams JSON lines, ``GET /v1/events`` returns cache
events with a load report, and ``POST /v1/orders`` accepts orders to load
weights.
"""

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import orjson
from aiohttp.http_exceptions import LineTooLong
from result import Err, Ok, Result

from arbutusbay.backend._engine_decoder import (
    call_failed,
    decode_cache_events,
    decode_engine_identity,
    decode_stream_line,
    refusal_error,
)
from arbutusbay.backend._engine_messages import (
    CacheEventPage,
    EngineIdentity,
    EngineMismatch,
    GenerationEnd,
    GenerationEvent,
    GenerationRequest,
    TextPiece,
    WeightsOrder,
)
from arbutusbay.errors import Failure, RunState
from arbutusbay.responses import WholeBody, fetch_whole, read_body
from arbutusbay.turns import Turn

_CONNECT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 120.0
_CALL_TIMEOUT_S = 3.0
_OK_STATUS = 200
_IDENTITY_MISMATCH_STATUS = 409
_REFUSAL_STATUSES = frozenset((_IDENTITY_MISMATCH_STATUS, 429, 503))
_MAX_LINE_BYTES = 1024 * 1024
_MAX_BODY_BYTES = 8_388_608
_BROKEN_STREAM_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    LineTooLong,
)


class EngineClient:
    """Call one engine over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        """Use ``session`` for calls to the engine at ``url``."""
        self.session = session
        self.url = url.rstrip('/')

    async def generate(
        self,
        generation: GenerationRequest,
    ) -> AsyncIterator[Result[GenerationEvent, Failure]]:
        """Run one attempt and yield the checked events of its stream.

        ``session`` must not reuse connections, because a rejection does not
        name the attempt that it belongs to.

        A failure, if any, comes last. Its run state is ``NOT_RUN`` if the
        engine rejected the request with 409, 429 or 503 or connecting failed:
        an engine that runs a request begins with 200. It is ``RAN`` if the
        stream is malformed or lacks its last event, and ``UNKNOWN`` after any
        other status or error.
        """
        try:
            async with self._open(generation) as response:
                async for event in _read_stream(response, generation):
                    yield event
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            yield call_failed(repr(error), RunState.NOT_RUN)
        except _BROKEN_STREAM_ERRORS as error:
            yield call_failed(repr(error), RunState.UNKNOWN)

    async def read_events(
        self,
        after: int,
        incarnation: str,
        *,
        wait_ms: int,
    ) -> Result[CacheEventPage, Failure]:
        """Return the cache events after sequence number ``after``.

        The engine waits up to ``wait_ms`` milliseconds for an event. If its
        incarnation is not ``incarnation``, it returns all its events.
        """
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S + wait_ms / 1000)
        call = self.session.get(
            f'{self.url}/v1/events',
            params={
                'after': after,
                'incarnation': incarnation,
                'wait_ms': wait_ms,
            },
            timeout=timeout,
        )
        return (await _read_json(call)).and_then(decode_cache_events)

    async def send_weights_order(
        self,
        order: WeightsOrder,
    ) -> Result[None, Failure]:
        """Order the engine to load weights.

        Success means that it accepted the order. Its later reports show
        when the weights are loaded.
        """
        call = self.session.post(
            f'{self.url}/v1/orders',
            json=attrs.asdict(order),
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
        )
        return (await _read_json(call)).map(lambda _: None)

    def _open(self, generation: GenerationRequest) -> Any:
        return self.session.post(
            f'{self.url}/v1/generate',
            data=orjson.dumps(attrs.asdict(generation)),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=_CONNECT_TIMEOUT_S,
                sock_read=_READ_TIMEOUT_S,
            ),
            max_line_size=_MAX_LINE_BYTES,
        )


async def _read_stream(
    response: aiohttp.ClientResponse,
    generation: GenerationRequest,
) -> AsyncIterator[Result[GenerationEvent, Failure]]:
    if response.status != _OK_STATUS:
        async for refusal_event in _read_refusal(response):
            yield refusal_event
        return
    expected_index = generation.resume_from
    with Turn() as turn:
        async for line in response.content:
            await turn.end_if_long()
            event = decode_stream_line(line, generation, expected_index)
            yield event
            match event:
                case Err() | Ok(GenerationEnd()):
                    return
                case Ok(TextPiece()):
                    expected_index += 1
    yield call_failed('stream ended before its last event', RunState.RAN)


async def _read_refusal(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Result[GenerationEvent, Failure]]:
    body = await read_body(response, _MAX_BODY_BYTES)
    if response.status == _IDENTITY_MISMATCH_STATUS:
        match body.and_then(_decode_identity):
            case Ok(identity):
                yield Ok(EngineMismatch(identity=identity))
    if response.status in _REFUSAL_STATUSES:
        yield refusal_error(response.status)
    else:
        yield call_failed(f'status {response.status}', RunState.UNKNOWN)


def _decode_identity(body: WholeBody) -> Result[EngineIdentity, str]:
    try:
        return Ok(decode_engine_identity(orjson.loads(body.content)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(repr(error))


async def _read_json(call: Any) -> Result[dict[str, Any], Failure]:
    match await fetch_whole(call, _MAX_BODY_BYTES):
        case Err(missing):
            return call_failed(missing.detail, RunState.UNKNOWN)
        case Ok(response) if response.status != _OK_STATUS:
            return refusal_error(response.status)
        case Ok(response):
            pass
    try:
        return Ok(orjson.loads(response.body))
    except ValueError as error:
        return call_failed(repr(error), RunState.UNKNOWN)
