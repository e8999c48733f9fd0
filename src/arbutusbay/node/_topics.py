"""Apply the records of the store's topics to the shared state."""

import functools
from collections.abc import Iterable

import attrs
from result import Err, Ok

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.fleet import BackendServer, Configuration, WeightsTarget
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.platform import (
    KeyedRecord,
    StorePosition,
    Topic,
    decode_backend_server,
    decode_operator_record,
)
from arbutusbay.spread import Coverage, PayloadHistory, cover_all_keys

_LOG = get_logger('topics')
_EARLIER_ERA_OFFSET = -1
_DECODED_SERVERS_KEPT = 1024


class TopicState:
    """Hold the newest record of each key of one topic.

    ``coverage`` holds the position of the next read and from where on all
    changes are known, None before the first read. Positions are those of the
    store, so they are valid on other VMs, too. A record that is kept from an
    earlier era of the store has the offset ``_EARLIER_ERA_OFFSET``.
    """

    topic: Topic

    def __init__(self, *, node_state: NodeState) -> None:
        """Apply the records to ``node_state``."""
        self.node_state = node_state
        self.coverage: Coverage | None = None
        self.latest_records: dict[str, KeyedRecord] = {}

    @property
    def end(self) -> StorePosition | None:
        """Return the position of the next read, None before the first one."""
        return None if self.coverage is None else self.coverage.end

    def apply_records(
        self,
        records: Iterable[KeyedRecord],
        end: StorePosition,
        *,
        is_complete: bool,
    ) -> bool:
        """Apply ``records``, read up to the position ``end``.

        ``is_complete`` means that they cover all keys of the topic: any other
        key that is known here was deleted.

        Returns False, and applies nothing, if the records are of an earlier
        era of the store, or of a later one but incomplete.
        """
        if not self._enter_era(end.era, is_complete=is_complete):
            return False
        received = list(records)
        if is_complete:
            self._refresh(received)
            received += self._deletions(received, end)
        # A later record of a key need not replace an earlier one.
        changed = {
            record.key: record
            for record in received
            if self._update_newest(record)
        }
        is_first = self.coverage is None
        self.coverage = (
            cover_all_keys(end)
            if self.coverage is None
            else self.coverage.extend(end, is_complete=is_complete)
        )
        self.apply_changes(list(changed.values()))
        if changed or is_first:
            self.node_state.notify_topics_changed()
        return True

    def forget(self) -> None:
        """Let the next records replace the known ones, whatever their offset.

        What they changed remains in force until then.
        """
        self.coverage = None
        self.latest_records = {}

    def has_changes_since(self, position: StorePosition | None) -> bool:
        """Return whether all changes from ``position`` on are known."""
        return self.coverage is not None and self.coverage.has_changes_since(
            position
        )

    def records_since(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records whose offset is at least ``offset``."""
        return [
            record
            for record in self.latest_records.values()
            if record.offset >= offset
        ]

    def record_read(self, as_of_s: float) -> None:
        """Record that all records written before ``as_of_s`` are known."""

    def record_newest(self, record: KeyedRecord) -> None:
        """Record that ``record`` is the newest of its key from now on."""

    def apply_changes(self, records: list[KeyedRecord]) -> None:
        """Apply records that differ from the ones known before.

        They are not read again, so an error at one must not cost the others.
        """
        for record in records:
            try:
                self.apply_change(record)
            except Exception:
                _LOG.exception(
                    'record not applied',
                    fields={'key': record.key, 'offset': record.offset},
                )

    def apply_change(self, record: KeyedRecord) -> None:
        """Apply one record that differs from the one known before."""
        raise NotImplementedError

    def is_equivalent(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether two records of a key have the same meaning."""
        return known.payload == received.payload

    def is_superseded(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether the ``known`` record is newer than ``received``.

        A store that was restored from a copy holds records that are older
        than those it held before, and a write may be carried out after later
        ones of its writer.
        """
        raise NotImplementedError

    def _deletions(
        self, received: Iterable[KeyedRecord], end: StorePosition
    ) -> list[KeyedRecord]:
        """Return a deletion of each known key that is not there any more.

        A deletion that was ``received`` may be of an earlier time than ours.
        """
        deleted = self.latest_records.keys() - {
            record.key for record in received if record.payload
        }
        return [
            KeyedRecord(key=key, payload=b'', offset=end.offset)
            for key in deleted
        ]

    def _refresh(self, received: Iterable[KeyedRecord]) -> None:
        """Take over later records that have their known meaning.

        The key may have been deleted and written anew between two reads; other
        VMs may hold that deletion.
        """
        for record in received:
            known = self.latest_records.get(record.key)
            if known is None or record.offset <= known.offset:
                continue
            if known.payload and self.is_equivalent(known, record):
                self.latest_records[record.key] = record

    def _enter_era(self, era: int, *, is_complete: bool) -> bool:
        """Return whether records of ``era`` can be applied.

        On a change of era, positions of earlier records mean nothing more.
        """
        if self.end is None or self.end.era == era:
            return True
        if era < self.end.era or not is_complete:
            return False
        self.latest_records = {
            key: attrs.evolve(record, offset=_EARLIER_ERA_OFFSET)
            for key, record in self.latest_records.items()
        }
        self.coverage = cover_all_keys(StorePosition(era=era, offset=0))
        return True

    def _update_newest(self, record: KeyedRecord) -> bool:
        known = self.latest_records.get(record.key)
        if known is not None and not self._replaces(known, record):
            return False
        self.latest_records[record.key] = record
        self.record_newest(record)
        return True

    def _replaces(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        if received.offset < known.offset:
            return False
        if self.is_equivalent(known, received):
            return False
        return not self.is_superseded(known, received)


class OperatorTopicState(TopicState):
    """Apply the operator's configurations and weights targets.

    ``payloads`` holds the last versions, from which others are made.
    """

    topic = Topic.OPERATOR

    def __init__(self, *, node_state: NodeState) -> None:
        """Apply the records to ``node_state``."""
        super().__init__(node_state=node_state)
        self.payloads = PayloadHistory()

    def record_newest(self, record: KeyedRecord) -> None:
        """Keep the payload, as the base of later versions."""
        self.payloads.record(record.key, record.payload)

    def apply_change(self, record: KeyedRecord) -> None:
        """Apply a newer configuration or target; skip a malformed record."""
        if not record.payload:
            return
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
                self._apply_target(target, record.offset)

    def record_read(self, as_of_s: float) -> None:
        """Update how recent the operator's documents are."""
        self.node_state.freshness.record_read(as_of_s)

    def is_superseded(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether a store that was restored lost a newer version.

        The operator deletes no documents, so a missing one was lost.
        """
        if known.offset != _EARLIER_ERA_OFFSET:
            return False
        if not received.payload:
            return True
        catalog = self.node_state.catalog
        match decode_operator_record(received.key, received.payload):
            case Ok(Configuration() as configuration):
                current = catalog.configuration
            case Ok(WeightsTarget() as configuration):
                current = catalog.targets.get(configuration.model)
            case _:
                return False
        return current is not None and configuration.version < current.version

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
                'problems': configuration.problems,
            },
        )
        self.node_state.notify_state_changed()

    def _apply_target(self, target: WeightsTarget, offset: int) -> None:
        moment_s = now_s()
        # The read before this one was complete and did not find the target.
        published_s = self.node_state.freshness.as_of_s
        is_new = self.node_state.catalog.update_target(
            target, moment_s, published_s=published_s
        )
        if not is_new:
            return
        _LOG.info(
            'weights version named',
            fields={
                'model': target.model,
                'version': target.version,
                'offset': offset,
                'assumed_age_ms': milliseconds(moment_s - published_s),
                'config_age_ms': self.node_state.configuration_age_ms(),
            },
        )
        self.node_state.notify_state_changed()


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Identify a heartbeat of a backend server."""

    incarnation: int
    count: int


# Each registration is decoded to compare it with the next heartbeat.
_decode_server = functools.lru_cache(_DECODED_SERVERS_KEPT)(
    decode_backend_server
)


class ServersTopicState(TopicState):
    """Apply the registrations of backend servers.

    ``last_heartbeats`` holds the newest heartbeat of each server by its id,
    also of servers that are gone.
    """

    topic = Topic.SERVERS

    def __init__(
        self, *, node_state: NodeState, server_registry: ServerRegistry
    ) -> None:
        """Keep ``server_registry`` in sync with the registrations."""
        super().__init__(node_state=node_state)
        self.server_registry = server_registry
        self.last_heartbeats: dict[str, Heartbeat] = {}

    def apply_changes(self, records: list[KeyedRecord]) -> None:
        """Apply registrations and removals."""
        super().apply_changes(records)
        self.server_registry.remove_departed()
        self.node_state.has_read_servers = True

    def apply_change(self, record: KeyedRecord) -> None:
        """Apply a registration or removal; skip a malformed record."""
        if record.payload:
            self._apply_registration(record)
        else:
            self.server_registry.deregister(record.key)

    def is_equivalent(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether two registrations differ in the heartbeat at most.

        Two that are malformed in the same way name no server alike.
        """
        if not known.payload or not received.payload:
            return known.payload == received.payload
        before = _decode_server(known.key, known.payload)
        after = _decode_server(received.key, received.payload)
        if before != after:
            return False
        if isinstance(after, Ok):
            self._record_heartbeat(after.ok_value)
        return True

    def is_superseded(self, known: KeyedRecord, received: KeyedRecord) -> bool:
        """Return whether the server has written since ``received``.

        A server that drains or is gone must not return in its former state.
        If it is alive, its next heartbeat replaces the known record.
        """
        if not received.payload:
            return False
        match _decode_server(received.key, received.payload):
            case Ok(server):
                pass
            case Err():
                return False
        if self._is_overtaken(server, is_gone=not known.payload):
            return True
        # The next record of the same read is compared with this one.
        self._record_heartbeat(server)
        return False

    def _is_overtaken(self, server: BackendServer, *, is_gone: bool) -> bool:
        last = self.last_heartbeats.get(server.id)
        if last is None or last.incarnation != server.incarnation:
            return False
        if not server.heartbeat_count:
            return False
        if is_gone:
            return server.heartbeat_count <= last.count
        return server.heartbeat_count < last.count

    def _record_heartbeat(self, server: BackendServer) -> None:
        last = self.last_heartbeats.get(server.id)
        heartbeat = Heartbeat(
            incarnation=server.incarnation, count=server.heartbeat_count
        )
        is_newer = (
            last is None
            or last.incarnation != heartbeat.incarnation
            or last.count < heartbeat.count
        )
        if is_newer:
            self.last_heartbeats[server.id] = heartbeat

    def _apply_registration(self, record: KeyedRecord) -> None:
        match _decode_server(record.key, record.payload):
            case Err(failure):
                _LOG.warning(
                    'malformed registration skipped: {}',
                    failure.detail,
                    fields={'offset': record.offset},
                )
            case Ok(server):
                self._record_heartbeat(server)
                self.server_registry.apply_registration(server)
