"""Check the model of the weights lease, and refute each mutant."""

import pytest

from tests.model.spec import assert_holds, assert_refuted
from tests.model.weights_lease_spec import (
    DroppedRule,
    SystemState,
    WeightsLeaseSpec,
)

_MAX_MUTANT_STATES = 400_000
_MUTANTS = tuple(
    mutant for mutant in DroppedRule if mutant is not DroppedRule.NONE
)


def test_lease_holds():
    assert_holds(WeightsLeaseSpec().protocol())


@pytest.mark.parametrize('mutant', _MUTANTS)
def test_mutant_is_refuted(mutant):
    protocol = WeightsLeaseSpec(mutant=mutant).protocol()
    assert_refuted(protocol, _MAX_MUTANT_STATES)


def test_a_second_holder_is_reached():
    """Guard against a property that holds only because no VM takes over."""
    spec = WeightsLeaseSpec()
    frontier = [SystemState()]
    seen = {SystemState()}
    while frontier:
        world = frontier.pop()
        if world.last_order is not None and len(set(world.log)) == 2:
            if world.log[world.last_order.fence] != world.log[0]:
                return
        for _, following in spec.steps(world):
            if following not in seen:
                seen.add(following)
                frontier.append(following)
    pytest.fail('no second holder sent an order')
