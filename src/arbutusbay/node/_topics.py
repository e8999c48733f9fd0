"""Fold the records of the store's topics into the board."""

from collections.abc import Iterable

from result import Err, Ok

from arbutusbay.fleet import Configuration, WeightsTarget
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._server_views import ServerViews
from arbutusbay.platform import (
    KeyedRecord,
    Topic,
    backend_server_from_record,
    operator_document_from_record,
)

_LOG = get_logger('topics')


class TopicState:
    """Hold the newest record of each key of one topic.

    ``end`` is the offset to read on from, None before the first read. Its
    records can be passed on to other VMs, since offsets mean the same to
    all.
    """

    topic: Topic

    def __init__(self, *, board: NodeBoard) -> None:
        """Fold into ``board``."""
        self.board = board
        self.end: int | None = None
        self.newest: dict[str, KeyedRecord] = {}

    def put(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        *,
        is_whole: bool,
    ) -> None:
        """Take up records; ``is_whole`` means that no other key exists."""
        told = {record.key: record for record in records}
        if is_whole:
            for key in self.newest.keys() - told.keys():
                told[key] = KeyedRecord(key=key, payload=b'', offset=end)
        changed = [
            record for record in told.values() if self._put_newest(record)
        ]
        is_first = self.end is None
        self.end = max(end, self.end or 0)
        self.fold(changed, is_first=is_first)
        if changed or is_first:
            self.board.notify_relay()

    def since(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records that lie at ``offset`` or later."""
        return [
            record for record in self.newest.values() if record.offset >= offset
        ]

    def put_read(self, as_of_s: float) -> None:
        """Take up that all records written before ``as_of_s`` are known."""

    def fold(self, records: list[KeyedRecord], *, is_first: bool) -> None:
        """Take up records that say something new."""
        raise NotImplementedError

    def says_the_same(self, held: KeyedRecord, told: KeyedRecord) -> bool:
        """Tell whether two records of a key mean the same."""
        return held.payload == told.payload

    def _put_newest(self, record: KeyedRecord) -> bool:
        held = self.newest.get(record.key)
        if held is None:
            self.newest[record.key] = record
            return True
        if record.offset < held.offset or self.says_the_same(held, record):
            return False
        self.newest[record.key] = record
        return True


class OperatorTopic(TopicState):
    """Fold configurations and weights targets."""

    topic = Topic.OPERATOR

    def fold(self, records: list[KeyedRecord], *, is_first: bool) -> None:
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
                    self._put_target(target, record.offset, is_first=is_first)

    def put_read(self, as_of_s: float) -> None:
        """Note how fresh the operator's documents are."""
        self.board.freshness.put(as_of_s)

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
        is_first: bool,
    ) -> None:
        moment_s = now_s()
        is_new = self.board.catalog.put_target(
            target,
            moment_s,
            named_s=float('-inf') if is_first else moment_s,
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


class ServersTopic(TopicState):
    """Fold the registrations of backend servers."""

    topic = Topic.SERVERS

    def __init__(self, *, board: NodeBoard, views: ServerViews) -> None:
        """Keep ``views`` in line with the registrations."""
        super().__init__(board=board)
        self.views = views

    def fold(self, records: list[KeyedRecord], *, is_first: bool) -> None:
        """Take up registrations and removals."""
        for record in records:
            if record.payload:
                self._put_server(record)
            else:
                self.views.remove(record.key)
        self.board.has_read_servers = True

    def put_read(self, as_of_s: float) -> None:
        """Let removals that wait take effect in time."""
        self.views.expire()

    def says_the_same(self, held: KeyedRecord, told: KeyedRecord) -> bool:
        """Tell whether only the heartbeat count differs."""
        if not held.payload or not told.payload:
            return held.payload == told.payload
        before = backend_server_from_record(held.key, held.payload)
        after = backend_server_from_record(told.key, told.payload)
        return isinstance(after, Ok) and before == after

    def _put_server(self, record: KeyedRecord) -> None:
        match backend_server_from_record(record.key, record.payload):
            case Err(failure):
                _LOG.warning(
                    'registration skipped: {}',
                    failure.detail,
                    fields={'offset': record.offset},
                )
            case Ok(server):
                self.views.put(server)
