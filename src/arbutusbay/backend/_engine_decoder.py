"""Decode and check the JSON responses of model engines."""

from typing import Any

import orjson
from result import Err, Ok, Result

from arbutusbay.backend._engine_messages import (
    CacheEvent,
    CacheEventPage,
    EngineIdentity,
    GenerationEnd,
    GenerationEvent,
    GenerationRequest,
    GenerationStart,
    LoadReport,
    TextPiece,
)
from arbutusbay.checked_values import (
    describe_value,
    require_boolean,
    require_count,
    require_list,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure, RunState

_MAX_COUNT = 4_294_967_295
_MAX_BLOCK_HASH = 18_446_744_073_709_551_615


def decode_stream_line(
    line: bytes,
    generation: GenerationRequest,
    expected_index: int,
) -> Result[GenerationEvent, Failure]:
    """Return the event in one line of a stream.

    A piece must have the index ``expected_index``, and the end of the
    stream must state that number of pieces. A malformed line or one of
    another attempt gives a failure with the run state ``RAN``.
    """
    try:
        fields = orjson.loads(line)
        attempt = fields['attempt']
        event = _parse_event(fields)
    except (ValueError, KeyError, TypeError) as error:
        return call_failed(f'malformed line in stream: {error!r}', RunState.RAN)
    if attempt != generation.attempt:
        return call_failed(
            'line in stream belongs to another attempt', RunState.RAN
        )
    match event:
        case TextPiece() if event.index != expected_index:
            return call_failed(
                f'received piece {event.index}, expected {expected_index}',
                RunState.RAN,
            )
        case GenerationEnd() if event.pieces != expected_index:
            return call_failed(
                'stream ended with a wrong count of pieces', RunState.RAN
            )
    return Ok(event)


def _parse_event(fields: dict[str, Any]) -> GenerationEvent:
    match fields['type']:
        case 'identity':
            return decode_engine_identity(fields)
        case 'start':
            return GenerationStart(
                cached_tokens=int(fields['cached_tokens']),
                prompt_tokens=int(fields['prompt_tokens']),
            )
        case 'piece':
            return TextPiece(
                index=int(fields['index']), text=str(fields['text'])
            )
        case 'end':
            return GenerationEnd(
                pieces=int(fields['pieces']),
                finish_reason=str(fields['finish_reason']),
            )
        case event_type:
            raise ValueError(
                f'unknown event type: {describe_value(event_type)}'
            )


def decode_engine_identity(fields: dict[str, Any]) -> EngineIdentity:
    """Return the engine's identity.

    Raise ``KeyError`` if a field is missing.
    """
    return EngineIdentity(
        incarnation=str(fields['incarnation']),
        weights_version=str(fields['weights_version']),
    )


def decode_cache_events(
    fields: dict[str, Any],
) -> Result[CacheEventPage, Failure]:
    """Return a page of cache events.

    A malformed page gives a failure of kind ``STREAM_BROKEN``.
    """
    try:
        return Ok(
            CacheEventPage(
                incarnation=require_text(fields['incarnation'], 'incarnation'),
                weights_version=require_text(
                    fields['weights_version'], 'weights_version'
                ),
                next_sequence=require_count(fields['next'], 'next'),
                gap=require_boolean(fields['gap'], 'gap'),
                events=[
                    CacheEvent(
                        stored=_hashes_from_json(event[0]),
                        removed=_hashes_from_json(event[1]),
                    )
                    for event in require_list(fields['events'], 'events')
                ],
                load=_load_from_json(fields['load']),
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        return call_failed(
            f'malformed cache events: {error!r}', RunState.UNKNOWN
        )


def _hashes_from_json(found: Any) -> list[int]:
    return [
        require_count(block, 'block hash', highest=_MAX_BLOCK_HASH)
        for block in require_list(found, 'block hashes')
    ]


def _load_from_json(fields: dict[str, Any]) -> LoadReport:
    counts = {
        name: require_count(fields[name], name, highest=_MAX_COUNT)
        for name in ('running', 'waiting', 'queued_tokens', 'slots')
    }
    return LoadReport(
        **counts,
        ready=require_boolean(fields['ready'], 'ready'),
        leaving=require_boolean(fields['leaving'], 'leaving'),
    )


def refusal_error(status: int) -> Err[Failure]:
    """Return the failure of a request that the engine refused to run."""
    return Err(
        Failure(
            kind=ErrorKind.NO_BACKEND_SERVER,
            detail=f'engine refused the request with status {status}',
            run_state=RunState.NOT_RUN,
        ),
    )


def call_failed(detail: str, run_state: RunState) -> Err[Failure]:
    """Return the failure of a call that did not complete."""
    return Err(
        Failure(
            kind=ErrorKind.STREAM_BROKEN,
            detail=f'engine: {detail}',
            run_state=run_state,
        ),
    )
