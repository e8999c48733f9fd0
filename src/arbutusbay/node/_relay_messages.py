"""Encode and decode the topic records that one VM relays to another."""

import base64
import binascii
from collections.abc import Collection, Mapping, Sequence
from math import inf, isfinite
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result, UnwrapError

from arbutusbay.checked_values import (
    require_boolean,
    require_count,
    require_integer,
    require_number,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform import KeyedRecord, StorePosition
from arbutusbay.spread import PayloadHistory, decode_records

ENCODED_CONTENT_TYPE = 'application/x-arbutusbay-records'
_ENCODING = 'zstd-1'
_DIGEST_SEPARATOR = ','
_LINE_END = b'\n'
_ALL_RECORDS_OFFSET = -1
# Records of an earlier era of the store have no offset.
_LOWEST_OFFSET = -1
_UNKNOWN_AGE_S = inf


@attrs.frozen(kw_only=True)
class TopicUpdate:
    """Hold the records of one topic since a position.

    ``end`` is the next position to ask for. ``is_complete`` means that the
    records cover all keys of the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: StorePosition
    is_complete: bool


@attrs.frozen(kw_only=True)
class RelayResponse:
    """Hold the changes of both topics.

    ``age_s`` is the age of the relay's data, in seconds, when the response
    was sent. ``held_s`` is how long the relay held the request before it
    responded, in seconds. ``store_returned_ago_s`` is how long before the
    response the store returned after an outage, in seconds; None if the
    relay has seen no outage or is of a build without the field.
    ``store_failing_s`` is for how long its reads have failed, in seconds.
    ``naming_ages_s`` holds by model how long before the response each known
    weights version was named at most, in seconds.
    """

    age_s: float
    held_s: float
    store_returned_ago_s: float | None = None
    store_failing_s: float = 0.0
    naming_ages_s: Mapping[str, Mapping[int, float]] = attrs.field(factory=dict)
    operator: TopicUpdate
    servers: TopicUpdate


def position_parameters(
    topic: str, position: StorePosition | None
) -> dict[str, str]:
    """Return the query parameters that ask for a topic's records.

    These are the records since ``position``, all of them if it is None.
    """
    if position is None:
        return {topic: str(_ALL_RECORDS_OFFSET)}
    return {topic: str(position.offset), f'{topic}_era': str(position.era)}


def position_from_parameters(
    topic: str, query: Mapping[str, str]
) -> StorePosition | None:
    """Return the position that ``position_parameters`` encoded.

    Raise ``KeyError`` or ``ValueError`` if a parameter is missing or
    malformed.
    """
    offset = int(query[topic])
    if offset < 0:
        return None
    return StorePosition(era=int(query.get(f'{topic}_era', 0)), offset=offset)


def encoding_parameters(digests: Collection[str]) -> dict[str, str]:
    """Return the query parameters that ask for encoded records.

    ``digests`` name the payloads that may be bases of changes. Builds without
    this encoding ignore them and respond in JSON.
    """
    return {
        'encoding': _ENCODING,
        'bases': _DIGEST_SEPARATOR.join(digests),
    }


def accepts_encoding(query: Mapping[str, str]) -> bool:
    """Return whether the sender of a request decodes encoded records."""
    return query.get('encoding') == _ENCODING


def bases_from_parameters(query: Mapping[str, str]) -> list[str]:
    """Return the digests that ``encoding_parameters`` encoded."""
    return query.get('bases', '').split(_DIGEST_SEPARATOR)


def relay_response_to_bytes(answer: RelayResponse) -> bytes:
    """Return ``answer`` as JSON."""
    return orjson.dumps(
        {
            **_times_to_json(answer),
            'operator': _update_to_json(answer.operator),
            'servers': _update_to_json(answer.servers),
        },
    )


def relay_response_from_bytes(body: bytes) -> Result[RelayResponse, Failure]:
    """Return the response in ``body``, or a ``BAD_MESSAGE`` failure."""
    try:
        fields = orjson.loads(body)
        return Ok(
            _response_from_json(
                fields,
                operator=_update_from_json(fields['operator']),
                servers=_update_from_json(fields['servers']),
            ),
        )
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return _malformed(error)


def encoded_response_to_bytes(
    answer: RelayResponse, *, operator_body: bytes, servers_body: bytes
) -> bytes:
    """Return ``answer`` with the records that the bodies hold.

    A line of JSON comes first, then both bodies.
    """
    head = orjson.dumps(
        {
            **_times_to_json(answer),
            'operator': _update_head_to_json(answer.operator),
            'operator_bytes': len(operator_body),
            'servers': _update_head_to_json(answer.servers),
            'servers_bytes': len(servers_body),
        }
    )
    return b''.join((head, _LINE_END, operator_body, servers_body))


def encoded_response_from_bytes(
    body: bytes, history: PayloadHistory
) -> Result[RelayResponse, Failure]:
    """Return the response in ``body``, or a ``BAD_MESSAGE`` failure.

    Payloads of ``history`` are the bases of changes.
    """
    try:
        return Ok(_encoded_response(body, history))
    except UnwrapError as error:
        return error.result
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return _malformed(error)


def _encoded_response(body: bytes, history: PayloadHistory) -> RelayResponse:
    line, _, bodies = body.partition(_LINE_END)
    fields = orjson.loads(line)
    operator_bytes = require_count(fields['operator_bytes'], 'size')
    servers_bytes = require_count(fields['servers_bytes'], 'size')
    if operator_bytes + servers_bytes != len(bodies):
        raise ValueError(f'bodies of {len(bodies)} bytes')
    operator_body = bodies[:operator_bytes]
    servers_body = bodies[operator_bytes:]
    return _response_from_json(
        fields,
        operator=_encoded_update(fields['operator'], operator_body, history),
        servers=_encoded_update(fields['servers'], servers_body, history),
    )


def _encoded_update(
    fields: dict[str, Any], body: bytes, history: PayloadHistory
) -> TopicUpdate:
    records = decode_records(body, history).unwrap() if body else ()
    return _update_head_from_json(fields, records)


def _malformed(error: Exception) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'relay: {error!r}'))


def _times_to_json(answer: RelayResponse) -> dict[str, Any]:
    """Return the times of ``answer`` in milliseconds.

    Ages are rounded up and the hold time down, so that the receiver never
    takes the data for more recent than it is.
    """
    return {
        'age_ms': int(answer.age_s * 1000) + 1,
        'held_ms': int(answer.held_s * 1000),
        'store_returned_ago_ms': _optional_milliseconds(
            answer.store_returned_ago_s
        ),
        'store_failing_ms': int(answer.store_failing_s * 1000),
        'naming_ages_ms': {
            model: [
                (version, int(age_s * 1000) + 1 if isfinite(age_s) else None)
                for version, age_s in ages_s.items()
            ]
            for model, ages_s in answer.naming_ages_s.items()
        },
    }


def _response_from_json(
    fields: dict[str, Any], *, operator: TopicUpdate, servers: TopicUpdate
) -> RelayResponse:
    return RelayResponse(
        age_s=_seconds(fields['age_ms']),
        held_s=_seconds(fields['held_ms']),
        store_returned_ago_s=_optional_seconds(
            fields.get('store_returned_ago_ms')
        ),
        store_failing_s=_seconds(fields.get('store_failing_ms', 0)),
        naming_ages_s={
            require_text(model, 'model'): _naming_ages(ages_ms)
            for model, ages_ms in fields.get('naming_ages_ms', {}).items()
        },
        operator=operator,
        servers=servers,
    )


def _naming_ages(ages_ms: Sequence[Any]) -> dict[int, float]:
    return {
        require_count(version, 'version'): _UNKNOWN_AGE_S
        if age_ms is None
        else _seconds(age_ms)
        for version, age_ms in ages_ms
    }


def _optional_milliseconds(duration_s: float | None) -> int | None:
    return None if duration_s is None else int(duration_s * 1000)


def _optional_seconds(duration_ms: float | None) -> float | None:
    return None if duration_ms is None else _seconds(duration_ms)


def _seconds(duration_ms: Any) -> float:
    return require_number(duration_ms, 'duration') / 1000


def _update_to_json(update: TopicUpdate) -> dict[str, Any]:
    return {
        **_update_head_to_json(update),
        'records': [
            (
                record.key,
                base64.b64encode(record.payload).decode(),
                record.offset,
            )
            for record in update.records
        ],
    }


def _update_head_to_json(update: TopicUpdate) -> dict[str, Any]:
    return {
        'end': update.end.offset,
        'era': update.end.era,
        'whole': update.is_complete,
    }


def _update_from_json(fields: dict[str, Any]) -> TopicUpdate:
    return _update_head_from_json(
        fields,
        tuple(
            KeyedRecord(
                key=require_text(key, 'key'),
                payload=base64.b64decode(payload),
                offset=require_integer(offset, 'offset', lowest=_LOWEST_OFFSET),
            )
            for key, payload, offset in fields['records']
        ),
    )


def _update_head_from_json(
    fields: dict[str, Any], records: tuple[KeyedRecord, ...]
) -> TopicUpdate:
    return TopicUpdate(
        records=records,
        end=StorePosition(
            era=require_count(fields.get('era', 0), 'era'),
            offset=require_count(fields['end'], 'end'),
        ),
        is_complete=require_boolean(fields['whole'], 'whole'),
    )
