"""Provide a typed client of the platform's append-only log service.

It speaks the platform's HTTP protocol: ``POST`` and ``GET`` on
``/v1/streams/<stream>/records``.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.responses import NoResponse, WholeResponse, fetch_whole

_APPEND_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 2.0
_PAGE_SIZES_RECORDS = (500, 25, 1)
_MAX_PAGE_BYTES = 16_777_216
_RATE_LIMIT_MAX_ATTEMPTS = 20
_RATE_LIMIT_DELAY_S = 0.03
_OK_STATUS = 200


@attrs.frozen(kw_only=True)
class LogRecord:
    """Represent one record, appended at ``time_ms`` on the log's clock."""

    offset: int
    time_ms: int
    payload: bytes


@attrs.frozen(kw_only=True)
class LogPage:
    """Hold the response to one read.

    ``oldest_offset`` is the offset of the oldest record that the log still
    holds, ``end`` the offset that the next append gets.
    """

    oldest_offset: int
    end: int
    records: list[LogRecord]


@attrs.frozen(kw_only=True)
class AppendResult:
    """Hold the offset of an appended record and its time on the log's clock."""

    offset: int
    time_ms: int


class LogClient:
    """Append to and read from streams of the platform's log."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        """Use ``session`` for calls to the service at ``url``."""
        self.session = session
        self.url = url.rstrip('/')

    async def append(
        self,
        stream: str,
        payload: bytes,
    ) -> Result[AppendResult, Failure]:
        """Append one record and return its offset.

        A rate-limited append had no effect and is retried for a short
        time before it fails with ``LOG_RATE_LIMITED``. After a failure of kind
        ``LOG_UNAVAILABLE`` the record may still be in the log.
        """
        for _ in range(_RATE_LIMIT_MAX_ATTEMPTS):
            result = await self._append_once(stream, payload)
            match result:
                case Err(Failure(kind=ErrorKind.LOG_RATE_LIMITED)):
                    await asyncio.sleep(_RATE_LIMIT_DELAY_S)
                case _:
                    break
        return result.and_then(_parse_append_response)

    async def read(
        self,
        stream: str,
        start: int,
        *,
        wait_ms: int = 0,
    ) -> Result[LogPage, Failure]:
        """Read one page of records from offset ``start``.

        The service waits up to ``wait_ms`` milliseconds for a record. The
        failure is ``LOG_UNAVAILABLE`` or ``LOG_RATE_LIMITED``. Where a page is
        too long, one of fewer records is read.
        """
        for max_records in _PAGE_SIZES_RECORDS:
            call = self.session.get(
                self._records_url(stream),
                params={
                    'from': start,
                    'wait_ms': wait_ms,
                    'limit': max_records,
                },
                timeout=aiohttp.ClientTimeout(
                    total=_READ_TIMEOUT_S + wait_ms / 1000,
                ),
            )
            fetched = await fetch_whole(call, _MAX_PAGE_BYTES)
            match fetched:
                case Err(NoResponse(is_too_long=True)):
                    continue
            break
        return _parse_response(fetched).and_then(_parse_page)

    async def _append_once(
        self,
        stream: str,
        payload: bytes,
    ) -> Result[dict[str, Any], Failure]:
        call = self.session.post(
            self._records_url(stream),
            data=payload,
            timeout=aiohttp.ClientTimeout(total=_APPEND_TIMEOUT_S),
        )
        return _parse_response(await fetch_whole(call, _MAX_PAGE_BYTES))

    def _records_url(self, stream: str) -> str:
        return f'{self.url}/v1/streams/{stream}/records'


async def replay_log(
    log: LogClient,
    stream: str,
    start: int,
    apply_record: Callable[[LogRecord], None],
) -> Result[int, Failure]:
    """Pass each record from ``start`` to the log's end to ``apply_record``.

    Return the offset at which the next read starts, or the failure of a read.
    The records read before a failure were passed already and are passed again
    by the next call, so ``apply_record`` must accept a record twice.
    """
    next_offset = start
    while True:
        match await log.read(stream, next_offset):
            case Err() as failed:
                return failed
            case Ok(page):
                next_offset = max(next_offset, page.oldest_offset)
        for record in page.records:
            apply_record(record)
            next_offset = record.offset + 1
        if next_offset >= page.end or not page.records:
            return Ok(next_offset)


def _parse_response(
    fetched: Result[WholeResponse, NoResponse],
) -> Result[dict[str, Any], Failure]:
    match fetched:
        case Err(missing):
            return _unavailable(f'log service call failed: {missing.detail}')
        case Ok(response):
            pass
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return _failure(
            ErrorKind.LOG_RATE_LIMITED,
            'log service refused the call: rate limit reached',
        )
    if response.status != _OK_STATUS:
        return _unavailable(f'log service returned status {response.status}')
    try:
        return Ok(orjson.loads(response.body))
    except ValueError:
        return _unavailable('log service returned a body that is not JSON')


def _parse_append_response(
    fields: dict[str, Any],
) -> Result[AppendResult, Failure]:
    try:
        return Ok(
            AppendResult(
                offset=int(fields['offset']),
                time_ms=int(fields['time_ms']),
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        return _unavailable(
            f'log service returned a malformed append response: {error!r}'
        )


def _parse_page(fields: dict[str, Any]) -> Result[LogPage, Failure]:
    try:
        return Ok(
            LogPage(
                oldest_offset=int(fields['first']),
                end=int(fields['end']),
                records=[_parse_record(record) for record in fields['records']],
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return _unavailable(f'log service returned a malformed page: {error!r}')


def _parse_record(fields: dict[str, Any]) -> LogRecord:
    return LogRecord(
        offset=int(fields['offset']),
        time_ms=int(fields['time_ms']),
        payload=fields['payload'].encode(),
    )


def _unavailable(detail: str) -> Err[Failure]:
    return _failure(ErrorKind.LOG_UNAVAILABLE, detail)


def _failure(kind: ErrorKind, detail: str) -> Err[Failure]:
    return Err(Failure(kind=kind, detail=detail))
