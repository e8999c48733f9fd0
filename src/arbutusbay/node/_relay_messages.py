"""Encode and decode the topic records that one VM relays to another."""

import base64
import binascii
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform import KeyedRecord


@attrs.frozen(kw_only=True)
class TopicUpdate:
    """Hold the records of one topic since an offset.

    ``end_offset`` is the next offset to ask for. ``is_complete`` means that the
    records cover all keys of the topic.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    is_complete: bool


@attrs.frozen(kw_only=True)
class RelayResponse:
    """Hold the changes of both topics.

    ``age_s`` is the age of the relay's data, in seconds, when the response
    was sent. ``held_s`` is how long the relay held the request before it
    responded, in seconds.
    """

    age_s: float
    held_s: float
    operator: TopicUpdate
    servers: TopicUpdate


def relay_response_to_bytes(answer: RelayResponse) -> bytes:
    """Return ``answer`` as JSON.

    The age is rounded up and the hold time down, in milliseconds, so that
    the receiver never takes the data for more recent than it is.
    """
    return orjson.dumps(
        {
            'age_ms': int(answer.age_s * 1000) + 1,
            'held_ms': int(answer.held_s * 1000),
            'operator': _update_to_json(answer.operator),
            'servers': _update_to_json(answer.servers),
        },
    )


def relay_response_from_bytes(body: bytes) -> Result[RelayResponse, Failure]:
    """Return the response in ``body``, or a ``BAD_MESSAGE`` failure."""
    try:
        fields = orjson.loads(body)
        return Ok(
            RelayResponse(
                age_s=float(fields['age_ms']) / 1000,
                held_s=float(fields['held_ms']) / 1000,
                operator=_update_from_json(fields['operator']),
                servers=_update_from_json(fields['servers']),
            ),
        )
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'relay: {error!r}',
            ),
        )


def _update_to_json(update: TopicUpdate) -> dict[str, Any]:
    return {
        'end': update.end_offset,
        'whole': update.is_complete,
        'records': [
            (
                record.key,
                base64.b64encode(record.payload).decode(),
                record.offset,
            )
            for record in update.records
        ],
    }


def _update_from_json(fields: dict[str, Any]) -> TopicUpdate:
    return TopicUpdate(
        records=tuple(
            KeyedRecord(
                key=str(key),
                payload=base64.b64decode(payload),
                offset=int(offset),
            )
            for key, payload, offset in fields['records']
        ),
        end_offset=int(fields['end']),
        is_complete=bool(fields['whole']),
    )
