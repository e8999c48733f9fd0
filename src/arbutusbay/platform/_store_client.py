"""Call the platform's store, which keeps a log of keyed records per topic.

The calls read records from an offset, read the newest record of each key
and append a record. Only partition 0 of a topic is used.

The store may be restored from a copy. Its era then rises by one, offsets are
assigned again, and records written since the copy are lost. An offset is
therefore only meaningful together with its era.
"""

import base64
import binascii
import re
from collections.abc import Collection, Mapping, Sequence
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.platform._protocol_names import (
    HeaderName,
    StoreEndpoint,
    Topic,
)
from arbutusbay.responses import NoResponse, fetch_whole

_RECORD_LENGTH_BYTES = 4
_PAGE_HEADER_BYTES = 16
_OFFSET_BYTES = 8
_OK_STATUS = 200
_GONE_STATUS = 410
_CONDITION_FAILED_STATUS = 412
_NO_EFFECT_STATUSES = frozenset((429, 503, 507))
_MAX_PAGES = 1000
_MAX_KEY_BYTES = 255
_MAX_RESPONSE_BYTES = 33_554_432
_UNKNOWN_ERA = 0
# An era and an offset make up a fencing token of 63 bits.
_ERA_PATTERN = re.compile('[0-9]{1,9}')


@attrs.frozen(kw_only=True)
class StoreUnavailable:
    """Report that a call had no effect; ``detail`` has the reason."""

    detail: str


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """Report that no valid response arrived.

    An append may have taken effect or may still do so.
    """

    detail: str


@attrs.frozen(kw_only=True)
class RecordsExpired:
    """Report that the requested offset can't be read.

    The store has deleted its record, or the topic ends before it.
    """


@attrs.frozen(kw_only=True)
class ConditionFailed:
    """Report that a conditional append failed.

    ``end`` is the actual end of the topic.
    """

    end: int


StoreFailure = (
    StoreUnavailable | OutcomeUnknown | RecordsExpired | ConditionFailed
)


@attrs.frozen(kw_only=True)
class StorePosition:
    """Locate a record, or the end of a topic, in one era of the store."""

    era: int
    offset: int


@attrs.frozen(kw_only=True)
class StoreResponse:
    """Hold the body of a successful call and the era that it names.

    ``era`` is 0 if the store names none.
    """

    body: bytes
    era: int


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """Represent a record; ``payload`` is empty if the key was deleted."""

    key: str
    payload: bytes
    offset: int


@attrs.frozen(kw_only=True)
class ReadPage:
    """Hold records in the order of their offsets, all of one ``era``.

    ``next_offset`` is where the next read starts, ``end`` the offset that
    the next append gets.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    era: int = _UNKNOWN_ERA


@attrs.frozen(kw_only=True)
class LatestRecords:
    """Hold the newest record of each key; later reads start at ``end``.

    All records, and ``end``, are of one ``era``.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = _UNKNOWN_ERA


class StoreClient:
    """Call the store over HTTP; ``call_count`` counts the calls made."""

    def __init__(
        self,
        *,
        address: str,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use ``session`` for calls to the store at ``address`` (IP:PORT)."""
        self.base_url = f'http://{address}'
        self.session = session
        self.call_count = 0

    async def read(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float,
        timeout_s: float,
    ) -> Result[ReadPage, StoreFailure]:
        """Return the records from ``offset`` on.

        The store waits up to ``wait_s`` seconds for a record; the whole
        call takes at most ``timeout_s`` seconds.
        """
        query = {
            'topic': topic.value,
            'part': '0',
            'from': str(offset),
            'wait_ms': str(int(wait_s * 1000)),
        }
        result = await self._call(
            'GET', StoreEndpoint.READ, query, b'', timeout_s
        )
        return result.and_then(lambda response: _parse_page(response, offset))

    async def read_latest(
        self,
        topic: Topic,
        *,
        timeout_s: float,
    ) -> Result[LatestRecords, StoreFailure]:
        """Return the newest record of each key of ``topic``.

        The ``end`` of the result is that of the first page, so that a read
        from there misses no record written during the later pages. The call
        for each page takes at most ``timeout_s`` seconds. Fails if the era
        changes between pages.
        """
        query = {'topic': topic.value, 'part': '0'}
        pages: list[LatestRecords] = []
        has_more = True
        while has_more:
            if len(pages) >= _MAX_PAGES:
                return _unknown(f'more than {_MAX_PAGES} pages')
            result = await self._call(
                'GET',
                StoreEndpoint.NEWEST,
                query,
                b'',
                timeout_s,
            )
            match result.and_then(_parse_newest):
                case Err() as failed:
                    return failed
                case Ok((page, has_more)):
                    pages.append(page)
            if has_more and not page.records:
                return _unknown('a page without records is not the last one')
            if has_more:
                query['after'] = page.records[-1].key
        return _join_pages(pages)

    async def append(
        self,
        topic: Topic,
        key: str,
        payload: bytes,
        *,
        timeout_s: float,
        expected_end: int | None = None,
    ) -> Result[StorePosition, StoreFailure]:
        """Append one keyed record and return its position.

        With ``expected_end`` the record is appended only at that offset;
        otherwise the call fails with ``ConditionFailed``. The store compares
        offsets only, so the caller has to compare the era as well. The call
        takes at most ``timeout_s`` seconds.
        """
        return await self._append_all(
            topic, {key: payload}, timeout_s, expected_end
        )

    async def delete(
        self,
        topic: Topic,
        keys: Collection[str],
        *,
        timeout_s: float,
        expected_end: int | None = None,
    ) -> Result[StorePosition, StoreFailure]:
        """Delete ``keys``, all or none; see ``append``."""
        return await self._append_all(
            topic, dict.fromkeys(keys, b''), timeout_s, expected_end
        )

    async def _append_all(
        self,
        topic: Topic,
        records: Mapping[str, bytes],
        timeout_s: float,
        expected_end: int | None,
    ) -> Result[StorePosition, StoreFailure]:
        query = {'topic': topic.value, 'part': '0'}
        if expected_end is not None:
            query['at'] = str(expected_end)
        body = b''
        for key, payload in records.items():
            name = key.encode()
            if len(name) > _MAX_KEY_BYTES:
                return Err(
                    StoreUnavailable(
                        detail=f'key exceeds {_MAX_KEY_BYTES} bytes'
                    )
                )
            record = bytes((len(name),)) + name + payload
            body += len(record).to_bytes(_RECORD_LENGTH_BYTES, 'big') + record
        result = await self._call(
            'POST',
            StoreEndpoint.APPEND,
            query,
            body,
            timeout_s,
        )
        return result.and_then(_parse_position)

    async def _call(
        self,
        method: str,
        path: StoreEndpoint,
        query: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[StoreResponse, StoreFailure]:
        self.call_count += 1
        call = self.session.request(
            method,
            f'{self.base_url}{path.value}',
            params=query,
            data=body or None,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        )
        match await fetch_whole(call, _MAX_RESPONSE_BYTES):
            case Err(NoResponse(is_sent=False, detail=detail)):
                return Err(StoreUnavailable(detail=detail))
            case Err(missing):
                return Err(OutcomeUnknown(detail=missing.detail))
            case Ok(response):
                return _result_from_response(
                    response.status,
                    StoreResponse(
                        body=response.body,
                        era=_parse_era(response.headers),
                    ),
                )


def _result_from_response(
    status: int, response: StoreResponse
) -> Result[StoreResponse, StoreFailure]:
    if status == _OK_STATUS:
        return Ok(response)
    if status == _GONE_STATUS:
        return Err(RecordsExpired())
    if status in _NO_EFFECT_STATUSES:
        return Err(StoreUnavailable(detail=f'status {status}'))
    if status == _CONDITION_FAILED_STATUS:
        return _parse_condition_failure(response.body)
    return Err(OutcomeUnknown(detail=f'status {status}'))


def _parse_condition_failure(body: bytes) -> Err[StoreFailure]:
    try:
        return Err(ConditionFailed(end=int(orjson.loads(body)['end'])))
    except (ValueError, KeyError, TypeError) as error:
        return Err(
            OutcomeUnknown(detail=f'status 412 with malformed body: {error!r}')
        )


def _parse_era(headers: Mapping[str, str]) -> int:
    text = headers.get(HeaderName.STORE_ERA, '')
    return int(text) if _ERA_PATTERN.fullmatch(text) else _UNKNOWN_ERA


def _unknown(detail: str) -> Err[StoreFailure]:
    return Err(OutcomeUnknown(detail=detail))


def _join_pages(
    pages: Sequence[LatestRecords],
) -> Result[LatestRecords, StoreFailure]:
    first = pages[0]
    if any(page.era != first.era for page in pages):
        return _unknown('the store was restored between two pages')
    records = tuple(record for page in pages for record in page.records)
    return Ok(attrs.evolve(first, records=records))


def _parse_page(
    response: StoreResponse,
    offset: int,
) -> Result[ReadPage, StoreFailure]:
    body = response.body
    if len(body) < _PAGE_HEADER_BYTES:
        return Err(
            OutcomeUnknown(detail='read response is shorter than its header')
        )
    end = int.from_bytes(body[:_OFFSET_BYTES], 'big')
    if end < offset:
        return Err(RecordsExpired())
    records: list[KeyedRecord] = []
    position = _PAGE_HEADER_BYTES
    next_offset = offset
    while position < len(body):
        start = position + _RECORD_LENGTH_BYTES
        position = start + int.from_bytes(body[position:start], 'big')
        if position > len(body):
            return Err(
                OutcomeUnknown(detail='read response ends within a record')
            )
        record = _parse_record(body[start:position], next_offset)
        if record is not None:
            records.append(record)
        next_offset += 1
    return Ok(
        ReadPage(
            records=tuple(records),
            next_offset=next_offset,
            end=end,
            era=response.era,
        ),
    )


def _parse_record(content: bytes, offset: int) -> KeyedRecord | None:
    key_end = 1 + content[0] if content else 1
    if key_end > len(content):
        return None
    return KeyedRecord(
        key=content[1:key_end].decode(errors='replace'),
        payload=content[key_end:],
        offset=offset,
    )


def _parse_newest(
    response: StoreResponse,
) -> Result[tuple[LatestRecords, bool], StoreFailure]:
    try:
        fields = orjson.loads(response.body)
        records = tuple(
            _parse_newest_record(entry) for entry in fields['items']
        )
        page = LatestRecords(
            records=records, end=int(fields['end']), era=response.era
        )
        return Ok((page, bool(fields['has_more'])))
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return Err(
            OutcomeUnknown(
                detail=f'malformed response with newest records: {error!r}'
            )
        )


def _parse_newest_record(entry: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=str(entry['key']),
        payload=base64.b64decode(entry['value']),
        offset=int(entry['offset']),
    )


def _parse_position(
    response: StoreResponse,
) -> Result[StorePosition, StoreFailure]:
    try:
        offset = int(orjson.loads(response.body)['offset'])
    except (ValueError, KeyError, TypeError) as error:
        return _unknown(f'malformed append response: {error!r}')
    return Ok(StorePosition(era=response.era, offset=offset))
