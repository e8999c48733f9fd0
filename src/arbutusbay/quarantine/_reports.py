"""Build the reports of a process about suspected segments.

A report is bounded, whatever happens, and empty while no engine ends.
"""

from collections.abc import Mapping

import attrs

from arbutusbay.quarantine._attribution import SoundResponses, blame_of
from arbutusbay.quarantine._evidence import Evidence
from arbutusbay.quarantine._types import (
    AnswerTotals,
    EngineEnd,
    SegmentKey,
    Suspect,
    Verdict,
    model_key,
)
from arbutusbay.quarantine._verdicts import VerdictTable

_END_AGE_S = 15.0
_ANSWERS_AFTER_END_S = 5.0
_MAX_ENDS = 8
_MAX_SUSPECTS_PER_END = 12
_MAX_ANSWERS = 6
_MAX_COUNT = 1
_MIN_SCORE = 1.5
_START_DECIMALS = 1


@attrs.frozen(kw_only=True)
class QuarantineReport:
    """Hold what one process reports to the others.

    ``ends`` are the ends of engines that it has seen itself, ``answers`` its
    sound responses to suspected segments, ``verdicts`` all that it has.
    """

    ends: Mapping[str, EngineEnd] = attrs.field(factory=dict)
    answers: Mapping[SegmentKey, AnswerTotals] = attrs.field(factory=dict)
    verdicts: Mapping[SegmentKey, Verdict] = attrs.field(factory=dict)


def build_report(
    evidence: Evidence, table: VerdictTable, now_s: float
) -> QuarantineReport:
    """Return what a process with this evidence and these verdicts reports."""
    if not evidence.ends:
        return QuarantineReport(verdicts=dict(table.verdicts))
    return QuarantineReport(
        ends=_reported_ends(evidence, now_s),
        answers=_reported_answers(evidence, table, now_s),
        verdicts=dict(table.verdicts),
    )


def _reported_ends(evidence: Evidence, now_s: float) -> dict[str, EngineEnd]:
    """Return the last ends, each with the segments that were answered least."""
    recent = sorted(
        (
            (incarnation, end)
            for incarnation, end in evidence.own_ends.items()
            if now_s - end.ended_s < _END_AGE_S
        ),
        key=lambda entry: entry[1].ended_s,
    )
    return {
        incarnation: attrs.evolve(
            end, suspects=_least_answered(evidence, end.suspects, now_s)
        )
        for incarnation, end in recent[-_MAX_ENDS:]
    }


def _least_answered(
    evidence: Evidence, suspects: Mapping[SegmentKey, Suspect], now_s: float
) -> dict[SegmentKey, Suspect]:
    if len(suspects) <= _MAX_SUSPECTS_PER_END:
        return dict(suspects)
    ranked = sorted(
        suspects.items(),
        key=lambda entry: (
            not entry[1].is_starting,
            evidence.own_answers.totals_of(entry[0], now_s).count,
            entry[0],
        ),
    )
    return dict(ranked[:_MAX_SUSPECTS_PER_END])


def _reported_answers(
    evidence: Evidence, table: VerdictTable, now_s: float
) -> dict[SegmentKey, AnswerTotals]:
    """Return the own responses to the segments that are suspected most."""
    if now_s - evidence.latest_end_s() > _ANSWERS_AFTER_END_S:
        return {}
    ends = evidence.counted_ends(table.lifted_s)
    suspects = evidence.suspects()
    reported = []
    models = sorted({known.model for known in suspects})
    for key in map(model_key, models):
        totals = evidence.own_answers.totals_of(key, now_s)
        if totals.count:
            reported.append((float('-inf'), key, totals))
    for key in suspects:
        totals = evidence.own_answers.totals_of(key, now_s)
        score = blame_of(key, ends, SoundResponses(of_segment=totals)).score
        if totals.count and score >= _MIN_SCORE:
            reported.append((-score, key, totals))
    reported.sort(key=lambda entry: entry[:2])
    return {
        key: AnswerTotals(
            count=min(_MAX_COUNT, totals.count),
            latest_start_s=round(totals.latest_start_s, _START_DECIMALS),
        )
        for _, key, totals in reported[:_MAX_ANSWERS]
    }
