"""Check the models of freshness and late orders, and refute each mutant."""

import pytest

from tests.model import freshness_spec, late_orders_spec
from tests.model.freshness_spec import FreshnessSpec
from tests.model.late_orders_spec import LateOrdersSpec
from tests.model.spec import assert_holds, assert_refuted

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
    assert_holds(spec.protocol())


@pytest.mark.parametrize('spec', _MUTANTS, ids=lambda spec: spec.mutant.value)
def test_mutant_is_refuted(spec):
    assert_refuted(spec.protocol())
