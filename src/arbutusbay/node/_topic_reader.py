"""Read topics from the store, with backoff while it is unreachable."""

import asyncio
from collections.abc import Iterable

from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._topics import TopicState
from arbutusbay.platform import (
    KeyedRecord,
    OutcomeUnknown,
    RecordsExpired,
    StoreClient,
    StoreFailure,
    StorePosition,
)

_LOG = get_logger('store')
_READ_TIMEOUT_MARGIN_S = 0.7
_NEWEST_TIMEOUT_S = 1.5
_BASE_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.8


class TopicReader:
    """Read one topic: first the newest record per key, then new records.

    ``wait_s`` is the long-poll timeout of a read, ``read_interval_s`` the delay
    after a successful read, both in seconds.
    """

    def __init__(
        self,
        *,
        topic_state: TopicState,
        store: StoreClient,
        wait_s: float,
        read_interval_s: float,
    ) -> None:
        """Read from ``store`` and apply the records to ``topic_state``."""
        self.topic_state = topic_state
        self.node_state = topic_state.node_state
        self.store = store
        self.wait_s = wait_s
        self.read_interval_s = read_interval_s
        self.must_read_newest = False
        self.has_more_pages = False
        self.failures = 0
        self.unreachable_since_s: float | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if await self.step():
                await asyncio.sleep(self.pause_s())
            else:
                await asyncio.sleep(self._backoff_s())

    async def step(self) -> bool:
        """Read once and return whether the store responded."""
        sent_s = now_s()
        failure = await self._read()
        if failure is not None:
            self._record_failure(failure, sent_s)
            return False
        self._record_success()
        if self.is_complete() and not self.node_state.lacks_past():
            self.topic_state.record_read(sent_s)
        return True

    def pause_s(self) -> float:
        """Return the delay after a successful read, in seconds."""
        return self.read_interval_s if self.is_complete() else 0

    def is_complete(self) -> bool:
        """Return whether all records written before the last read are known.

        They are not if records expired or the page ended before the topic.
        """
        return not self.must_read_newest and not self.has_more_pages

    async def _read(self) -> StoreFailure | None:
        known_end = self.topic_state.end
        if known_end is None or self.must_read_newest:
            return await self._read_newest()
        page = await self.store.read(
            self.topic_state.topic,
            known_end.offset,
            wait_s=self.wait_s,
            timeout_s=self.wait_s + _READ_TIMEOUT_MARGIN_S,
        )
        match page:
            case Err(RecordsExpired()):
                self.node_state.freshness.record_store_response()
                _LOG.info(
                    'records expired; reading the newest record of each key',
                    fields={
                        'topic': self.topic_state.topic.value,
                        'offset': known_end.offset,
                    },
                )
                self.must_read_newest = True
                return None
            case Err(failure):
                return failure
            case Ok(found):
                end = StorePosition(era=found.era, offset=found.next_offset)
        self.has_more_pages = found.next_offset < found.end
        # Offsets of a restored store lie elsewhere than before.
        self.must_read_newest = not self._apply(
            found.records, end, is_complete=False
        )
        return None

    async def _read_newest(self) -> StoreFailure | None:
        newest = await self.store.read_latest(
            self.topic_state.topic,
            timeout_s=_NEWEST_TIMEOUT_S,
        )
        match newest:
            case Err(failure):
                return failure
            case Ok(found):
                end = StorePosition(era=found.era, offset=found.end)
        if not self._apply(found.records, end, is_complete=True):
            return OutcomeUnknown(detail=f'records of earlier era {found.era}')
        self.must_read_newest = False
        self.has_more_pages = False
        return None

    def _apply(
        self,
        records: Iterable[KeyedRecord],
        end: StorePosition,
        *,
        is_complete: bool,
    ) -> bool:
        """Apply records of the store; return whether their era allows it."""
        self.node_state.freshness.record_store_response()
        self.node_state.observe_store_era(end.era)
        return self.topic_state.apply_records(
            records, end, is_complete=is_complete
        )

    def _record_success(self) -> None:
        self.failures = 0
        if self.unreachable_since_s is None:
            return
        _LOG.info(
            'store answers again',
            fields={
                'topic': self.topic_state.topic.value,
                'lost_for_ms': int((now_s() - self.unreachable_since_s) * 1000),
            },
        )
        self.unreachable_since_s = None

    def _record_failure(self, failure: StoreFailure, sent_s: float) -> None:
        self.failures += 1
        self.node_state.freshness.record_failed_read(sent_s)
        if self.unreachable_since_s is not None:
            return
        self.unreachable_since_s = now_s()
        _LOG.warning(
            'store does not answer',
            fields={
                'topic': self.topic_state.topic.value,
                'failure': repr(failure),
            },
        )

    def _backoff_s(self) -> float:
        pause_s = min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2**self.failures)
        return pause_s * self.node_state.rng.uniform(0.5, 1.0)
