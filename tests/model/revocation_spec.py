"""Model how VMs learn of the revocation of an API key.

The reader reads the store and the follower calls the reader. Messages may be
delayed or lost. A VM may be suspended, and its clock must count this time.
The model calls the staleness rules of the product.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.scheduling import is_fresh_enough, relayed_data_time_s
from tests.model.spec import build_protocol, replace_node

_MAX_DATA_AGE_TICKS = 2
_MAX_AGE_TICKS = 4


class DroppedRule(enum.StrEnum):
    """Name the rule that a faulty variant of the protocol drops."""

    NONE = 'none'
    READ_AGE_FROM_ANSWER = 'the age of a read starts at its response'
    RELAY_AGE_FROM_ANSWER = 'the age of relayed data ignores the time of a call'
    NO_AGE = 'the relay does not report the age of its data'
    SUSPENDED_CLOCK = 'a clock stops during a suspension'
    ALWAYS_FRESH = 'requests are accepted with data of any age'


@attrs.frozen(kw_only=True, cache_hash=True)
class Call:
    """Describe a pending read or call; ages are in ticks.

    ``age`` counts since it was sent, ``held_age`` since the relay received
    it. ``is_revoked`` is the answer, None until there is a response.
    ``reported_age`` is the age of the answer by the clock of the relay,
    ``reported_held_age`` how long the relay held the call.
    """

    age: int = 0
    held_age: int | None = None
    is_revoked: bool | None = None
    reported_age: int = 0
    reported_held_age: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class Node:
    """Hold whether a VM has read the revocation, and its data's age."""

    knows_revoked: bool = False
    age: int = _MAX_AGE_TICKS
    call: Call | None = None


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the reader, the follower and the age of the revocation."""

    nodes: tuple[Node, Node] = (Node(), Node())
    revoked_age: int | None = None
    is_violated: bool = False


class FreshnessSpec:
    """Generate the transitions, without the rule that a mutant drops."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model that lacks the rule of ``mutant``."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'freshness: {self.mutant.value}',
            SystemState(),
            self.steps,
            {'no request is accepted for a key revoked too long ago': _is_safe},
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and result of every possible transition."""
        if system_state.is_violated:
            return
        yield 'tick', _tick(system_state, suspended=None)
        if self.mutant is DroppedRule.SUSPENDED_CLOCK:
            yield 'reader is suspended', _tick(system_state, suspended=0)
            yield 'follower is suspended', _tick(system_state, suspended=1)
        if system_state.revoked_age is None:
            yield 'key is revoked', attrs.evolve(system_state, revoked_age=0)
        yield from self._reader_steps(system_state, system_state.nodes[0])
        yield from self._follower_steps(system_state, system_state.nodes[1])
        for number, node in enumerate(system_state.nodes):
            if self._may_accept(node):
                yield f'{number} runs', _accept_request(system_state)

    def _reader_steps(
        self,
        system_state: SystemState,
        reader: Node,
    ) -> Iterator[tuple[str, SystemState]]:
        call = reader.call
        if call is None:
            yield 'read is sent', replace_node(system_state, 0, call=Call())
            return
        if call.is_revoked is None:
            answered = attrs.evolve(
                call,
                is_revoked=system_state.revoked_age is not None,
            )
            yield 'store responds', replace_node(system_state, 0, call=answered)
            return
        counts_from_response = self.mutant is DroppedRule.READ_AGE_FROM_ANSWER
        age = 0 if counts_from_response else call.age
        yield (
            'read response arrives',
            _receive_response(
                system_state,
                0,
                is_revoked=call.is_revoked,
                age=age,
            ),
        )
        yield 'read response is lost', replace_node(system_state, 0, call=None)

    def _follower_steps(
        self,
        system_state: SystemState,
        follower: Node,
    ) -> Iterator[tuple[str, SystemState]]:
        call = follower.call
        if call is None:
            yield 'call is sent', replace_node(system_state, 1, call=Call())
        elif call.held_age is None:
            received = attrs.evolve(call, held_age=0)
            yield (
                'relay receives the call',
                replace_node(system_state, 1, call=received),
            )
        elif call.is_revoked is None:
            yield (
                'relay responds',
                replace_node(
                    system_state, 1, call=_respond(system_state, call)
                ),
            )
        else:
            age = self._relayed_age(call)
            yield (
                'call response arrives',
                _receive_response(
                    system_state,
                    1,
                    is_revoked=call.is_revoked,
                    age=age,
                ),
            )
            yield (
                'call response is lost',
                replace_node(system_state, 1, call=None),
            )

    def _relayed_age(self, call: Call) -> int:
        if self.mutant is DroppedRule.RELAY_AGE_FROM_ANSWER:
            return call.reported_age
        reported_age = (
            0 if self.mutant is DroppedRule.NO_AGE else call.reported_age
        )
        as_of = relayed_data_time_s(
            -call.age, call.reported_held_age, reported_age
        )
        return int(-as_of)

    def _may_accept(self, node: Node) -> bool:
        if node.knows_revoked:
            return False
        if self.mutant is DroppedRule.ALWAYS_FRESH:
            return True
        return is_fresh_enough(node.age, _MAX_DATA_AGE_TICKS)


def _respond(system_state: SystemState, call: Call) -> Call:
    reader = system_state.nodes[0]
    return attrs.evolve(
        call,
        is_revoked=reader.knows_revoked,
        reported_age=reader.age,
        reported_held_age=call.held_age or 0,
    )


def _receive_response(
    system_state: SystemState,
    number: int,
    *,
    is_revoked: bool,
    age: int,
) -> SystemState:
    node = system_state.nodes[number]
    return replace_node(
        system_state,
        number,
        knows_revoked=node.knows_revoked or is_revoked,
        age=min(node.age, age),
        call=None,
    )


def _accept_request(system_state: SystemState) -> SystemState:
    was_revoked_too_long = (
        system_state.revoked_age is not None
        and system_state.revoked_age > _MAX_DATA_AGE_TICKS
    )
    return attrs.evolve(system_state, is_violated=was_revoked_too_long)


def _tick(system_state: SystemState, *, suspended: int | None) -> SystemState:
    nodes = tuple(
        node if number == suspended else _advance(node)
        for number, node in enumerate(system_state.nodes)
    )
    revoked_age = system_state.revoked_age
    if revoked_age is not None:
        revoked_age = min(_MAX_AGE_TICKS, revoked_age + 1)
    return attrs.evolve(system_state, nodes=nodes, revoked_age=revoked_age)


def _advance(node: Node) -> Node:
    return attrs.evolve(
        node,
        age=min(_MAX_AGE_TICKS, node.age + 1),
        call=_advance_call(node.call),
    )


def _advance_call(call: Call | None) -> Call | None:
    """Advance the time of a call by one tick, or drop it at its timeout."""
    if call is None or call.age + 1 == _MAX_AGE_TICKS:
        return None
    is_at_relay = call.held_age is not None and call.is_revoked is None
    return attrs.evolve(
        call,
        age=call.age + 1,
        held_age=call.held_age + 1 if is_at_relay else call.held_age,
    )


def _is_safe(system_state: SystemState) -> bool:
    return not system_state.is_violated
