"""Call the platform's store, which keeps a log of keyed records per topic.

The calls read records from an offset, read the newest record of each key
and append a record. Only partition 0 of a topic is used.
"""

import asyncio
import base64
import binascii
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.platform._protocol_names import StoreEndpoint, Topic

_RECORD_LENGTH_BYTES = 4
_PAGE_HEADER_BYTES = 16
_OFFSET_BYTES = 8
_OK_STATUS = 200
_GONE_STATUS = 410
_CONDITION_FAILED_STATUS = 412
_NO_EFFECT_STATUSES = frozenset((429, 503, 507))
_MAX_PAGES = 1000


@attrs.frozen(kw_only=True)
class StoreUnavailable:
    """Report that a call had no effect; ``detail`` says why."""

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
class KeyedRecord:
    """Represent a record; ``payload`` is empty if the key was deleted."""

    key: str
    payload: bytes
    offset: int


@attrs.frozen(kw_only=True)
class ReadPage:
    """Hold records in the order of their offsets.

    ``next_offset`` is where the next read starts, ``end`` the offset that
    the next append gets.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@attrs.frozen(kw_only=True)
class LatestRecords:
    """Hold the newest record of each key; later reads start at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


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
        return result.and_then(lambda body: _parse_page(body, offset))

    async def read_latest(
        self,
        topic: Topic,
        *,
        timeout_s: float,
    ) -> Result[LatestRecords, StoreFailure]:
        """Return the newest record of each key of ``topic``.

        The ``end`` of the result is that of the first page, so that a read
        from there misses no record written during the later pages. The call
        for each page takes at most ``timeout_s`` seconds.
        """
        records: list[KeyedRecord] = []
        query = {'topic': topic.value, 'part': '0'}
        end = None
        for _ in range(_MAX_PAGES):
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
                    records.extend(page.records)
                    end = page.end if end is None else end
            if not has_more or not page.records:
                break
            query['after'] = page.records[-1].key
        return Ok(LatestRecords(records=tuple(records), end=end or 0))

    async def append(
        self,
        topic: Topic,
        key: str,
        payload: bytes,
        *,
        timeout_s: float,
        expected_end: int | None = None,
    ) -> Result[int, StoreFailure]:
        """Append one keyed record and return its offset.

        With ``expected_end`` the record is appended only at that offset;
        otherwise the call fails with ``ConditionFailed``. The call takes at
        most ``timeout_s`` seconds.
        """
        query = {'topic': topic.value, 'part': '0'}
        if expected_end is not None:
            query['at'] = str(expected_end)
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        body = len(record).to_bytes(_RECORD_LENGTH_BYTES, 'big') + record
        result = await self._call(
            'POST',
            StoreEndpoint.APPEND,
            query,
            body,
            timeout_s,
        )
        return result.and_then(_parse_offset)

    async def _call(
        self,
        method: str,
        path: StoreEndpoint,
        query: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[bytes, StoreFailure]:
        self.call_count += 1
        try:
            async with self.session.request(
                method,
                f'{self.base_url}{path.value}',
                params=query,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return _result_from_response(
                    response.status, await response.read()
                )
        except aiohttp.ClientConnectorError as error:
            return Err(StoreUnavailable(detail=str(error)))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Err(OutcomeUnknown(detail=repr(error)))


def _result_from_response(
    status: int, body: bytes
) -> Result[bytes, StoreFailure]:
    if status == _OK_STATUS:
        return Ok(body)
    if status == _GONE_STATUS:
        return Err(RecordsExpired())
    if status in _NO_EFFECT_STATUSES:
        return Err(StoreUnavailable(detail=f'status {status}'))
    if status == _CONDITION_FAILED_STATUS:
        return _parse_condition_failure(body)
    return Err(OutcomeUnknown(detail=f'status {status}'))


def _parse_condition_failure(body: bytes) -> Err[StoreFailure]:
    try:
        return Err(ConditionFailed(end=int(orjson.loads(body)['end'])))
    except (ValueError, KeyError, TypeError) as error:
        return Err(
            OutcomeUnknown(detail=f'status 412 with malformed body: {error!r}')
        )


def _parse_page(
    body: bytes,
    offset: int,
) -> Result[ReadPage, StoreFailure]:
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
        ReadPage(records=tuple(records), next_offset=next_offset, end=end),
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
    body: bytes,
) -> Result[tuple[LatestRecords, bool], StoreFailure]:
    try:
        fields = orjson.loads(body)
        records = tuple(
            _parse_newest_record(entry) for entry in fields['items']
        )
        page = LatestRecords(records=records, end=int(fields['end']))
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


def _parse_offset(body: bytes) -> Result[int, StoreFailure]:
    try:
        return Ok(int(orjson.loads(body)['offset']))
    except (ValueError, KeyError, TypeError) as error:
        return Err(
            OutcomeUnknown(detail=f'malformed append response: {error!r}')
        )
