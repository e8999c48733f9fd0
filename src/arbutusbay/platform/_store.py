"""Call the platform's store: read, append, newest record of each key."""

import asyncio
import base64
import binascii
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.platform._names import StorePath, Topic

_LENGTH_BYTES = 4
_HEAD_BYTES = 16
_OFFSET_BYTES = 8
_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
_NOT_DONE = frozenset((429, 503, 507))
_PAGE_LIMIT = 1000


@attrs.frozen(kw_only=True)
class StoreUnavailable:
    """The call had no effect; ``detail`` says why."""

    detail: str


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """No usable answer came; a write may take effect, even later."""

    detail: str


@attrs.frozen(kw_only=True)
class RecordsExpired:
    """The store no longer holds the records that were asked for."""


@attrs.frozen(kw_only=True)
class ConditionFailed:
    """The partition ended elsewhere than the caller expected."""

    end: int


StoreFailure = (
    StoreUnavailable | OutcomeUnknown | RecordsExpired | ConditionFailed
)


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """Hold one record; ``payload`` is empty where the key was deleted."""

    key: str
    payload: bytes
    offset: int


@attrs.frozen(kw_only=True)
class ReadPage:
    """Hold records in order; ``next_offset`` is where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@attrs.frozen(kw_only=True)
class NewestRecords:
    """Hold the newest record of each key; read on from ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


class StoreClient:
    """Make the calls to the store that the VMs need."""

    def __init__(
        self,
        *,
        address: str,
        session: aiohttp.ClientSession,
    ) -> None:
        """Call the store at ``address`` (IP:PORT) through ``session``."""
        self.base_url = f'http://{address}'
        self.session = session
        self.calls = 0

    async def read(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float,
        timeout_s: float,
    ) -> Result[ReadPage, StoreFailure]:
        """Return records from ``offset``, waiting ``wait_s`` for one."""
        query = {
            'topic': topic.value,
            'part': '0',
            'from': str(offset),
            'wait_ms': str(int(wait_s * 1000)),
        }
        answer = await self._call('GET', StorePath.READ, query, b'', timeout_s)
        return answer.and_then(lambda body: _page_from_bytes(body, offset))

    async def newest(
        self,
        topic: Topic,
        *,
        timeout_s: float,
    ) -> Result[NewestRecords, StoreFailure]:
        """Return the newest record of each key of ``topic``."""
        records: list[KeyedRecord] = []
        query = {'topic': topic.value, 'part': '0'}
        end = None
        for _ in range(_PAGE_LIMIT):
            answer = await self._call(
                'GET',
                StorePath.NEWEST,
                query,
                b'',
                timeout_s,
            )
            match answer.and_then(_newest_from_bytes):
                case Err() as failed:
                    return failed
                case Ok((page, has_more)):
                    records.extend(page.records)
                    end = page.end if end is None else end
            if not has_more or not page.records:
                break
            query['after'] = page.records[-1].key
        return Ok(NewestRecords(records=tuple(records), end=end or 0))

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

        With ``expected_end`` it is appended only at that offset.
        """
        query = {'topic': topic.value, 'part': '0'}
        if expected_end is not None:
            query['at'] = str(expected_end)
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        body = len(record).to_bytes(_LENGTH_BYTES, 'big') + record
        answer = await self._call(
            'POST',
            StorePath.APPEND,
            query,
            body,
            timeout_s,
        )
        return answer.and_then(_offset_from_bytes)

    async def _call(
        self,
        method: str,
        path: StorePath,
        query: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[bytes, StoreFailure]:
        self.calls += 1
        try:
            async with self.session.request(
                method,
                f'{self.base_url}{path.value}',
                params=query,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return _result_from(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return Err(StoreUnavailable(detail=str(error)))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Err(OutcomeUnknown(detail=repr(error)))


def _result_from(status: int, body: bytes) -> Result[bytes, StoreFailure]:
    if status == _OK:
        return Ok(body)
    if status == _GONE:
        return Err(RecordsExpired())
    if status in _NOT_DONE:
        return Err(StoreUnavailable(detail=f'status {status}'))
    if status == _CONDITION_FAILED:
        return _condition_failed(body)
    return Err(OutcomeUnknown(detail=f'status {status}'))


def _condition_failed(body: bytes) -> Err[StoreFailure]:
    try:
        return Err(ConditionFailed(end=int(orjson.loads(body)['end'])))
    except (ValueError, KeyError, TypeError) as error:
        return Err(OutcomeUnknown(detail=f'status 412: {error!r}'))


def _page_from_bytes(
    body: bytes,
    offset: int,
) -> Result[ReadPage, StoreFailure]:
    if len(body) < _HEAD_BYTES:
        return Err(OutcomeUnknown(detail='read answer is too short'))
    end = int.from_bytes(body[:_OFFSET_BYTES], 'big')
    if end < offset:
        return Err(RecordsExpired())
    records: list[KeyedRecord] = []
    position = _HEAD_BYTES
    next_offset = offset
    while position < len(body):
        start = position + _LENGTH_BYTES
        position = start + int.from_bytes(body[position:start], 'big')
        if position > len(body):
            return Err(OutcomeUnknown(detail='read answer is cut'))
        record = _keyed_record(body[start:position], next_offset)
        if record is not None:
            records.append(record)
        next_offset += 1
    return Ok(
        ReadPage(records=tuple(records), next_offset=next_offset, end=end),
    )


def _keyed_record(content: bytes, offset: int) -> KeyedRecord | None:
    key_end = 1 + content[0] if content else 1
    if key_end > len(content):
        return None
    return KeyedRecord(
        key=content[1:key_end].decode(errors='replace'),
        payload=content[key_end:],
        offset=offset,
    )


def _newest_from_bytes(
    body: bytes,
) -> Result[tuple[NewestRecords, bool], StoreFailure]:
    try:
        table = orjson.loads(body)
        records = tuple(_record_from_item(entry) for entry in table['items'])
        page = NewestRecords(records=records, end=int(table['end']))
        return Ok((page, bool(table['has_more'])))
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return Err(OutcomeUnknown(detail=f'newest records: {error!r}'))


def _record_from_item(entry: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=str(entry['key']),
        payload=base64.b64decode(entry['value']),
        offset=int(entry['offset']),
    )


def _offset_from_bytes(body: bytes) -> Result[int, StoreFailure]:
    try:
        return Ok(int(orjson.loads(body)['offset']))
    except (ValueError, KeyError, TypeError) as error:
        return Err(OutcomeUnknown(detail=f'append answer: {error!r}'))
