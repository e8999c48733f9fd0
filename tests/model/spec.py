"""Turn a specification of worlds and steps into a checkable protocol."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from minicheck import Protocol, check_safety

_MAX_STATES = 400_000
_MAX_MUTANT_STATES = 20_000  # a refutation needs no whole sweep


def build_protocol(
    name: str,
    initial: Any,
    steps: Callable[[Any], Iterable[tuple[str, Any]]],
    properties: Mapping[str, Callable[[Any], bool]],
) -> Protocol:
    """Return a protocol whose only state variable is the world."""
    return Protocol(
        name=name,
        candidate=False,
        fields=('world',),
        initial=(initial,),
        transitions=lambda state: [
            (label, (world,)) for label, world in steps(state[0])
        ],
        invariants={
            title: _on_world(holds) for title, holds in properties.items()
        },
    )


def _on_world(
    holds: Callable[[Any], bool],
) -> Callable[[Mapping[str, Any]], bool]:
    return lambda state: holds(state['world'])


def assert_holds(protocol: Protocol) -> None:
    """Check that every property holds in every state."""
    checked = check_safety(protocol, max_states=_MAX_STATES)
    assert checked['exhaustive'], checked
    for name, found in checked['properties'].items():
        assert found['holds'] is True, (name, found)


def assert_refuted(
    protocol: Protocol,
    max_states: int = _MAX_MUTANT_STATES,
) -> None:
    """Check that some property fails in some state."""
    checked = check_safety(protocol, max_states=max_states)
    holds = [found['holds'] for found in checked['properties'].values()]
    assert False in holds, f'{protocol.name} was not refuted'


def replace_node(world: Any, number: int, **changes: object) -> Any:
    """Return ``world`` with one of its nodes changed."""
    nodes = list(world.nodes)
    nodes[number] = attrs.evolve(nodes[number], **changes)
    return attrs.evolve(world, nodes=tuple(nodes))
