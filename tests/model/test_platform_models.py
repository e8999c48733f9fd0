"""Check the models of the platform's edge, and refute each mutant."""

import pytest

from tests.model import (
    delayed_orders_spec,
    revocation_spec,
    spread_spec,
    verdict_spec,
)
from tests.model.delayed_orders_spec import LateOrdersSpec
from tests.model.revocation_spec import FreshnessSpec
from tests.model.spec import (
    assert_all_properties_hold,
    assert_some_property_fails,
)
from tests.model.spread_spec import SpreadSpec
from tests.model.verdict_spec import VerdictSpec

_MUTANTS = (
    *(
        FreshnessSpec(mutant=mutant)
        for mutant in revocation_spec.DroppedRule
        if mutant is not revocation_spec.DroppedRule.NONE
    ),
    *(
        LateOrdersSpec(mutant=mutant)
        for mutant in delayed_orders_spec.DroppedRule
        if mutant is not delayed_orders_spec.DroppedRule.NONE
    ),
    *(
        SpreadSpec(mutant=mutant)
        for mutant in spread_spec.DroppedRule
        if mutant is not spread_spec.DroppedRule.NONE
    ),
    *(
        VerdictSpec(mutant=mutant)
        for mutant in verdict_spec.DroppedRule
        if mutant is not verdict_spec.DroppedRule.NONE
    ),
)


@pytest.mark.parametrize(
    'spec', [FreshnessSpec(), LateOrdersSpec(), SpreadSpec(), VerdictSpec()]
)
def test_rules_hold(spec):
    assert_all_properties_hold(spec.protocol())


@pytest.mark.parametrize('spec', _MUTANTS, ids=lambda spec: spec.mutant.value)
def test_mutant_is_refuted(spec):
    assert_some_property_fails(spec.protocol())
