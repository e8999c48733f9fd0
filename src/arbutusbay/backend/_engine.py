"""Adapt the HTTP protocol of model engines to typed calls and streams.

Source: the engines' protocol. ``POST /v1/generate`` streams JSON lines,
``GET /v1/events`` returns cache events with a load report, and
``POST /v1/orders`` takes orders.
"""

import asyncio
import enum
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure, RunState

_CONNECT_TIMEOUT_S = 1.0
_SILENCE_TIMEOUT_S = 120.0
_CALL_TIMEOUT_S = 3.0
_OK_STATUS = 200
_MISMATCH_STATUS = 409
_LINE_LIMIT_BYTES = 1024 * 1024


class Priority(enum.IntEnum):
    """Order work inside an engine, lowest first."""

    URGENT = 0
    NORMAL = 1


@attrs.frozen(kw_only=True)
class Generation:
    """Ask an engine for a stream of pieces.

    ``incarnation`` is empty when the request relies on no cached state;
    pieces before ``resume_from`` were relayed already.
    """

    attempt: str
    team: str
    model: str
    adapter: str
    weights_version: str
    incarnation: str
    prompt: str
    max_tokens: int
    priority: Priority
    resume_from: int = 0


@attrs.frozen(kw_only=True)
class StreamStart:
    """Open a stream and tell how much of the prompt was cached."""

    cached_tokens: int
    prompt_tokens: int


@attrs.frozen(kw_only=True)
class EngineIdentity:
    """Tell which life of the engine answers, with which weights."""

    incarnation: str
    weights_version: str


@attrs.frozen(kw_only=True)
class Piece:
    """Carry one piece of text at its index in the answer."""

    index: int
    text: str


@attrs.frozen(kw_only=True)
class StreamEnd:
    """Close a stream that is whole; ``pieces`` counts from the start."""

    pieces: int
    finish_reason: str


StreamEvent = EngineIdentity | StreamStart | Piece | StreamEnd


@attrs.frozen(kw_only=True)
class LoadReport:
    """Describe an engine's load as it reported it."""

    running: int
    waiting: int
    queued_tokens: int
    slots: int
    ready: bool
    leaving: bool


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Hold a page of cache events and the engine's load.

    Hashes in ``removed`` left the cache after those in ``stored`` entered
    it within the same event. ``gap`` tells that entries were lost.
    """

    incarnation: str
    weights_version: str
    next_sequence: int
    gap: bool
    events: list['CacheEvent']
    load: LoadReport


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Tell which blocks entered and left an engine's cache."""

    stored: list[int]
    removed: list[int]


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order an engine to load a weights version."""

    weights_version: str
    fence: int


class EngineClient:
    """Call one engine."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        """Use ``session`` for calls to the engine at ``url``."""
        self.session = session
        self.url = url.rstrip('/')

    async def generate(
        self,
        generation: Generation,
    ) -> AsyncIterator[Result[StreamEvent, Failure]]:
        """Yield the checked events of one attempt, at most one failure.

        The failure, if any, comes last. Its run state is ``NOT_RUN`` when
        the engine refused or was not reached.
        """
        try:
            async with self._open(generation) as response:
                async for event in _read_stream(response, generation):
                    yield event
        except aiohttp.ClientConnectorError as error:
            yield _broken(repr(error), RunState.NOT_RUN)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            OSError,
            ValueError,
        ) as broken:
            yield _broken(repr(broken), RunState.UNKNOWN)

    async def read_events(
        self,
        after: int,
        incarnation: str,
        *,
        wait_ms: int,
    ) -> Result[CacheEvents, Failure]:
        """Return events after sequence ``after`` of ``incarnation``."""
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
        return (await _read_json(call)).and_then(_events_from_json)

    async def order_weights(
        self,
        order: WeightsOrder,
    ) -> Result[None, Failure]:
        """Order a load of weights; the engine reports when it is done."""
        call = self.session.post(
            f'{self.url}/v1/orders',
            json=attrs.asdict(order),
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
        )
        return (await _read_json(call)).map(lambda _: None)

    def _open(self, generation: Generation) -> Any:
        return self.session.post(
            f'{self.url}/v1/generate',
            data=orjson.dumps(attrs.asdict(generation)),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=_CONNECT_TIMEOUT_S,
                sock_read=_SILENCE_TIMEOUT_S,
            ),
            max_line_size=_LINE_LIMIT_BYTES,
        )


async def _read_stream(
    response: aiohttp.ClientResponse,
    generation: Generation,
) -> AsyncIterator[Result[StreamEvent, Failure]]:
    if response.status != _OK_STATUS:
        async for refusal in _refusal(response):
            yield refusal
        return
    expected = generation.resume_from
    async for line in response.content:
        event = _event_from_line(line, generation, expected)
        yield event
        match event:
            case Err() | Ok(StreamEnd()):
                return
            case Ok(Piece()):
                expected += 1
    yield _broken('stream ended early', RunState.RAN)


def _event_from_line(
    line: bytes,
    generation: Generation,
    expected: int,
) -> Result[StreamEvent, Failure]:
    try:
        fields = orjson.loads(line)
        attempt = fields['attempt']
        event = _event_from_json(fields)
    except (ValueError, KeyError, TypeError) as error:
        return _broken(f'bad line: {error!r}', RunState.RAN)
    if attempt != generation.attempt:
        return _broken('answer of another attempt', RunState.RAN)
    match event:
        case Piece() if event.index != expected:
            return _broken(
                f'piece {event.index} came for {expected}',
                RunState.RAN,
            )
        case StreamEnd() if event.pieces != expected:
            return _broken('pieces are missing', RunState.RAN)
    return Ok(event)


def _event_from_json(fields: dict[str, Any]) -> StreamEvent:
    match fields['type']:
        case 'identity':
            return _identity_from_json(fields)
        case 'start':
            return StreamStart(
                cached_tokens=int(fields['cached_tokens']),
                prompt_tokens=int(fields['prompt_tokens']),
            )
        case 'piece':
            return Piece(index=int(fields['index']), text=str(fields['text']))
        case 'end':
            return StreamEnd(
                pieces=int(fields['pieces']),
                finish_reason=str(fields['finish_reason']),
            )
        case other:
            raise ValueError(f'unknown event {other!r}')


def _identity_from_json(fields: dict[str, Any]) -> EngineIdentity:
    return EngineIdentity(
        incarnation=str(fields['incarnation']),
        weights_version=str(fields['weights_version']),
    )


async def _refusal(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Result[StreamEvent, Failure]]:
    body = await response.read()
    if response.status == _MISMATCH_STATUS:
        try:
            yield Ok(_identity_from_json(orjson.loads(body)))
        except (ValueError, KeyError, TypeError):
            yield _refused(response.status)
            return
    yield _refused(response.status)


async def _read_json(call: Any) -> Result[dict[str, Any], Failure]:
    try:
        async with call as response:
            body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _broken(repr(error), RunState.UNKNOWN)
    if response.status != _OK_STATUS:
        return _refused(response.status)
    try:
        return Ok(orjson.loads(body))
    except ValueError as error:
        return _broken(repr(error), RunState.UNKNOWN)


def _events_from_json(fields: dict[str, Any]) -> Result[CacheEvents, Failure]:
    try:
        return Ok(
            CacheEvents(
                incarnation=str(fields['incarnation']),
                weights_version=str(fields['weights_version']),
                next_sequence=int(fields['next']),
                gap=bool(fields['gap']),
                events=[
                    CacheEvent(stored=event[0], removed=event[1])
                    for event in fields['events']
                ],
                load=LoadReport(**fields['load']),
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        return _broken(f'bad events: {error!r}', RunState.UNKNOWN)


def _refused(status: int) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.NO_BACKEND_SERVER,
            detail=f'engine refused with {status}',
            run_state=RunState.NOT_RUN,
        ),
    )


def _broken(detail: str, run_state: RunState) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.STREAM_BROKEN,
            detail=f'engine: {detail}',
            run_state=run_state,
        ),
    )
