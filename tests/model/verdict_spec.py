"""Model how the verdict about one prompt segment spreads in a fleet.

Two VMs change the verdict, report it, write it to the store and restart.
Reports and writes may arrive late and repeatedly. The model calls the product
to compare verdicts.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.quarantine import Verdict, is_newer_verdict
from tests.model.spec import build_protocol, replace_node

_MAX_REVISION = 3
_MAX_RESTARTS = 2


class DroppedRule(enum.StrEnum):
    """Name the rule that a faulty variant of the protocol drops."""

    NONE = 'none'
    REVISIONS = 'the verdict that arrives last replaces the known one'
    ONE_RECORD = 'the store has one record, which a late write replaces'
    READ_FIRST = 'a VM takes requests before it has read the store'
    KEPT_LIFT = 'a VM forgets a segment whose quarantine is lifted'


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold the verdict that a VM has; None if it has none."""

    verdict: Verdict | None = None
    takes_requests: bool = True


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the VMs, what was ever reported or written, and the store.

    ``settled`` is the highest revision that all VMs and the store have had.
    """

    nodes: tuple[Node, ...] = (Node(), Node())
    sent: frozenset[Verdict] = frozenset()
    stored: frozenset[Verdict] = frozenset()
    restarts: int = 0
    settled: int = 0


class VerdictSpec:
    """Generate the transitions, without the rule that a mutant drops."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model that lacks the rule of ``mutant``."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'verdicts: {self.mutant.value}',
            SystemState(),
            self.steps,
            {'no older verdict comes back': _is_safe},
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and result of every possible transition."""
        for label, next_state in self._unsettled_steps(system_state):
            yield label, _settle(next_state)

    def _unsettled_steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        for number, node in enumerate(system_state.nodes):
            if node.takes_requests:
                yield from self._decisions(system_state, number, node)
            yield from self._receipts(system_state, number, node)
            if system_state.restarts < _MAX_RESTARTS:
                yield (
                    f'{number} restarts',
                    self._restart(system_state, number),
                )
        for verdict in system_state.sent - system_state.stored:
            stored = system_state.stored | {verdict}
            if self.mutant is DroppedRule.ONE_RECORD:
                stored = frozenset((verdict,))
            yield (
                'a write arrives',
                attrs.evolve(system_state, stored=stored),
            )

    def _decisions(
        self, system_state: SystemState, number: int, node: Node
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the changes of a verdict, each sent to the VM and the store."""
        known = node.verdict
        revision = 1 if known is None else known.revision + 1
        if revision > _MAX_REVISION:
            return
        is_quarantined = known is not None and known.is_quarantined
        verdict = Verdict(
            revision=revision,
            is_quarantined=not is_quarantined,
            changed_s=0.0,
        )
        decided = self._learn(system_state, number, verdict)
        yield (
            f'{number} changes the verdict',
            attrs.evolve(decided, sent=decided.sent | {verdict}),
        )

    def _receipts(
        self, system_state: SystemState, number: int, node: Node
    ) -> Iterator[tuple[str, SystemState]]:
        for verdict in system_state.sent:
            if verdict != node.verdict:
                yield (
                    f'{number} receives a report',
                    self._learn(system_state, number, verdict),
                )
        if not node.takes_requests:
            read = system_state
            for verdict in system_state.stored:
                read = self._learn(read, number, verdict)
            yield (
                f'{number} reads the store',
                replace_node(read, number, takes_requests=True),
            )

    def _learn(
        self, system_state: SystemState, number: int, verdict: Verdict
    ) -> SystemState:
        known = system_state.nodes[number].verdict
        is_any_taken = self.mutant is DroppedRule.REVISIONS
        if not is_any_taken and not is_newer_verdict(verdict, known):
            return system_state
        is_forgotten = self.mutant is DroppedRule.KEPT_LIFT
        if is_forgotten and not verdict.is_quarantined:
            return replace_node(system_state, number, verdict=None)
        return replace_node(system_state, number, verdict=verdict)

    def _restart(self, system_state: SystemState, number: int) -> SystemState:
        reads_first = self.mutant is not DroppedRule.READ_FIRST
        restarted = replace_node(
            system_state,
            number,
            verdict=None,
            takes_requests=not reads_first,
        )
        return attrs.evolve(restarted, restarts=system_state.restarts + 1)


def _revision(verdict: Verdict | None) -> int:
    return 0 if verdict is None else verdict.revision


def _settle(system_state: SystemState) -> SystemState:
    """Update which revision all VMs and the store have had."""
    known = min(_revision(node.verdict) for node in system_state.nodes)
    stored = max((held.revision for held in system_state.stored), default=0)
    return attrs.evolve(
        system_state, settled=max(system_state.settled, min(known, stored))
    )


def _is_safe(system_state: SystemState) -> bool:
    return all(
        _revision(node.verdict) >= system_state.settled
        for node in system_state.nodes
        if node.takes_requests
    )
