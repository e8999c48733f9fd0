"""Compete for the controllers' lease through the platform's log."""

import asyncio
import time

from result import Err, Ok

from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.controller import Controller
from arbutusbay.hosting import LogClient, LogRecord, replay_log
from arbutusbay.logs import get_logger
from arbutusbay.state import (
    Lease,
    LeaseRecord,
    apply_lease_record,
    decode_lease_record,
    encode_lease_record,
)

LEASE_STREAM = 'leases'
LEASE_NAME = 'controllers'
_LOG = get_logger('lease')
_STEPS_PER_TTL = 3
_TAIL_RECORDS = 1000
_BEYOND_END = 1_000_000_000_000


class LeaseHolder(Controller):
    """Acquire and renew the lease; hold it by the local clock.

    The local term starts before the append is sent, so that it never ends
    later than the term that the log's clock gives.
    """

    board: ControlBoard
    log: LogClient

    async def prepare(self) -> None:
        """Start before the first read."""
        self.next_offset: int | None = None

    async def step(self) -> None:
        """Compete once and wait for a part of the term."""
        await self.compete()
        await asyncio.sleep(
            self.board.settings.lease.ttl_ms / 1000 / _STEPS_PER_TTL,
        )

    async def compete(self) -> None:
        """Read the stream, then renew or acquire if it is due."""
        if not await self._catch_up() or self.board.draining:
            return
        if not self._is_due():
            return
        asked_at_s = time.monotonic()
        record = LeaseRecord(
            name=LEASE_NAME,
            holder=self.board.lease_holder_name,
            ttl_ms=self.board.settings.lease.ttl_ms,
        )
        appended = await self.log.append(
            LEASE_STREAM, encode_lease_record(record)
        )
        if appended.is_ok() and await self._catch_up():
            self._take_term(asked_at_s)

    def _is_due(self) -> bool:
        lease = self.board.lease
        if lease is None or lease.holder == self.board.lease_holder_name:
            return True
        return time.time() * 1000 >= lease.expires_ms

    def _put_lease(self, lease: Lease) -> None:
        if self.board.lease is None or self.board.lease.fence != lease.fence:
            self.board.lease_since_s = time.monotonic()
        self.board.lease = lease

    def _take_term(self, asked_at_s: float) -> None:
        lease = self.board.lease
        if lease is None or lease.holder != self.board.lease_holder_name:
            return
        ttl_s = self.board.settings.lease.ttl_ms / 1000
        self.board.lease_valid_until_s = asked_at_s + ttl_s

    async def _catch_up(self) -> bool:
        if self.next_offset is None and not await self._skip_old_records():
            return False
        page = await replay_log(
            self.log,
            LEASE_STREAM,
            self.next_offset,
            self._fold,
        )
        match page:
            case Ok(next_offset):
                self.next_offset = next_offset
                return True
            case Err(failure):
                _LOG.warning('cannot read: {}', failure.detail)
        return False

    async def _skip_old_records(self) -> bool:
        match await self.log.read(LEASE_STREAM, _BEYOND_END):
            case Ok(page):
                self.next_offset = max(0, page.end - _TAIL_RECORDS)
                return True
            case Err(failure):
                _LOG.warning('cannot read: {}', failure.detail)
        return False

    def _fold(self, log_record: LogRecord) -> None:
        match decode_lease_record(log_record.payload):
            case Ok(LeaseRecord(name=name) as record) if name == LEASE_NAME:
                self._put_lease(
                    apply_lease_record(
                        self.board.lease,
                        log_record.offset,
                        log_record.time_ms,
                        record,
                    ),
                )
            case Err(failure):
                _LOG.error('ignored: {}', failure.detail)
