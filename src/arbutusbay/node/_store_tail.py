"""Follow the topics of the store and fold their records into the board."""

import asyncio
from collections.abc import Iterable

from result import Err, Ok

from arbutusbay.fleet import Configuration, WeightsTarget
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._server_views import ServerViews
from arbutusbay.platform import (
    KeyedRecord,
    RecordsExpired,
    StoreClient,
    StoreFailure,
    Topic,
    backend_server_from_record,
    operator_document_from_record,
)

_LOG = get_logger('store')
_ANSWER_S = 0.8
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.8


class TopicTail:
    """Read one topic: newest records first, then all that follows.

    Subclasses fold records; ``wait_s`` is how long a read may wait for a
    record and ``pause_s`` the least time between reads.
    """

    topic: Topic
    wait_s: float = 0.0
    pause_s: float = 0.0

    def __init__(self, *, board: NodeBoard, store: StoreClient) -> None:
        """Fold into ``board`` what ``store`` tells."""
        self.board = board
        self.store = store
        self.offset: int | None = None
        self.failures = 0
        self.lost_at_s: float | None = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            sent_s = now_s()
            if self.offset is None:
                failure = await self._read_newest()
            else:
                failure = await self._read_on(self.offset)
            if failure is None:
                self._note_answer(sent_s)
                await asyncio.sleep(self.pause_s)
            else:
                self._note_failure(failure)
                await asyncio.sleep(self._backoff_s())

    def fold(self, records: Iterable[KeyedRecord], *, is_whole: bool) -> None:
        """Take up records; ``is_whole`` means that others no longer exist."""
        raise NotImplementedError

    def put_answer(self, sent_s: float) -> None:
        """Take up that a read sent at ``sent_s`` was answered."""

    async def _read_newest(self) -> StoreFailure | None:
        newest = await self.store.newest(self.topic, timeout_s=_ANSWER_S * 2)
        match newest:
            case Err(failure):
                return failure
            case Ok(found):
                self.offset = found.end
                self.fold(found.records, is_whole=True)
                return None

    async def _read_on(self, offset: int) -> StoreFailure | None:
        page = await self.store.read(
            self.topic,
            offset,
            wait_s=self.wait_s,
            timeout_s=self.wait_s + _ANSWER_S,
        )
        match page:
            case Err(RecordsExpired()):
                _LOG.info(
                    'records expired, reading newest',
                    fields={'topic': self.topic.value, 'offset': offset},
                )
                self.offset = None
                return None
            case Err(failure):
                return failure
            case Ok(found):
                self.offset = found.next_offset
                self.fold(found.records, is_whole=False)
                return None

    def _note_answer(self, sent_s: float) -> None:
        self.failures = 0
        if self.lost_at_s is not None:
            _LOG.info(
                'store answers again',
                fields={
                    'topic': self.topic.value,
                    'lost_for_s': round(now_s() - self.lost_at_s, 3),
                },
            )
            self.lost_at_s = None
        if self.offset is not None:
            self.put_answer(sent_s)

    def _note_failure(self, failure: StoreFailure) -> None:
        self.failures += 1
        if self.lost_at_s is None:
            self.lost_at_s = now_s()
            _LOG.warning(
                'store does not answer',
                fields={'topic': self.topic.value, 'failure': repr(failure)},
            )

    def _backoff_s(self) -> float:
        pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**self.failures)
        return pause_s * self.board.rng.uniform(0.5, 1.0)


class OperatorTail(TopicTail):
    """Follow configurations and weights targets."""

    topic = Topic.OPERATOR
    wait_s = 1.5

    def fold(self, records: Iterable[KeyedRecord], *, is_whole: bool) -> None:
        """Take up newer configurations and targets."""
        for record in records:
            if not record.payload:
                continue
            match operator_document_from_record(record.key, record.payload):
                case Err(failure):
                    _LOG.warning(
                        'record skipped: {}',
                        failure.detail,
                        fields={'offset': record.offset},
                    )
                case Ok(Configuration() as configuration):
                    self._put_configuration(configuration, record.offset)
                case Ok(WeightsTarget() as target):
                    self._put_target(target, record.offset, is_whole=is_whole)

    def put_answer(self, sent_s: float) -> None:
        """Note how fresh the documents are now."""
        self.board.freshness.put(sent_s)

    def _put_configuration(
        self,
        configuration: Configuration,
        offset: int,
    ) -> None:
        if not self.board.catalog.put_configuration(configuration):
            return
        _LOG.info(
            'configuration in force',
            fields={
                'version': configuration.version,
                'offset': offset,
                'services': len(configuration.services),
                'hosts': len(configuration.routes_by_host),
            },
        )
        self.board.notify()

    def _put_target(
        self,
        target: WeightsTarget,
        offset: int,
        *,
        is_whole: bool,
    ) -> None:
        moment_s = now_s()
        is_new = self.board.catalog.put_target(
            target,
            moment_s,
            named_s=float('-inf') if is_whole else moment_s,
        )
        if not is_new:
            return
        _LOG.info(
            'weights version named',
            fields={
                'model': target.model,
                'version': target.version,
                'offset': offset,
            },
        )
        self.board.notify()


class ServersTail(TopicTail):
    """Follow the registrations of backend servers."""

    topic = Topic.SERVERS
    pause_s = 0.9

    def __init__(
        self,
        *,
        board: NodeBoard,
        store: StoreClient,
        views: ServerViews,
    ) -> None:
        """Keep ``views`` in line with the registrations."""
        super().__init__(board=board, store=store)
        self.views = views

    def fold(self, records: Iterable[KeyedRecord], *, is_whole: bool) -> None:
        """Take up registrations and removals."""
        newest = {record.key: record for record in records}
        if is_whole:
            for missing in self.board.catalog.servers.keys() - newest.keys():
                self.views.remove(missing)
        for record in newest.values():
            self._put(record)
        self.board.has_read_servers = True

    def put_answer(self, sent_s: float) -> None:
        """Let removals that were held back take effect in time."""
        self.views.expire()

    def _put(self, record: KeyedRecord) -> None:
        if not record.payload:
            self.views.remove(record.key)
            return
        match backend_server_from_record(record.key, record.payload):
            case Err(failure):
                _LOG.warning(
                    'registration skipped: {}',
                    failure.detail,
                    fields={'offset': record.offset},
                )
            case Ok(server):
                self.views.put(server)
