"""Check which outcomes count as lost."""

import pytest

from tests.kept_clients import Outcome
from tests.rule_counting import is_lost


def _outcome(**changes) -> Outcome:
    fields = {
        'attempt_id': 'a',
        'path': '/order/1',
        'status': 0,
        'is_whole': False,
        'waited_s': 0.1,
    }
    return Outcome(**{**fields, **changes})


# Guards against a count that leaves out requests on kept connections that no
# engine has seen.
@pytest.mark.parametrize(
    ('waited_s', 'was_passed_on', 'counts'),
    [
        (0.1, False, False),
        (0.2, False, False),
        (0.21, False, True),
        (0.1, True, True),
        (1.99, True, True),
        (2.0, True, False),
        (2.0, False, False),
    ],
)
@pytest.mark.parametrize('is_first', [True, False])
def test_end_without_an_answer_counts(
    waited_s, was_passed_on, counts, is_first
):
    outcome = _outcome(waited_s=waited_s, is_first=is_first)
    assert is_lost(outcome, was_passed_on=was_passed_on, limit_s=2.0) is counts


# Guards against a stream that is cut midway and passes as answered.
@pytest.mark.parametrize('is_whole', [True, False])
def test_begun_answer_counts_unless_whole(is_whole):
    outcome = _outcome(status=200, is_whole=is_whole, waited_s=1.0)
    assert is_lost(outcome, was_passed_on=True) is not is_whole
