"""Elect the control daemon that runs the controllers.

The daemons append lease records to a stream of the platform's log; the order
of the records decides which daemon holds the lease.
"""

import asyncio
import time

from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.control._shared_state import ControlState
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
_ATTEMPTS_PER_TTL = 3
_MAX_RECORDS_REPLAYED = 1000
_OFFSET_BEYOND_END = 1_000_000_000_000


class LeaseElector(Controller):
    """Acquire and renew the lease, and track its expiry on the local clock.

    The local time to live counts from before the append is sent, so the
    holder stops acting no later than the lease expires by the log's clock,
    also if its VM was suspended meanwhile.
    ``next_offset`` is the offset of the next record to read, None before the
    first read.
    """

    shared_state: ControlState
    log: LogClient

    async def prepare(self) -> None:
        """Start without a position in the stream."""
        self.next_offset: int | None = None

    async def step(self) -> None:
        """Try to hold the lease, then wait until the next attempt."""
        await self.acquire_or_renew()
        await asyncio.sleep(
            self.shared_state.settings.lease.ttl_ms / 1000 / _ATTEMPTS_PER_TTL,
        )

    async def acquire_or_renew(self) -> None:
        """Renew the lease if held, or acquire it if it is free or expired.

        Does nothing while the stream can't be read or the daemon drains.
        """
        if not await self._catch_up() or self.shared_state.draining:
            return
        if not self._should_append():
            return
        append_started_at_s = now_s()
        record = LeaseRecord(
            name=LEASE_NAME,
            holder=self.shared_state.lease_holder_name,
            ttl_ms=self.shared_state.settings.lease.ttl_ms,
        )
        appended = await self.log.append(
            LEASE_STREAM, encode_lease_record(record)
        )
        if appended.is_ok() and await self._catch_up():
            self._extend_local_expiry(append_started_at_s)

    def _should_append(self) -> bool:
        lease = self.shared_state.lease
        if lease is None or lease.holder == self.shared_state.lease_holder_name:
            return True
        return time.time() * 1000 >= lease.expires_ms

    def _store_lease(self, lease: Lease) -> None:
        if (
            self.shared_state.lease is None
            or self.shared_state.lease.fence != lease.fence
        ):
            self.shared_state.lease_first_seen_s = now_s()
        self.shared_state.lease = lease

    def _extend_local_expiry(self, append_started_at_s: float) -> None:
        lease = self.shared_state.lease
        if lease is None or lease.holder != self.shared_state.lease_holder_name:
            return
        ttl_s = self.shared_state.settings.lease.ttl_ms / 1000
        self.shared_state.own_lease_ends_at_s = append_started_at_s + ttl_s

    async def _catch_up(self) -> bool:
        if self.next_offset is None and not await self._skip_old_records():
            return False
        page = await replay_log(
            self.log,
            LEASE_STREAM,
            self.next_offset,
            self._apply_log_record,
        )
        match page:
            case Ok(next_offset):
                self.next_offset = next_offset
                return True
            case Err(failure):
                _LOG.warning('cannot read the lease stream: {}', failure.detail)
        return False

    async def _skip_old_records(self) -> bool:
        match await self.log.read(LEASE_STREAM, _OFFSET_BEYOND_END):
            case Ok(page):
                self.next_offset = max(0, page.end - _MAX_RECORDS_REPLAYED)
                return True
            case Err(failure):
                _LOG.warning(
                    'cannot read the end of the lease stream: {}',
                    failure.detail,
                )
        return False

    def _apply_log_record(self, log_record: LogRecord) -> None:
        match decode_lease_record(log_record.payload):
            case Ok(LeaseRecord(name=name) as record) if name == LEASE_NAME:
                self._store_lease(
                    apply_lease_record(
                        self.shared_state.lease,
                        log_record.offset,
                        log_record.time_ms,
                        record,
                    ),
                )
            case Err(failure):
                _LOG.error(
                    'ignored undecodable lease record: {}', failure.detail
                )
