"""Check the lease for weights orders exhaustively, refute each mutant."""

import pytest
from minicheck import check_safety

from tests.model.weights_lease_spec import Mutant, WeightsLeaseSpec, World

_MAX_STATES = 400_000
_MUTANTS = tuple(mutant for mutant in Mutant if mutant is not Mutant.NONE)


def test_lease_holds():
    checked = check_safety(
        WeightsLeaseSpec().protocol(),
        max_states=_MAX_STATES,
    )
    assert checked['exhaustive'], checked
    for name, found in checked['properties'].items():
        assert found['holds'] is True, (name, found)


@pytest.mark.parametrize('mutant', _MUTANTS)
def test_mutant_is_refuted(mutant):
    checked = check_safety(
        WeightsLeaseSpec(mutant=mutant).protocol(),
        max_states=_MAX_STATES,
    )
    holds = [found['holds'] for found in checked['properties'].values()]
    assert False in holds, f'{mutant.value} was not refuted'


def test_a_second_holder_is_reached():
    """The property would hold for nothing if nobody ever took over."""
    spec = WeightsLeaseSpec()
    frontier = [World()]
    seen = {World()}
    while frontier:
        world = frontier.pop()
        if world.last is not None and len(set(world.log)) == 2:
            if world.log[world.last.fence] != world.log[0]:
                return
        for _, following in spec.steps(world):
            if following not in seen:
                seen.add(following)
                frontier.append(following)
    pytest.fail('no second holder ever gave an order')
