"""Test which prompt segments are blamed for the ends of engines."""

import pytest

from arbutusbay.quarantine import (
    AnswerTotals,
    EngineEnd,
    Suspect,
    find_culprits,
    segment_key,
)
from arbutusbay.quarantine._types import model_key
from tests.quarantine_world import (
    FATAL_KEY,
    MODEL,
    World,
    WorldOptions,
)

_CONTACT_S = 3.0
_MAX_REFUSED_SHARE = 0.01
_COMMON_KEY = segment_key(MODEL, 'common')
_RARE_KEY = segment_key(MODEL, 'rare')
_KILL_TIMES_S = tuple(3 + 0.7 * number for number in range(14))


def build_end(ended_s, *keys, is_starting=True) -> EngineEnd:
    """Return an end under one request, whose segments are ``keys``."""
    return EngineEnd(
        ended_s=ended_s,
        suspects={
            key: Suspect(depth=depth, is_starting=is_starting)
            for depth, key in enumerate(keys)
        },
    )


def build_answers(**counts_and_starts):
    """Return a lookup of responses, by segment: their count and last start."""
    totals = {
        segment_key(MODEL, name): AnswerTotals(
            count=count, latest_start_s=latest_start_s
        )
        for name, (count, latest_start_s) in counts_and_starts.items()
    }
    totals[model_key(MODEL)] = AnswerTotals(
        count=1000,
        latest_start_s=max(
            (known.latest_start_s for known in totals.values()), default=0.0
        ),
    )
    return lambda key: totals.get(key, AnswerTotals())


def test_segment_without_responses_is_blamed_and_the_common_one_is_not():
    ends = [build_end(number, _COMMON_KEY, FATAL_KEY) for number in range(3)]
    answers_of = build_answers(common=(50, 2.5))
    assert find_culprits(ends, answers_of) == [FATAL_KEY]
    assert not find_culprits(ends[:2], answers_of)


def test_deeper_segment_is_blamed_if_none_had_a_response():
    ends = [build_end(number, _COMMON_KEY, FATAL_KEY) for number in range(3)]
    assert find_culprits(ends, build_answers()) == [FATAL_KEY]


# Guards against sound prompts that were near when engines ended under another.
def test_end_that_one_segment_explains_speaks_against_no_other():
    ends = [
        build_end(number, _COMMON_KEY, _RARE_KEY, FATAL_KEY)
        for number in range(3)
    ]
    ends.append(build_end(5, _COMMON_KEY, FATAL_KEY))
    answers_of = build_answers(common=(50, 6.0))
    assert find_culprits(ends, answers_of) == [FATAL_KEY]
    assert not find_culprits(ends, answers_of, [FATAL_KEY])


def test_engines_that_end_at_once_are_one_incident():
    ends = [
        build_end(1 + number / 1000, _COMMON_KEY, _RARE_KEY)
        for number in range(9)
    ]
    assert not find_culprits(ends, build_answers())


def test_request_whose_response_had_not_started_counts_half():
    ends = [
        build_end(number, FATAL_KEY, is_starting=False) for number in range(6)
    ]
    assert not find_culprits(ends[:5], build_answers())
    assert find_culprits(ends, build_answers()) == [FATAL_KEY]


def test_segment_that_was_sound_is_blamed_once_it_has_turned_bad():
    ends = [build_end(10 + number, FATAL_KEY) for number in range(4)]
    sound_before = build_answers(fatal=(90, 9.0), common=(90, 14.0))
    assert find_culprits(ends, sound_before) == [FATAL_KEY]
    sound_since = build_answers(fatal=(90, 12.5), common=(90, 14.0))
    assert not find_culprits(ends, sound_since)


def test_two_bad_segments_are_both_blamed():
    ends = [build_end(number, _COMMON_KEY, FATAL_KEY) for number in range(3)]
    ends.extend(
        build_end(10 + number, _COMMON_KEY, _RARE_KEY) for number in range(3)
    )
    answers_of = build_answers(common=(50, 20.0))
    assert set(find_culprits(ends, answers_of)) == {FATAL_KEY, _RARE_KEY}


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'options',
    [
        WorldOptions(),
        WorldOptions(fatal_rate=10.0, lost_reports=0.3),
        WorldOptions(vms=1, engines=3),
        WorldOptions(sound_rate=3.0, fatal_rate=1.0),
        WorldOptions(fatal_from_s=0.0, hot_segments=1),
        WorldOptions(was_sound=True),
        WorldOptions(vms=3, cut_pairs=((0, 1),)),
    ],
)
def test_fatal_segment_is_found_in_time_and_no_sound_one(options, seed):
    world = World(seed, options)
    world.run()
    assert world.later_arrivals(_CONTACT_S) <= 3
    assert not world.quarantined_sound
    assert world.refused_sound <= _MAX_REFUSED_SHARE * world.sound


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(('share', 'fatal_rate'), [(0.3, 0.0), (0.3, 3.0)])
def test_engines_that_end_for_other_reasons_blame_no_sound_segment(
    share, fatal_rate, seed
):
    options = WorldOptions(
        fatal_rate=fatal_rate,
        kill_times_s=_KILL_TIMES_S,
        killed_share=share,
        duration_s=15.0,
    )
    world = World(seed, options)
    world.run()
    assert not world.quarantined_sound
    assert world.later_arrivals(_CONTACT_S) <= 3
