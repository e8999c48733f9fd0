"""Check that no cell of troubles beside changes loses a request by the rule.

The long form, ``LONG_CELLS`` for ``LONG_SEEDS``, is played by hand.
"""

import itertools
from http import HTTPStatus

import pytest

from tests.cells_beside_changes import CELLS, SIGNALS, play_cell
from tests.rule_counting import read_log

LONG_CELLS = tuple(itertools.product(CELLS, SIGNALS))
LONG_SEEDS = range(1, 5)
_SHORT_CELLS = (
    ('deaf-cold', 'hup', 1),
    ('silence-releases', 'term', 1),
    ('kill', 'none', 1),
    ('crash', 'hup', 1),
    ('memory', 'none', 1),
)
_DURATION_S = 2.0
_MIN_ANSWERS = 20


# Guards against a whole request with neither an answer nor a refusal beside a
# changed configuration, a signal and a trouble of the users' letters.
@pytest.mark.parametrize(('cell', 'sent_signal', 'seed'), _SHORT_CELLS)
async def test_cell_loses_no_request(fleet, http, cell, sent_signal, seed):
    outcomes, losses = await play_cell(
        fleet,
        http,
        cell=cell,
        sent_signal=sent_signal,
        seed=seed,
        duration_s=_DURATION_S,
    )
    answers = [
        outcome for outcome in outcomes if outcome.status == HTTPStatus.OK
    ]
    assert len(answers) > _MIN_ANSWERS
    assert not [(loss, read_log(fleet, loss.attempt_id)) for loss in losses]
