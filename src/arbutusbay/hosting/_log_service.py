"""Adapt the platform's append-only log service to typed calls.

Source: the platform's HTTP protocol, ``POST`` and ``GET`` on
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

_APPEND_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 2.0
_PAGE_RECORDS = 500
_RATE_TRIES = 20
_RATE_PAUSE_S = 0.03
_OK_STATUS = 200


@attrs.frozen(kw_only=True)
class LogRecord:
    """Hold one record; ``time_ms`` is the log's clock at the append."""

    offset: int
    time_ms: int
    payload: bytes


@attrs.frozen(kw_only=True)
class LogPage:
    """Hold one read: records, oldest offset kept, and the log's end.

    ``end`` is the offset that the next append gets.
    """

    first: int
    end: int
    records: list[LogRecord]


@attrs.frozen(kw_only=True)
class Appended:
    """Confirm an append: its offset and the log's time."""

    offset: int
    time_ms: int


class LogService:
    """Append to and read from streams of the platform's log."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        """Use ``session`` for calls to the service at ``url``."""
        self.session = session
        self.url = url.rstrip('/')

    async def append(
        self,
        stream: str,
        payload: bytes,
    ) -> Result[Appended, Failure]:
        """Append one record; on an error it may still be in the log.

        While the service limits the rate, the append is repeated for a
        while; such an answer means that nothing was appended.
        """
        for _ in range(_RATE_TRIES):
            answer = await self._append_once(stream, payload)
            match answer:
                case Err(Failure(kind=ErrorKind.LOG_RATE_LIMITED)):
                    await asyncio.sleep(_RATE_PAUSE_S)
                case _:
                    break
        return answer.and_then(_appended_from_json)

    async def read(
        self,
        stream: str,
        start: int,
        *,
        wait_ms: int = 0,
    ) -> Result[LogPage, Failure]:
        """Read a page from ``start``, waiting ``wait_ms`` for a record."""
        call = self.session.get(
            self._records_url(stream),
            params={
                'from': start,
                'wait_ms': wait_ms,
                'limit': _PAGE_RECORDS,
            },
            timeout=aiohttp.ClientTimeout(
                total=_READ_TIMEOUT_S + wait_ms / 1000,
            ),
        )
        answer = await _call(call)
        return answer.and_then(_page_from_json)

    async def _append_once(
        self,
        stream: str,
        payload: bytes,
    ) -> Result[dict[str, Any], Failure]:
        return await _call(
            self.session.post(
                self._records_url(stream),
                data=payload,
                timeout=aiohttp.ClientTimeout(total=_APPEND_TIMEOUT_S),
            ),
        )

    def _records_url(self, stream: str) -> str:
        return f'{self.url}/v1/streams/{stream}/records'


async def read_to_end(
    log: LogService,
    stream: str,
    start: int,
    fold: Callable[[LogRecord], None],
) -> Result[int, Failure]:
    """Fold every record from ``start`` to the end; return the next offset.

    Records before a failure are folded; folding must tolerate repeats.
    """
    next_offset = start
    while True:
        match await log.read(stream, next_offset):
            case Err() as failed:
                return failed
            case Ok(page):
                next_offset = max(next_offset, page.first)
        for record in page.records:
            fold(record)
            next_offset = record.offset + 1
        if next_offset >= page.end or not page.records:
            return Ok(next_offset)


async def _call(call: Any) -> Result[dict[str, Any], Failure]:
    try:
        async with call as response:
            body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _unavailable(f'log service: {type(error).__name__}')
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return _failed(
            ErrorKind.LOG_RATE_LIMITED, 'log service limits the rate'
        )
    if response.status != _OK_STATUS:
        return _unavailable(f'log service answered {response.status}')
    try:
        return Ok(orjson.loads(body))
    except ValueError:
        return _unavailable('log service: answer is not JSON')


def _appended_from_json(fields: dict[str, Any]) -> Result[Appended, Failure]:
    try:
        return Ok(
            Appended(
                offset=int(fields['offset']),
                time_ms=int(fields['time_ms']),
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        return _unavailable(f'log service: bad append answer {error!r}')


def _page_from_json(fields: dict[str, Any]) -> Result[LogPage, Failure]:
    try:
        return Ok(
            LogPage(
                first=int(fields['first']),
                end=int(fields['end']),
                records=[
                    _log_record_from_json(record)
                    for record in fields['records']
                ],
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return _unavailable(f'log service: bad page {error!r}')


def _log_record_from_json(fields: dict[str, Any]) -> LogRecord:
    return LogRecord(
        offset=int(fields['offset']),
        time_ms=int(fields['time_ms']),
        payload=fields['payload'].encode(),
    )


def _unavailable(detail: str) -> Err[Failure]:
    return _failed(ErrorKind.LOG_UNAVAILABLE, detail)


def _failed(kind: ErrorKind, detail: str) -> Err[Failure]:
    return Err(Failure(kind=kind, detail=detail))
