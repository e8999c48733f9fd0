"""Check how calls to plain servers wait for a slot at this VM.

The loads: twice as many calls as the slots of the servers serve, a second in
which sound servers answer nothing, and calls for which the slots suffice.
"""

import random

import pytest

from arbutusbay.scheduling import Attempt, Occupancy, choose_plain_server
from tests.queued_calls import TURN_S, build_desk
from tests.unit.test_dispatcher import clock
from tests.unit.test_engine_placement import NOW_S, build_view

__all__ = ('clock',)

_SLOTS = 2
_SERVICE_S = 0.4
_TIME_S = 1.0
_BETWEEN_S = 0.1
_CALLS = 60
_SILENCE_S = 1.0
_SHORT_SERVICE_S = 0.06
_LONG_TIME_S = 1.9
_SERVED_SHARE = 0.9


# Guards against calls that wait at a server until their deadline, and against
# slots that stay free as calls are refused.
async def test_calls_beyond_the_slots_are_refused_in_time(clock):
    desk = build_desk(clock, _SERVICE_S)
    for _ in range(_CALLS):
        await desk.call(time_s=_TIME_S)
        await desk.run(_BETWEEN_S)
    await desk.run(_TIME_S)
    sent = [call for call in desk.calls if call.is_sent]
    refused = [call for call in desk.calls if call.refusal]
    assert len(sent) + len(refused) == _CALLS
    within = _CALLS * _BETWEEN_S * _SLOTS / _SERVICE_S
    assert _SERVED_SHARE * within <= len(sent) <= within + 2 * _SLOTS
    latest_s = _TIME_S - _SERVICE_S + TURN_S
    assert max(call.waited_s for call in desk.calls) <= latest_s


# Guards against calls that wait although the slots suffice.
async def test_call_for_which_slots_suffice_is_sent_at_once(clock):
    desk = build_desk(clock, _SERVICE_S)
    for _ in range(_CALLS):
        call = await desk.call(time_s=_TIME_S)
        assert call.is_sent
        await desk.run(_SERVICE_S / _SLOTS + TURN_S)


# Guards against a less urgent call that gets a slot first.
async def test_urgent_call_goes_first(clock):
    desk = build_desk(clock, _SERVICE_S)
    for _ in range(_SLOTS):
        await desk.call(time_s=_TIME_S)
    await desk.run(_SERVICE_S / 2)
    normal = await desk.call(time_s=_TIME_S)
    later = await desk.call(time_s=_TIME_S)
    urgent = await desk.call(time_s=_TIME_S, priority=0)
    await desk.run(_SERVICE_S)
    assert urgent.is_sent
    assert sum(call.is_sent for call in (normal, later)) <= 1


# Guards against refusals as sound servers answer nothing for a second.
async def test_silence_of_a_second_refuses_no_call(clock):
    desk = build_desk(clock, _SHORT_SERVICE_S)
    for _ in range(8):
        await desk.call(time_s=_LONG_TIME_S)
        await desk.run(_SILENCE_S / 8, is_silent=True)
    for _ in range(12):
        await desk.call(time_s=_LONG_TIME_S)
    await desk.run(_LONG_TIME_S)
    assert all(call.is_sent for call in desk.calls)


@pytest.mark.parametrize(
    ('own', 'others', 'slots', 'has_capacity'),
    [
        (1, 0, _SLOTS, True),
        (1, 1, _SLOTS, False),
        (_SLOTS, 0, _SLOTS, False),
        # Nothing would show this VM that a slot comes free.
        (0, _SLOTS, _SLOTS, True),
        # A server that names no slots.
        (1, _SLOTS, 0, True),
    ],
)
def test_call_waits_while_all_slots_are_taken(own, others, slots, has_capacity):
    server = build_view('desk', slots=slots)
    for _ in range(own):
        server.occupancy.open_attempt(Attempt(sent_s=NOW_S))
    server.occupancy.record_report('vm-2', Occupancy(attempts=others), NOW_S)
    choice = choose_plain_server(
        [server], own_zone='plateau', now_s=NOW_S, rng=random.Random(1)
    )
    assert choice.has_capacity is has_capacity
