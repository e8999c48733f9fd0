"""Check freshness and late orders exhaustively, refute each mutant."""

import pytest
from minicheck import check_safety

from tests.model import freshness_spec, late_orders_spec
from tests.model.freshness_spec import FreshnessSpec
from tests.model.late_orders_spec import LateOrdersSpec

_MAX_STATES = 400_000
_MUTANTS = (
    *(
        FreshnessSpec(mutant=mutant)
        for mutant in freshness_spec.Mutant
        if mutant is not freshness_spec.Mutant.NONE
    ),
    *(
        LateOrdersSpec(mutant=mutant)
        for mutant in late_orders_spec.Mutant
        if mutant is not late_orders_spec.Mutant.NONE
    ),
)


@pytest.mark.parametrize('spec', [FreshnessSpec(), LateOrdersSpec()])
def test_rules_hold(spec):
    checked = check_safety(spec.protocol(), max_states=_MAX_STATES)
    assert checked['exhaustive'], checked
    for name, found in checked['properties'].items():
        assert found['holds'] is True, (name, found)


@pytest.mark.parametrize('spec', _MUTANTS, ids=lambda spec: spec.mutant.value)
def test_mutant_is_refuted(spec):
    checked = check_safety(spec.protocol(), max_states=_MAX_STATES)
    holds = [found['holds'] for found in checked['properties'].values()]
    assert False in holds, f'{spec.mutant.value} was not refuted'
