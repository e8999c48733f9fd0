"""Check for how long requests wait on the chance that a gap is a silence.

The load: engines that served short requests stop at once, with a queue behind
them. Sound ones go on after a second; who has waited for half of its time is
refused, so that it can try elsewhere.
"""

import pytest

from arbutusbay.admission import ExpectedPlaces, StartPredictor
from tests.unit.test_admission_review import FewPlacer
from tests.unit.test_dispatcher import (
    clock,
    dispatcher,
    is_refused,
    pass_time,
    place_at,
)

__all__ = ('clock', 'dispatcher')

_HOLDING_S = 0.3
_PATIENCE_S = 2.4
_TURN_S = 0.02
_QUEUED = 3


# Guards against requests that bet most of their time on a silence.
async def test_request_is_refused_in_a_gap_of_half_of_its_time(
    dispatcher, clock
):
    placer = FewPlacer()
    placer.holding_s = _HOLDING_S
    dispatcher.placer = placer
    for index in range(placer.slots):
        await place_at(dispatcher, clock, f'placed{index}')
    tasks = [
        await place_at(dispatcher, clock, f'waiting{index}')
        for index in range(_QUEUED)
    ]
    await pass_time(dispatcher, clock, seconds=1.0)
    assert not [task for task in tasks if is_refused(task)]
    await pass_time(dispatcher, clock, seconds=_PATIENCE_S / 2 - 1 + _TURN_S)
    assert all(is_refused(task) for task in tasks)


# Guards against a refusal for a silence that has ended: only the open gap may
# be more than that.
@pytest.mark.parametrize('silence_s', [0.3, 0.9])
def test_ended_silence_lowers_no_rate(silence_s):
    predictor = StartPredictor()
    expected = ExpectedPlaces(places=2, within_s=0.2)
    now_s = 100.0
    predictor.record_waiting(4, now_s)
    predictor.rate(now_s, expected)
    now_s += silence_s
    predictor.rate(now_s, expected)
    predictor.record_place(now_s)
    rates = [
        predictor.rate(now_s, expected, awaits_silence=awaits_silence)
        for awaits_silence in (False, True)
    ]
    assert rates[0].sound_mean == rates[1].sound_mean
    assert rates[0].sound_mean > rates[0].mean
