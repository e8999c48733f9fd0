"""Model how changes of a topic reach VMs that follow one another.

The store holds one key, which comes and goes. A VM reads the newest record,
reads on, or takes from another VM what is new since its own position. The model
uses the coverage of the product.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.platform import StorePosition
from arbutusbay.spread import Coverage, cover_all_keys
from tests.model.spec import build_protocol, replace_node

_MAX_RECORDS = 3
_VMS = 3


class DroppedRule(enum.StrEnum):
    """List the rules of the protocol that the model can drop."""

    NONE = 'none'
    ANY_START = 'a source sends changes since any position'
    KEPT_START = 'a source that reads all keys again keeps its first position'


@attrs.frozen(kw_only=True, cache_hash=True)
class Entry:
    """Hold whether the key is there, as of the record at ``offset``."""

    is_there: bool
    offset: int


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold what a VM knows; nothing before its first read."""

    entry: Entry | None = None
    coverage: Coverage | None = None

    @property
    def is_there(self) -> bool:
        """Return whether the VM holds the key."""
        return self.entry is not None and self.entry.is_there


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the records of the store, and the VMs."""

    records: tuple[bool, ...] = ()
    nodes: tuple[Node, ...] = (Node(),) * _VMS

    def newest(self) -> Entry | None:
        """Return the newest record if the key is there."""
        if not self.records or not self.records[-1]:
            return None
        return Entry(is_there=True, offset=len(self.records) - 1)

    def end(self) -> StorePosition:
        """Return the position behind the last record."""
        return StorePosition(era=1, offset=len(self.records))


class SpreadSpec:
    """Generate the transitions of the model, without the rule ``mutant``."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model without the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'spread: {self.mutant.value}',
            SystemState(),
            self.steps,
            {'a VM holds what the store held at its position': _is_faithful},
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and state of every possible transition."""
        if len(system_state.records) < _MAX_RECORDS:
            for is_there in (True, False):
                yield (
                    f'written: {is_there}',
                    attrs.evolve(
                        system_state,
                        records=(*system_state.records, is_there),
                    ),
                )
        for number, node in enumerate(system_state.nodes):
            for label, changed in self._node_steps(system_state, node):
                nodes = replace_node(
                    system_state,
                    number,
                    entry=changed.entry,
                    coverage=changed.coverage,
                )
                yield f'{number} {label}', nodes

    def _node_steps(
        self, system_state: SystemState, node: Node
    ) -> Iterator[tuple[str, Node]]:
        end = system_state.end()
        yield 'starts', Node()
        yield (
            'reads all keys',
            self._take_all(node, system_state.newest(), end),
        )
        if node.coverage is not None:
            yield 'reads on', _read_on(node, system_state)
        for source in system_state.nodes:
            if source is not node and source.coverage is not None:
                yield 'follows', self._follow(node, source)

    def _follow(self, node: Node, source: Node) -> Node:
        position = None if node.coverage is None else node.coverage.end
        end = source.coverage.end
        is_complete = not source.coverage.has_changes_since(position)
        if self.mutant is DroppedRule.ANY_START and position is not None:
            is_complete = False
        if is_complete:
            return self._take_all(node, source.entry, end)
        entry = node.entry
        if source.entry and source.entry.offset >= position.offset:
            entry = _newer(entry, source.entry)
        return Node(
            entry=entry,
            coverage=node.coverage.extend(end, is_complete=False),
        )

    def _take_all(
        self, node: Node, received: Entry | None, end: StorePosition
    ) -> Node:
        """Apply all records of a source; a key that is not there is gone."""
        entry = _newer(node.entry, received)
        if node.entry and not (received and received.is_there):
            entry = _newer(entry, Entry(is_there=False, offset=end.offset))
        return Node(entry=entry, coverage=self._cover_all(node.coverage, end))

    def _cover_all(
        self, known: Coverage | None, end: StorePosition
    ) -> Coverage:
        if known is None:
            return cover_all_keys(end)
        is_complete = self.mutant is not DroppedRule.KEPT_START
        return known.extend(end, is_complete=is_complete)


def _read_on(node: Node, system_state: SystemState) -> Node:
    entry = node.entry
    start = node.coverage.end.offset
    for offset, is_there in enumerate(system_state.records[start:], start):
        entry = Entry(is_there=is_there, offset=offset)
    return Node(
        entry=entry,
        coverage=node.coverage.extend(system_state.end(), is_complete=False),
    )


def _newer(known: Entry | None, received: Entry | None) -> Entry | None:
    if known is None or received is None:
        return known or received
    return known if received.offset < known.offset else received


def _is_faithful(system_state: SystemState) -> bool:
    return all(
        _held_at(system_state, node.coverage.end.offset) == node.is_there
        for node in system_state.nodes
        if node.coverage is not None
    )


def _held_at(system_state: SystemState, offset: int) -> bool:
    return offset > 0 and system_state.records[offset - 1]
