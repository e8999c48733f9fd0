"""Model the configuration log under retention and late readers.

The model has one resource. Operators make concurrent conditional writes, a
paused lease holder appends an outdated snapshot late, and the log drops its
oldest records. A reader that starts at any time must restore the same
resources as one that read the whole log, or nothing. The model uses the
fold functions of the product.
"""

import enum
import functools
from collections.abc import Callable, Iterator

import attrs
from minicheck import Protocol

from arbutusbay.control import restore_config
from arbutusbay.hosting import LogPage, LogRecord
from arbutusbay.state import (
    NO_VERSION,
    ConfigRecord,
    ConfigState,
    Delete,
    Pool,
    Put,
    ResourceId,
    Snapshot,
    apply_config_record,
    build_snapshot,
    encode_config_record,
    state_from_snapshot,
)
from tests.model.spec import build_protocol

_ID = ResourceId(kind='pool', name='p')
_SPEC = Pool(model='m', weights_version='v1')
_MAX_LOG_RECORDS = 4
_Apply = Callable[[ConfigState, int, ConfigRecord], ConfigState]


class DroppedRule(enum.StrEnum):
    """List the rules of the protocol that the model can drop."""

    NONE = 'none'
    ANY_SNAPSHOT = 'a snapshot is used without the records after it'
    REPLAYED_RESOURCES = 'a snapshot is applied as a new write'
    NO_PRECONDITION = 'a write ignores its precondition'
    READERS_GO_BACK = 'a reader accepts an older state from a peer'


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the state of the model.

    ``history`` holds all records ever appended, and ``first`` is the lowest
    offset that the log still keeps. ``reader`` is the offset of a running
    reader and ``peak`` the highest offset it ever had. ``pending`` is a
    snapshot that a paused lease holder may append at any time.
    """

    history: tuple[ConfigRecord, ...] = ()
    first: int = 0
    reader: int = -1
    peak: int = -1
    pending: Snapshot | None = None


class ConfigSpec:
    """Generate the transitions of the model, without the rule ``mutant``."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model without the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety properties."""
        return build_protocol(
            f'configuration: {self.mutant.value}',
            SystemState(),
            self.steps,
            {
                'a new reader never restores old state': self._restores_latest,
                'the offset of a reader never decreases': lambda system_state: (
                    system_state.reader >= system_state.peak
                ),
                'one of two concurrent writes is accepted': self._accepts_one,
            },
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and state of every possible transition."""
        if len(system_state.history) < _MAX_LOG_RECORDS:
            for record in self._possible_writes(system_state):
                yield f'append {record}', _append(system_state, record)
            if system_state.pending is not None:
                appended = _append(system_state, system_state.pending)
                yield (
                    'append pending snapshot',
                    attrs.evolve(appended, pending=None),
                )
        if system_state.pending is None and system_state.history:
            yield (
                'lease holder takes a snapshot',
                attrs.evolve(
                    system_state,
                    pending=build_snapshot(
                        self.fold(system_state.history), 's'
                    ),
                ),
            )
        if system_state.first < len(system_state.history):
            yield (
                'retention',
                attrs.evolve(system_state, first=system_state.first + 1),
            )
        for offset in _unread_offsets(system_state):
            yield 'read', attrs.evolve(system_state, reader=offset, peak=offset)
        if (
            self.mutant is DroppedRule.READERS_GO_BACK
            and system_state.reader > 0
        ):
            yield 'read from a peer', attrs.evolve(system_state, reader=0)

    def fold(self, history: tuple[ConfigRecord, ...]) -> ConfigState:
        """Return the state after all records of ``history``."""
        return _fold_history(self._apply, history)

    @functools.cached_property
    def _apply(self) -> _Apply:
        return self._apply_record

    def _apply_record(
        self,
        state: ConfigState,
        offset: int,
        record: ConfigRecord,
    ) -> ConfigState:
        if self.mutant is DroppedRule.NO_PRECONDITION and isinstance(
            record, Put
        ):
            record = attrs.evolve(record, expects=None)
        return apply_config_record(state, offset, record)

    def _possible_writes(
        self, system_state: SystemState
    ) -> Iterator[ConfigRecord]:
        versions = {NO_VERSION}
        for end, _ in enumerate(system_state.history, start=1):
            resource = self.fold(system_state.history[:end]).resources.get(_ID)
            if resource is not None:
                versions.add(resource.version)
        for expects in versions:
            yield Delete(id=_ID, expects=expects, nonce='d')
            yield Put(id=_ID, spec=_SPEC, expects=expects, nonce='p')

    def _restores_latest(self, system_state: SystemState) -> bool:
        restored = self._restore(system_state)
        return restored is None or (
            restored.resources == self.fold(system_state.history).resources
        )

    def _restore(self, system_state: SystemState) -> ConfigState | None:
        if self.mutant is DroppedRule.NO_PRECONDITION:
            return None
        page = LogPage(
            oldest_offset=system_state.first,
            end=len(system_state.history),
            records=[
                LogRecord(
                    offset=offset,
                    time_ms=0,
                    payload=_encode_record(system_state.history[offset]),
                )
                for offset in _kept_offsets(system_state)
            ],
        )
        if self.mutant in {
            DroppedRule.ANY_SNAPSHOT,
            DroppedRule.REPLAYED_RESOURCES,
        }:
            return self._restore_with_mutation(system_state)
        return restore_config(page)

    def _restore_with_mutation(
        self, system_state: SystemState
    ) -> ConfigState | None:
        kept = system_state.history[system_state.first :]
        state = ConfigState()
        for offset, record in enumerate(kept, start=system_state.first):
            match record:
                case Snapshot() if (
                    self.mutant is DroppedRule.REPLAYED_RESOURCES
                ):
                    snapshot_state = state_from_snapshot(record)
                    state = attrs.evolve(snapshot_state, offset=offset)
                case Snapshot():
                    state = state_from_snapshot(record)
                case _:
                    state = apply_config_record(state, offset, record)
        return state

    def _accepts_one(self, system_state: SystemState) -> bool:
        for end, record in enumerate(system_state.history, start=1):
            before = self.fold(system_state.history[: end - 1]).resources.get(
                _ID
            )
            after = self.fold(system_state.history[:end]).resources.get(_ID)
            version = before.version if before else NO_VERSION
            if before != after and record.expects != version:
                return False
        return True


@functools.cache
def _fold_history(
    apply: _Apply, history: tuple[ConfigRecord, ...]
) -> ConfigState:
    if not history:
        return ConfigState()
    state = _fold_history(apply, history[:-1])
    return apply(state, len(history) - 1, history[-1])


def _unread_offsets(system_state: SystemState) -> range:
    return range(system_state.reader + 1, len(system_state.history))


def _kept_offsets(system_state: SystemState) -> range:
    return range(system_state.first, len(system_state.history))


@functools.cache
def _encode_record(record: ConfigRecord) -> bytes:
    return encode_config_record(record)


def _append(system_state: SystemState, record: ConfigRecord) -> SystemState:
    return attrs.evolve(system_state, history=(*system_state.history, record))
