"""Decode what model engines answer, line by line, with checks."""

from typing import Any

import orjson
from result import Err, Ok, Result

from arbutusbay.backend._engine_messages import (
    CacheEvent,
    CacheEvents,
    EngineIdentity,
    Generation,
    LoadReport,
    Piece,
    StreamEnd,
    StreamEvent,
    StreamStart,
)
from arbutusbay.errors import ErrorKind, Failure, RunState


def event_from_line(
    line: bytes,
    generation: Generation,
    expected: int,
) -> Result[StreamEvent, Failure]:
    """Return the event in a line of a stream, piece ``expected`` if any."""
    try:
        fields = orjson.loads(line)
        attempt = fields['attempt']
        event = _event_from_json(fields)
    except (ValueError, KeyError, TypeError) as error:
        return broken(f'bad line: {error!r}', RunState.RAN)
    if attempt != generation.attempt:
        return broken('answer of another attempt', RunState.RAN)
    match event:
        case Piece() if event.index != expected:
            return broken(
                f'piece {event.index} came for {expected}',
                RunState.RAN,
            )
        case StreamEnd() if event.pieces != expected:
            return broken('pieces are missing', RunState.RAN)
    return Ok(event)


def _event_from_json(fields: dict[str, Any]) -> StreamEvent:
    match fields['type']:
        case 'identity':
            return identity_from_json(fields)
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


def identity_from_json(fields: dict[str, Any]) -> EngineIdentity:
    """Return who answers; raises ``KeyError`` if that is not told."""
    return EngineIdentity(
        incarnation=str(fields['incarnation']),
        weights_version=str(fields['weights_version']),
    )


def events_from_json(fields: dict[str, Any]) -> Result[CacheEvents, Failure]:
    """Return a page of cache events, or that it is malformed."""
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
        return broken(f'bad events: {error!r}', RunState.UNKNOWN)


def refused(status: int) -> Err[Failure]:
    """Return that the engine did not run what it was asked."""
    return Err(
        Failure(
            kind=ErrorKind.NO_BACKEND_SERVER,
            detail=f'engine refused with {status}',
            run_state=RunState.NOT_RUN,
        ),
    )


def broken(detail: str, run_state: RunState) -> Err[Failure]:
    """Return that a call to the engine broke."""
    return Err(
        Failure(
            kind=ErrorKind.STREAM_BROKEN,
            detail=f'engine: {detail}',
            run_state=run_state,
        ),
    )
