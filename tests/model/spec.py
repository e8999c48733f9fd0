"""Build protocols for the model checker and check their properties.

A specification consists of an initial system state, a function that yields
the possible next states, and properties that must hold in every state.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from minicheck import Protocol, check_safety

_MAX_STATES = 400_000
_MAX_MUTANT_STATES = 20_000  # a counterexample needs no exhaustive search


def build_protocol(
    name: str,
    initial: Any,
    steps: Callable[[Any], Iterable[tuple[str, Any]]],
    properties: Mapping[str, Callable[[Any], bool]],
) -> Protocol:
    """Return a protocol whose only variable is the whole system state.

    ``steps`` yields a label and the next state for each possible step.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=('world',),
        initial=(initial,),
        transitions=lambda state: [
            (label, (next_state,)) for label, next_state in steps(state[0])
        ],
        invariants={
            title: _as_invariant(holds) for title, holds in properties.items()
        },
    )


def _as_invariant(
    holds: Callable[[Any], bool],
) -> Callable[[Mapping[str, Any]], bool]:
    return lambda state: holds(state['world'])


def assert_all_properties_hold(protocol: Protocol) -> None:
    """Check every property in all reachable states."""
    report = check_safety(protocol, max_states=_MAX_STATES)
    assert report['exhaustive'], report
    for name, verdict in report['properties'].items():
        assert verdict['holds'] is True, (name, verdict)


def assert_some_property_fails(
    protocol: Protocol,
    max_states: int = _MAX_MUTANT_STATES,
) -> None:
    """Check that a reachable state violates a property."""
    report = check_safety(protocol, max_states=max_states)
    holds = [verdict['holds'] for verdict in report['properties'].values()]
    assert False in holds, f'{protocol.name} was not refuted'


def replace_node(system_state: Any, number: int, **changes: object) -> Any:
    """Return ``system_state`` with one node changed."""
    nodes = list(system_state.nodes)
    nodes[number] = attrs.evolve(nodes[number], **changes)
    return attrs.evolve(system_state, nodes=tuple(nodes))
