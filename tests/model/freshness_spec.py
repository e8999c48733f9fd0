"""Specify how a VM follows another one in knowing of keys taken away.

One VM reads the store, the other asks the first. Any message may take any
time. A VM may be suspended: its clock must count that. The rules of how old
an answer is are the product's own.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.scheduling import is_within, relayed_as_of_s
from tests.model.spec import build_protocol, put_node

_LIMIT = 2
_OLD = 4


class Mutant(enum.StrEnum):
    """Name one rule that is dropped."""

    NONE = 'none'
    READ_AGE_FROM_ANSWER = 'what was read counts as new when it arrives'
    RELAY_AGE_FROM_ANSWER = 'what was relayed counts from its arrival'
    NO_AGE = 'the relay does not tell how old its knowledge is'
    SUSPENDED_CLOCK = 'a clock does not count the time of a suspension'
    ALWAYS_FRESH = 'requests run whatever the age'


@attrs.frozen(kw_only=True, cache_hash=True)
class Call:
    """Hold a read or a call; ``told`` is set once it was answered.

    ``held`` counts from when the relay took the call. ``told_age`` is how
    old the answer was, by the clock of who gave it.
    """

    age: int = 0
    held: int | None = None
    told: bool | None = None
    told_age: int = 0
    told_held: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold what a VM knows: whether the key is gone, as of which age."""

    knows: bool = False
    age: int = _OLD
    call: Call | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class World:
    """Hold the reader, the follower and how long the key is gone."""

    nodes: tuple[Node, Node] = (Node(), Node())
    gone_age: int | None = None
    broken: bool = False


class FreshnessSpec:
    """Generate the transitions, with one rule dropped."""

    def __init__(self, *, mutant: Mutant = Mutant.NONE) -> None:
        """Drop the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'freshness: {self.mutant.value}',
            World(),
            self.steps,
            {'no request runs for a key long gone': _is_sound},
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every next state."""
        if world.broken:
            return
        yield 'tick', _tick(world, suspended=None)
        if self.mutant is Mutant.SUSPENDED_CLOCK:
            yield 'reader suspended', _tick(world, suspended=0)
            yield 'follower suspended', _tick(world, suspended=1)
        if world.gone_age is None:
            yield 'key taken away', attrs.evolve(world, gone_age=0)
        yield from self._reader_steps(world, world.nodes[0])
        yield from self._follower_steps(world, world.nodes[1])
        for number, node in enumerate(world.nodes):
            if self._may_run(node):
                yield f'{number} runs', _run(world)

    def _reader_steps(
        self,
        world: World,
        reader: Node,
    ) -> Iterator[tuple[str, World]]:
        call = reader.call
        if call is None:
            yield 'read sent', put_node(world, 0, call=Call())
            return
        if call.told is None:
            told = attrs.evolve(call, told=world.gone_age is not None)
            yield 'store answers', put_node(world, 0, call=told)
            return
        is_late = self.mutant is Mutant.READ_AGE_FROM_ANSWER
        age = 0 if is_late else call.age
        yield 'read arrives', _learn(world, 0, told=call.told, age=age)
        yield 'read lost', put_node(world, 0, call=None)

    def _follower_steps(
        self,
        world: World,
        follower: Node,
    ) -> Iterator[tuple[str, World]]:
        call = follower.call
        if call is None:
            yield 'call sent', put_node(world, 1, call=Call())
        elif call.held is None:
            taken = attrs.evolve(call, held=0)
            yield 'relay takes call', put_node(world, 1, call=taken)
        elif call.told is None:
            yield 'relay answers', put_node(world, 1, call=_told(world, call))
        else:
            age = self._relayed_age(call)
            yield 'answer arrives', _learn(world, 1, told=call.told, age=age)
            yield 'answer lost', put_node(world, 1, call=None)

    def _relayed_age(self, call: Call) -> int:
        if self.mutant is Mutant.RELAY_AGE_FROM_ANSWER:
            return call.told_age
        told_age = 0 if self.mutant is Mutant.NO_AGE else call.told_age
        as_of = relayed_as_of_s(-call.age, call.told_held, told_age)
        return int(-as_of)

    def _may_run(self, node: Node) -> bool:
        if node.knows:
            return False
        if self.mutant is Mutant.ALWAYS_FRESH:
            return True
        return is_within(node.age, _LIMIT)


def _told(world: World, call: Call) -> Call:
    reader = world.nodes[0]
    return attrs.evolve(
        call,
        told=reader.knows,
        told_age=reader.age,
        told_held=call.held or 0,
    )


def _learn(world: World, number: int, *, told: bool, age: int) -> World:
    node = world.nodes[number]
    return put_node(
        world,
        number,
        knows=node.knows or told,
        age=min(node.age, age),
        call=None,
    )


def _run(world: World) -> World:
    is_broken = world.gone_age is not None and world.gone_age > _LIMIT
    return attrs.evolve(world, broken=is_broken)


def _tick(world: World, *, suspended: int | None) -> World:
    nodes = tuple(
        node if number == suspended else _older(node)
        for number, node in enumerate(world.nodes)
    )
    gone_age = world.gone_age
    if gone_age is not None:
        gone_age = min(_OLD, gone_age + 1)
    return attrs.evolve(world, nodes=nodes, gone_age=gone_age)


def _older(node: Node) -> Node:
    return attrs.evolve(
        node,
        age=min(_OLD, node.age + 1),
        call=_older_call(node.call),
    )


def _older_call(call: Call | None) -> Call | None:
    """Let time pass for a call; one that takes too long is given up."""
    if call is None or call.age + 1 == _OLD:
        return None
    is_held = call.held is not None and call.told is None
    return attrs.evolve(
        call,
        age=call.age + 1,
        held=call.held + 1 if is_held else call.held,
    )


def _is_sound(world: World) -> bool:
    return not world.broken
