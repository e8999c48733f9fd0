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
from tests.model.spec import assert_holds, assert_refuted

_MUTANTS = tuple(
    mutant for mutant in DroppedRule if mutant is not DroppedRule.NONE
)


def test_ledger_holds():
    assert_holds(LedgerSpec().protocol())


@pytest.mark.parametrize('mutant', _MUTANTS)
def test_mutant_is_refuted(mutant):
    assert_refuted(LedgerSpec(mutant=mutant).protocol())


@pytest.mark.parametrize(
    'reached',
    [
        lambda world: _reported_outcomes(world) == {ReportedOutcome.COMPLETE},
        lambda world: ReportedOutcome.NOT_RUN in _reported_outcomes(world),
        lambda world: any(
            attempt.step is Step.FOLLOWED
            and attempt.reported_outcome is ReportedOutcome.COMPLETE
            for attempt in world.attempts
        ),
        lambda world: (
            world.runs == 1
            and ReportedOutcome.NOT_RUN in _reported_outcomes(world)
        ),
    ],
)
def test_ledger_is_not_vacuous(reached):
    seen = {SystemState()}
    frontier = [SystemState()]
    while frontier:
        world = frontier.pop()
        if reached(world):
            return
        for _, following in LedgerSpec().steps(world):
            if following not in seen:
                seen.add(following)
                frontier.append(following)
    pytest.fail('no transition sequence reaches the state')


def _reported_outcomes(world: SystemState) -> set[ReportedOutcome]:
    return {attempt.reported_outcome for attempt in world.attempts}
