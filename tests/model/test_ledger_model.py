"""Check the ledger model exhaustively.

Dropping any rule of the protocol must violate one of its properties.
"""

import pytest

from tests.model.ledger_spec import (
    DroppedRule,
    LedgerSpec,
    ReportedOutcome,
    Step,
    SystemState,
)
from tests.model.spec import (
    assert_all_properties_hold,
    assert_some_property_fails,
)

_MUTANTS = tuple(
    mutant for mutant in DroppedRule if mutant is not DroppedRule.NONE
)


def test_ledger_holds():
    assert_all_properties_hold(LedgerSpec().protocol())


@pytest.mark.parametrize('mutant', _MUTANTS)
def test_mutant_is_refuted(mutant):
    assert_some_property_fails(LedgerSpec(mutant=mutant).protocol())


@pytest.mark.parametrize(
    'is_target_state',
    [
        lambda system_state: (
            _reported_outcomes(system_state) == {ReportedOutcome.COMPLETE}
        ),
        lambda system_state: (
            ReportedOutcome.NOT_RUN in _reported_outcomes(system_state)
        ),
        lambda system_state: any(
            attempt.step is Step.FOLLOWED
            and attempt.reported_outcome is ReportedOutcome.COMPLETE
            for attempt in system_state.attempts
        ),
        lambda system_state: (
            system_state.runs == 1
            and ReportedOutcome.NOT_RUN in _reported_outcomes(system_state)
        ),
    ],
)
def test_ledger_is_not_vacuous(is_target_state):
    seen = {SystemState()}
    frontier = [SystemState()]
    while frontier:
        system_state = frontier.pop()
        if is_target_state(system_state):
            return
        for _, following in LedgerSpec().steps(system_state):
            if following not in seen:
                seen.add(following)
                frontier.append(following)
    pytest.fail('no transition sequence reaches the state')


def _reported_outcomes(system_state: SystemState) -> set[ReportedOutcome]:
    return {attempt.reported_outcome for attempt in system_state.attempts}
