"""Specify orders to load weights that are carried out late.

Two VMs order in turn, one of which has not heard of the newest version. An
order may be carried out at any later time, and its answer may be lost. Which
engines are outdated is decided by the product.
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


class Mutant(enum.StrEnum):
    """Name one rule that is dropped."""

    NONE = 'none'
    NO_EXPECTATION = 'an order does not say how many came before it'
    ANY_ENGINE = 'engines on newer weights are ordered too'
    GUESSED_COUNT = 'the number of orders is counted, not reported'


@attrs.frozen(kw_only=True, cache_hash=True)
class Order:
    """Hold an order on its way; ``expected`` is None for any number."""

    version: int
    expected: int | None


@attrs.frozen(kw_only=True, cache_hash=True)
class Holder:
    """Hold what a VM heard: the target and the engine's last report."""

    target: int
    version: int = 1
    count: int | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class World:
    """Hold the engine, the VMs and the orders on their way."""

    version: int = 1
    count: int = 0
    holders: tuple[Holder, ...] = (Holder(target=2), Holder(target=_NEWEST))
    orders: tuple[Order, ...] = ()
    sent: int = 0
    fell: bool = False


class LateOrdersSpec:
    """Generate the transitions, with one rule dropped."""

    def __init__(self, *, mutant: Mutant = Mutant.NONE) -> None:
        """Drop the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'late orders: {self.mutant.value}',
            World(),
            self.steps,
            {'weights never fall': _is_sound},
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every next state."""
        if world.fell:
            return
        for number, holder in enumerate(world.holders):
            reported = attrs.evolve(
                holder,
                version=world.version,
                count=world.count,
            )
            yield f'{number} is told', _put(world, number, reported)
            if self._may_order(world, holder):
                yield f'{number} orders', self._order(world, number, holder)
        for position, order in enumerate(world.orders):
            yield 'order arrives', self._arrive(world, position, order)

    def _may_order(self, world: World, holder: Holder) -> bool:
        if world.sent >= _MAX_ORDERS or holder.count is None:
            return False
        if self.mutant is Mutant.ANY_ENGINE:
            return True
        view = EngineView(
            id='e',
            service='s',
            address='',
            zone='z',
            slots=1,
            weights={_MODEL: holder.version},
        )
        return bool(outdated_engines([view], _MODEL, holder.target))

    def _order(self, world: World, number: int, holder: Holder) -> World:
        is_unsaid = self.mutant is Mutant.NO_EXPECTATION
        order = Order(
            version=holder.target,
            expected=None if is_unsaid else holder.count,
        )
        count = None
        if self.mutant is Mutant.GUESSED_COUNT:
            count = holder.count + 1
        sent = attrs.evolve(
            world,
            orders=(*world.orders, order),
            sent=world.sent + 1,
        )
        return _put(sent, number, attrs.evolve(holder, count=count))

    def _arrive(self, world: World, position: int, order: Order) -> World:
        left = world.orders[:position] + world.orders[position + 1 :]
        if order.expected not in {None, world.count}:
            return attrs.evolve(world, orders=left)
        return attrs.evolve(
            world,
            orders=left,
            version=order.version,
            count=world.count + 1,
            fell=order.version < world.version,
        )


def _put(world: World, number: int, holder: Holder) -> World:
    holders = list(world.holders)
    holders[number] = holder
    return attrs.evolve(world, holders=tuple(holders))


def _is_sound(world: World) -> bool:
    return not world.fell
