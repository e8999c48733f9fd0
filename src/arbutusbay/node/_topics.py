"""Apply the records of the store's topics to the shared state."""

from collections.abc import Iterable

from result import Err, Ok

from arbutusbay.fleet import Configuration, WeightsTarget
from arbutusbay.logs import get_logger
from arbutusbay.node._clock import now_s
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.platform import (
    KeyedRecord,
    Topic,
    decode_backend_server,
    decode_operator_record,
)

_LOG = get_logger('topics')


class TopicState:
    """Hold the newest record of each key of one topic.

    ``end_offset`` is the next offset to read, None before the first read.
    Offsets are those of the store, so records and ``end_offset`` are valid on
    other VMs, too.
    """

    topic: Topic

    def __init__(self, *, node_state: NodeState) -> None:
        """Apply the records to ``node_state``."""
        self.node_state = node_state
        self.end_offset: int | None = None
        self.latest_records: dict[str, KeyedRecord] = {}

    def apply_records(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        *,
        is_complete: bool,
    ) -> None:
        """Apply ``records``, read up to the offset ``end``.

        ``is_complete`` means that they cover all keys of the topic: any other
        key that is known here was deleted.
        """
        received = {record.key: record for record in records}
        if is_complete:
            for key in self.latest_records.keys() - received.keys():
                received[key] = KeyedRecord(key=key, payload=b'', offset=end)
        changed = [
            record
            for record in received.values()
            if self._update_newest(record)
        ]
        is_first = self.end_offset is None
        self.end_offset = max(end, self.end_offset or 0)
        self.apply_changes(changed, is_first=is_first)
        if changed or is_first:
            self.node_state.notify_topics_changed()

    def records_since(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records whose offset is at least ``offset``."""
        return [
            record
            for record in self.latest_records.values()
            if record.offset >= offset
        ]

    def record_read(self, as_of_s: float) -> None:
        """Record that all records written before ``as_of_s`` are known."""

    def apply_changes(
        self, records: list[KeyedRecord], *, is_first: bool
    ) -> None:
        """Apply records that differ from the ones known before.

        ``is_first`` marks the records of the first read of the topic.
        """
        raise NotImplementedError

    def is_equivalent(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether two records of a key have the same meaning."""
        return known.payload == received.payload

    def _update_newest(self, record: KeyedRecord) -> bool:
        known = self.latest_records.get(record.key)
        if known is None:
            self.latest_records[record.key] = record
            return True
        if record.offset < known.offset or self.is_equivalent(known, record):
            return False
        self.latest_records[record.key] = record
        return True


class OperatorTopicState(TopicState):
    """Apply the operator's configurations and weights targets."""

    topic = Topic.OPERATOR

    def apply_changes(
        self, records: list[KeyedRecord], *, is_first: bool
    ) -> None:
        """Apply newer configurations and targets; skip malformed records."""
        for record in records:
            if not record.payload:
                continue
            match decode_operator_record(record.key, record.payload):
                case Err(failure):
                    _LOG.warning(
                        'malformed record skipped: {}',
                        failure.detail,
                        fields={'offset': record.offset},
                    )
                case Ok(Configuration() as configuration):
                    self._apply_configuration(configuration, record.offset)
                case Ok(WeightsTarget() as target):
                    self._apply_target(target, record.offset, is_first=is_first)

    def record_read(self, as_of_s: float) -> None:
        """Update how recent the operator's documents are."""
        self.node_state.freshness.record_read(as_of_s)

    def _apply_configuration(
        self,
        configuration: Configuration,
        offset: int,
    ) -> None:
        if not self.node_state.catalog.update_configuration(configuration):
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
        self.node_state.notify_state_changed()

    def _apply_target(
        self,
        target: WeightsTarget,
        offset: int,
        *,
        is_first: bool,
    ) -> None:
        moment_s = now_s()
        # A target found by the first read may have been set long before.
        is_new = self.node_state.catalog.update_target(
            target,
            moment_s,
            published_s=float('-inf') if is_first else moment_s,
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
        self.node_state.notify_state_changed()


class ServersTopicState(TopicState):
    """Apply the registrations of backend servers."""

    topic = Topic.SERVERS

    def __init__(
        self, *, node_state: NodeState, server_registry: ServerRegistry
    ) -> None:
        """Keep ``server_registry`` in sync with the registrations."""
        super().__init__(node_state=node_state)
        self.server_registry = server_registry

    def apply_changes(
        self, records: list[KeyedRecord], *, is_first: bool
    ) -> None:
        """Apply registrations and removals; skip malformed records."""
        for record in records:
            if record.payload:
                self._apply_registration(record)
            else:
                self.server_registry.deregister(record.key)
        self.node_state.has_read_servers = True

    def record_read(self, as_of_s: float) -> None:
        """Apply the removals whose delay has passed."""
        self.server_registry.remove_expired()

    def is_equivalent(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether two registrations differ in the heartbeat at most."""
        if not known.payload or not received.payload:
            return known.payload == received.payload
        before = decode_backend_server(known.key, known.payload)
        after = decode_backend_server(received.key, received.payload)
        return isinstance(after, Ok) and before == after

    def _apply_registration(self, record: KeyedRecord) -> None:
        match decode_backend_server(record.key, record.payload):
            case Err(failure):
                _LOG.warning(
                    'malformed registration skipped: {}',
                    failure.detail,
                    fields={'offset': record.offset},
                )
            case Ok(server):
                self.server_registry.apply_registration(server)
