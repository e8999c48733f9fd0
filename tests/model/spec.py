"""Turn a specification of worlds and steps into a checkable protocol."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from minicheck import Protocol


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
