"""Encode what a VM passes on of the store's topics to another VM."""

import base64
import binascii
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.platform import KeyedRecord


@attrs.frozen(kw_only=True)
class TopicNews:
    """Hold records of one topic since an offset, and where it ends.

    ``is_whole`` means that no other key exists.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_whole: bool


@attrs.frozen(kw_only=True)
class RelayAnswer:
    """Hold what changed, and how old it was when the answer was sent.

    ``held_s`` is how long the call was kept waiting.
    """

    age_s: float
    held_s: float
    operator: TopicNews
    servers: TopicNews


def relay_answer_to_bytes(answer: RelayAnswer) -> bytes:
    """Return ``answer`` as JSON."""
    return orjson.dumps(
        {
            'age_ms': int(answer.age_s * 1000) + 1,
            'held_ms': int(answer.held_s * 1000),
            'operator': _news_to_json(answer.operator),
            'servers': _news_to_json(answer.servers),
        },
    )


def relay_answer_from_bytes(body: bytes) -> Result[RelayAnswer, Failure]:
    """Return the answer in ``body``, or ``BAD_MESSAGE``."""
    try:
        table = orjson.loads(body)
        return Ok(
            RelayAnswer(
                age_s=float(table['age_ms']) / 1000,
                held_s=float(table['held_ms']) / 1000,
                operator=_news_from_json(table['operator']),
                servers=_news_from_json(table['servers']),
            ),
        )
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'relay: {error!r}'),
        )


def _news_to_json(news: TopicNews) -> dict[str, Any]:
    return {
        'end': news.end,
        'whole': news.is_whole,
        'records': [
            (
                record.key,
                base64.b64encode(record.payload).decode(),
                record.offset,
            )
            for record in news.records
        ],
    }


def _news_from_json(table: dict[str, Any]) -> TopicNews:
    return TopicNews(
        records=tuple(
            KeyedRecord(
                key=str(key),
                payload=base64.b64decode(payload),
                offset=int(offset),
            )
            for key, payload, offset in table['records']
        ),
        end=int(table['end']),
        is_whole=bool(table['whole']),
    )
