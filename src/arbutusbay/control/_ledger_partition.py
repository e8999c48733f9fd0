"""Hold one partition of the idempotency ledger.

Records that arrive during an append are written together by the next one
(group commit).
"""

import asyncio
from collections import OrderedDict

import attrs
from result import Err, Ok, Result

from arbutusbay.coordination import ledger_stream_name
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.hosting import LogClient, LogRecord, replay_log
from arbutusbay.logs import get_logger
from arbutusbay.state import (
    EMPTY_KEY_STATE,
    KeyState,
    LedgerRecord,
    apply_ledger_record,
    decode_ledger_batch,
    encode_ledger_batch,
)

_LOG = get_logger('ledger')
_MAX_BATCH_RECORDS = 200


@attrs.define(kw_only=True)
class LedgerEntry:
    """Hold the state of one key.

    ``first_record_ms`` is the append timestamp of the key's first record.
    """

    entry: KeyState
    first_record_ms: int


@attrs.define(kw_only=True, eq=False)
class PendingRecord:
    """Hold a record that waits for its group commit.

    ``done`` resolves to the state of the key or to the failure of the append.
    """

    record: LedgerRecord
    done: asyncio.Future[Result[KeyState, Failure]]


class LedgerPartition:
    """Hold the keys of one ledger stream and append records to it.

    Several daemons may use the same partition at the same time. The result
    of a commit is read only after the record was applied in log order, so the
    order of the log alone decides between conflicting records.
    """

    def __init__(
        self,
        *,
        number: int,
        log: LogClient,
        key_retention_ms: int,
    ) -> None:
        """Create an empty partition that keeps keys for ``key_retention_ms``.

        The retention counts from the first record of a key, in milliseconds
        on the log's clock.
        """
        self.stream = ledger_stream_name(number)
        self.log = log
        self.key_retention_ms = key_retention_ms
        self.next_offset = 0
        self.entries: OrderedDict[str, LedgerEntry] = OrderedDict()
        self.pending: list[PendingRecord] = []
        self.commit_task: asyncio.Task[None] | None = None

    async def commit(
        self,
        record: LedgerRecord,
    ) -> Result[KeyState, Failure]:
        """Append ``record`` and return the state of its key.

        Fails with ``LOG_UNAVAILABLE``, in which case the record may still be
        in the log, or with ``LOG_RATE_LIMITED``.
        """
        loop = asyncio.get_running_loop()
        waiting = PendingRecord(record=record, done=loop.create_future())
        self.pending.append(waiting)
        if self.commit_task is None or self.commit_task.done():
            self.commit_task = loop.create_task(self._commit_pending())
        return await waiting.done

    async def look_up(self, key: str) -> Result[KeyState, Failure]:
        """Read to the end of the log and return the state of ``key``.

        Returns the failure of the read if the log can't be read.
        """
        caught_up = await self.catch_up()
        return caught_up.map(lambda _: self.state_of_key(key))

    async def catch_up(self) -> Result[None, Failure]:
        """Apply every record up to the end of the log.

        Returns the failure of the read if the log can't be read.
        """
        read = await replay_log(
            self.log,
            self.stream,
            self.next_offset,
            self.apply_log_record,
        )
        match read:
            case Err() as failed:
                return failed
            case Ok(next_offset):
                self.next_offset = max(self.next_offset, next_offset)
        return Ok(None)

    def apply_log_record(self, log_record: LogRecord) -> None:
        """Apply one log record; skip it if it was already applied."""
        if log_record.offset < self.next_offset:
            return
        self.next_offset = log_record.offset + 1
        self._remove_keys_before(log_record.time_ms - self.key_retention_ms)
        match decode_ledger_batch(log_record.payload):
            case Ok(records):
                for record in records:
                    self._apply_record(record, log_record.time_ms)
            case Err(failure):
                _LOG.error(
                    'ignored undecodable record of {}: {}',
                    self.stream,
                    failure.detail,
                )

    def state_of_key(self, key: str) -> KeyState:
        """Return the state of ``key`` after the records applied so far."""
        stored = self.entries.get(key)
        return stored.entry if stored else EMPTY_KEY_STATE

    def _apply_record(self, record: LedgerRecord, time_ms: int) -> None:
        stored = self.entries.get(record.key)
        if stored is None:
            stored = LedgerEntry(entry=EMPTY_KEY_STATE, first_record_ms=time_ms)
            self.entries[record.key] = stored
        stored.entry = apply_ledger_record(stored.entry, record)

    def _remove_keys_before(self, oldest_ms: int) -> None:
        while self.entries:
            key, stored = next(iter(self.entries.items()))
            if stored.first_record_ms >= oldest_ms:
                return
            self.entries.pop(key)

    async def _commit_pending(self) -> None:
        while self.pending:
            batch = self.pending[:_MAX_BATCH_RECORDS]
            self.pending = self.pending[_MAX_BATCH_RECORDS:]
            result = await self._commit_batch(batch)
            for waiting in batch:
                self._resolve(waiting, result)

    def _resolve(
        self,
        waiting: PendingRecord,
        result: Result[None, Failure],
    ) -> None:
        if waiting.done.done():
            return
        match result:
            case Err():
                waiting.done.set_result(result)
            case Ok():
                entry = self.state_of_key(waiting.record.key)
                waiting.done.set_result(Ok(entry))

    async def _commit_batch(
        self,
        batch: list[PendingRecord],
    ) -> Result[None, Failure]:
        payload = encode_ledger_batch(waiting.record for waiting in batch)
        match await self.log.append(self.stream, payload):
            case Err() as failed:
                return failed
            case Ok(appended):
                pass
        if appended.offset == self.next_offset:
            self.apply_log_record(
                LogRecord(
                    offset=appended.offset,
                    time_ms=appended.time_ms,
                    payload=payload,
                ),
            )
            return Ok(None)
        caught_up = await self.catch_up()
        if caught_up.is_ok() and self.next_offset <= appended.offset:
            return Err(
                Failure(
                    kind=ErrorKind.LOG_UNAVAILABLE,
                    detail='the appended record is not readable yet',
                ),
            )
        return caught_up
