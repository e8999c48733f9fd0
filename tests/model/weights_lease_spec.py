"""Model the lease that permits a VM to order weights loads.

A claim is a conditional append: it succeeds only if the log still ends where
the claimant read it. Claims may be appended late and their responses may be
lost. A VM may be suspended at any time. The model calls the lease rules of
the product.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.scheduling import (
    LeaseDurations,
    ObservedClaim,
    can_claim,
    is_claim_valid,
)
from tests.model.spec import build_protocol, replace_node

_LEASE_TICKS = 2
_VALID_TICKS = 1
_MAX_CLAIMS = 2
_MAX_AGE_TICKS = 3
_NAMES = ('a', 'b')
_TIMES = LeaseDurations(
    validity_s=_VALID_TICKS,
    takeover_after_s=_VALID_TICKS + _LEASE_TICKS - 1,
)


class DroppedRule(enum.StrEnum):
    """Name the rule that a faulty variant of the protocol drops."""

    NONE = 'none'
    NO_CONDITION = 'claims are appended unconditionally'
    NO_WAIT = 'another VM claims before the takeover time has passed'
    OWN_FENCE = 'the holder counts the fencing token instead of the store'
    TERM_FROM_ANSWER = 'the validity of a claim starts at its response'
    SUSPENDED_CLOCK = 'a clock stops during a suspension'


@attrs.frozen(kw_only=True, cache_hash=True)
class Claim:
    """Describe a pending claim; ``offset`` is set once it is appended."""

    sent_age: int
    expected_end: int
    offset: int | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold the state of one VM; ages are in ticks and capped.

    ``end`` is where the log ended when it was last read. ``local_claim_age``
    is the age of the VM's last successful claim, measured by its own clock.
    ``claim_count`` is its own count of claims.
    """

    end: int = 0
    seen_offset: int = -1
    seen_age: int = 0
    fence: int | None = None
    local_claim_age: int = _MAX_AGE_TICKS
    claim_count: int = 0
    pending_claim: Claim | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class Order:
    """Describe the last order that the engines received."""

    holder: int
    fence: int
    age: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the log of claims, both VMs and the last order."""

    log: tuple[int, ...] = ()
    nodes: tuple[Node, ...] = (Node(), Node())
    last_order: Order | None = None
    violation: str = ''


class WeightsLeaseSpec:
    """Generate the transitions, without the rule that a mutant drops."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model that lacks the rule of ``mutant``."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'weights lease: {self.mutant.value}',
            SystemState(),
            self.steps,
            {'orders of two holders are separated': _is_safe},
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and result of every possible transition."""
        if system_state.violation:
            return
        yield 'tick', _tick(system_state, suspended=None)
        for number, node in enumerate(system_state.nodes):
            yield from self._node_steps(system_state, number, node)

    def _node_steps(
        self,
        system_state: SystemState,
        number: int,
        node: Node,
    ) -> Iterator[tuple[str, SystemState]]:
        name = _NAMES[number]
        if self.mutant is DroppedRule.SUSPENDED_CLOCK:
            yield f'{name} suspended', _tick(system_state, suspended=number)
        if node.end < len(system_state.log):
            yield f'{name} reads', self._read_log(system_state, number)
        if node.pending_claim is None and self._may_claim(system_state, number):
            yield f'{name} claims', self._send_claim(system_state, number)
        if node.pending_claim is not None:
            yield from self._claim_steps(
                system_state, number, node.pending_claim
            )
        if self._is_valid(system_state, number):
            ordered = self._order(system_state, number)
            if ordered != system_state:
                yield f'{name} orders', ordered

    def _claim_steps(
        self,
        system_state: SystemState,
        number: int,
        claim: Claim,
    ) -> Iterator[tuple[str, SystemState]]:
        name = _NAMES[number]
        if claim.offset is None:
            yield (
                f'{name} claim is appended',
                self._append_claim(system_state, number, claim),
            )
        else:
            yield (
                f'{name} answered',
                self._receive_response(system_state, number, claim),
            )
            yield (
                f'{name} loses the answer',
                replace_node(system_state, number, pending_claim=None),
            )

    def _may_claim(self, system_state: SystemState, number: int) -> bool:
        node = system_state.nodes[number]
        if len(system_state.log) >= _MAX_CLAIMS:
            return False
        if self.mutant is DroppedRule.NO_WAIT:
            return True
        seen = None
        if node.seen_offset >= 0:
            seen = ObservedClaim(
                holder=_NAMES[system_state.log[node.seen_offset]],
                observed_s=-node.seen_age,
            )
        return can_claim(_NAMES[number], seen, 0, _TIMES)

    def _is_valid(self, system_state: SystemState, number: int) -> bool:
        node = system_state.nodes[number]
        if node.fence is None:
            return False
        return is_claim_valid(-node.local_claim_age, 0, _TIMES)

    def _read_log(self, system_state: SystemState, number: int) -> SystemState:
        end = len(system_state.log)
        return replace_node(
            system_state,
            number,
            end=end,
            seen_offset=end - 1,
            seen_age=0,
        )

    def _send_claim(
        self, system_state: SystemState, number: int
    ) -> SystemState:
        claim = Claim(
            sent_age=0,
            expected_end=system_state.nodes[number].end,
        )
        return replace_node(system_state, number, pending_claim=claim)

    def _append_claim(
        self, system_state: SystemState, number: int, claim: Claim
    ) -> SystemState:
        end = len(system_state.log)
        is_expected = claim.expected_end == end
        if not is_expected and self.mutant is not DroppedRule.NO_CONDITION:
            return replace_node(system_state, number, pending_claim=None)
        appended = attrs.evolve(system_state, log=(*system_state.log, number))
        return replace_node(
            appended,
            number,
            pending_claim=attrs.evolve(claim, offset=end),
        )

    def _receive_response(
        self,
        system_state: SystemState,
        number: int,
        claim: Claim,
    ) -> SystemState:
        is_own_count = self.mutant is DroppedRule.OWN_FENCE
        claim_count = system_state.nodes[number].claim_count + is_own_count
        counts_from_response = self.mutant is DroppedRule.TERM_FROM_ANSWER
        return replace_node(
            system_state,
            number,
            pending_claim=None,
            claim_count=claim_count,
            fence=claim_count if is_own_count else claim.offset,
            local_claim_age=0 if counts_from_response else claim.sent_age,
            end=claim.offset + 1,
            seen_offset=claim.offset,
            seen_age=0,
        )

    def _order(self, system_state: SystemState, number: int) -> SystemState:
        order = Order(
            holder=number,
            fence=system_state.nodes[number].fence,
        )
        return attrs.evolve(
            system_state,
            last_order=order,
            violation=_find_violation(system_state.last_order, order),
        )


def _tick(system_state: SystemState, *, suspended: int | None) -> SystemState:
    """Advance the time by one tick.

    The clock of a suspended VM does not count towards its own claim.
    """
    nodes = tuple(
        _advance(node, is_clock_running=number != suspended)
        for number, node in enumerate(system_state.nodes)
    )
    last_order = system_state.last_order
    if last_order is not None:
        last_order = attrs.evolve(
            last_order,
            age=min(_MAX_AGE_TICKS, last_order.age + 1),
        )
    return attrs.evolve(system_state, nodes=nodes, last_order=last_order)


def _advance(node: Node, *, is_clock_running: bool) -> Node:
    pending_claim = node.pending_claim
    if pending_claim is not None:
        age = min(_MAX_AGE_TICKS, pending_claim.sent_age + 1)
        pending_claim = attrs.evolve(pending_claim, sent_age=age)
    return attrs.evolve(
        node,
        seen_age=min(_MAX_AGE_TICKS, node.seen_age + 1),
        local_claim_age=min(
            _MAX_AGE_TICKS,
            node.local_claim_age + is_clock_running,
        ),
        pending_claim=pending_claim,
    )


def _find_violation(last_order: Order | None, order: Order) -> str:
    if last_order is None or last_order.holder == order.holder:
        return ''
    if order.fence <= last_order.fence:
        return 'a fencing token does not increase'
    if last_order.age < _LEASE_TICKS:
        return 'orders of two holders are too close'
    return ''


def _is_safe(system_state: SystemState) -> bool:
    return not system_state.violation
