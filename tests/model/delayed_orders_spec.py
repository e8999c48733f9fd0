"""Model orders to load weights that an engine executes late.

Two VMs send orders, and one of them has not read the newest version. An
order may be executed at any later time, and its response may be lost. The
model calls the product to select outdated engines.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.scheduling import EngineView, outdated_engines
from tests.model.spec import build_protocol

_MODEL = 'm'
_NEWEST = 3
_MAX_ORDERS = 4


class DroppedRule(enum.StrEnum):
    """Name the rule that a faulty variant of the protocol drops."""

    NONE = 'none'
    NO_EXPECTATION = 'an order does not name the expected order count'
    ANY_ENGINE = 'orders are also sent to engines with newer weights'
    GUESSED_COUNT = 'a VM counts the orders itself instead of using a report'


@attrs.frozen(kw_only=True, cache_hash=True)
class Order:
    """Describe a pending order.

    The engine executes it only if it has executed ``expected_count`` orders
    so far; None matches any number.
    """

    version: int
    expected_count: int | None


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold the view of a VM: the target and the engine's last report.

    ``count`` is the reported number of executed orders, None if unknown.
    """

    target: int
    version: int = 1
    count: int | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the engine, the VMs and the pending orders.

    ``version`` and ``count`` are the engine's weights version and number of
    executed orders.
    """

    version: int = 1
    count: int = 0
    nodes: tuple[Node, ...] = (Node(target=2), Node(target=_NEWEST))
    pending_orders: tuple[Order, ...] = ()
    sent_count: int = 0
    has_decreased: bool = False


class LateOrdersSpec:
    """Generate the transitions, without the rule that a mutant drops."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model that lacks the rule of ``mutant``."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'late orders: {self.mutant.value}',
            SystemState(),
            self.steps,
            {'the weights version never decreases': _is_safe},
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and result of every possible transition."""
        if system_state.has_decreased:
            return
        for number, node in enumerate(system_state.nodes):
            reported = attrs.evolve(
                node,
                version=system_state.version,
                count=system_state.count,
            )
            yield (
                f'{number} receives a report',
                _replace_node(system_state, number, reported),
            )
            if self._may_order(system_state, node):
                yield (
                    f'{number} orders',
                    self._order(system_state, number, node),
                )
        for position, order in enumerate(system_state.pending_orders):
            yield 'order arrives', self._execute(system_state, position, order)

    def _may_order(self, system_state: SystemState, node: Node) -> bool:
        if system_state.sent_count >= _MAX_ORDERS or node.count is None:
            return False
        if self.mutant is DroppedRule.ANY_ENGINE:
            return True
        view = EngineView(
            id='e',
            service='s',
            address='',
            zone='z',
            slots=1,
            weights={_MODEL: node.version},
        )
        return bool(outdated_engines([view], _MODEL, node.target))

    def _order(
        self, system_state: SystemState, number: int, node: Node
    ) -> SystemState:
        omits_count = self.mutant is DroppedRule.NO_EXPECTATION
        order = Order(
            version=node.target,
            expected_count=None if omits_count else node.count,
        )
        count = None
        if self.mutant is DroppedRule.GUESSED_COUNT:
            count = node.count + 1
        sent = attrs.evolve(
            system_state,
            pending_orders=(*system_state.pending_orders, order),
            sent_count=system_state.sent_count + 1,
        )
        return _replace_node(
            sent,
            number,
            attrs.evolve(node, count=count),
        )

    def _execute(
        self, system_state: SystemState, position: int, order: Order
    ) -> SystemState:
        remaining = (
            system_state.pending_orders[:position]
            + system_state.pending_orders[position + 1 :]
        )
        if order.expected_count not in {None, system_state.count}:
            return attrs.evolve(system_state, pending_orders=remaining)
        return attrs.evolve(
            system_state,
            pending_orders=remaining,
            version=order.version,
            count=system_state.count + 1,
            has_decreased=order.version < system_state.version,
        )


def _replace_node(
    system_state: SystemState, number: int, node: Node
) -> SystemState:
    nodes = list(system_state.nodes)
    nodes[number] = node
    return attrs.evolve(system_state, nodes=tuple(nodes))


def _is_safe(system_state: SystemState) -> bool:
    return not system_state.has_decreased
