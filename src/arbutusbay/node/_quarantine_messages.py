"""Encode and decode what VMs report to each other about prompt segments.

Clocks differ between VMs, so times are encoded relative to the present, in
milliseconds.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from arbutusbay.checked_values import (
    MAX_INTEGER,
    require_boolean,
    require_count,
    require_integer,
    require_text,
)
from arbutusbay.quarantine import (
    AnswerTotals,
    EngineEnd,
    QuarantineReport,
    SegmentKey,
    Suspect,
    Verdict,
)

_MS_PER_S = 1000


def quarantine_to_fields(
    report: QuarantineReport, now_s: float
) -> dict[str, Any]:
    """Return ``report`` as JSON values, empty if there is nothing to report."""
    fields: dict[str, Any] = {}
    if report.ends:
        fields['e'] = {
            incarnation: (
                _relative_ms(end.ended_s, now_s),
                [
                    (key.model, key.segment, suspect.depth, suspect.is_starting)
                    for key, suspect in end.suspects.items()
                ],
            )
            for incarnation, end in report.ends.items()
        }
    if report.answers:
        fields['a'] = [
            (
                key.model,
                key.segment,
                totals.count,
                _relative_ms(totals.latest_start_s, now_s),
            )
            for key, totals in report.answers.items()
        ]
    if report.verdicts:
        fields['v'] = [
            (
                key.model,
                key.segment,
                verdict.revision,
                verdict.is_quarantined,
                _relative_ms(verdict.changed_s, now_s),
                verdict.probes,
                verdict.weights_version,
            )
            for key, verdict in report.verdicts.items()
        ]
    return fields


def quarantine_from_fields(
    fields: Mapping[str, Any], now_s: float
) -> QuarantineReport:
    """Return the report with times on the clock of this VM.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed.
    """
    return QuarantineReport(
        ends={
            incarnation: EngineEnd(
                ended_s=_moment_s(ended_ms, now_s),
                suspects=dict(_suspect_from_fields(*row) for row in suspects),
            )
            for incarnation, (ended_ms, suspects) in fields.get('e', {}).items()
        },
        answers=dict(
            _answers_from_fields(row, now_s) for row in fields.get('a', ())
        ),
        verdicts=dict(
            _verdict_from_fields(row, now_s) for row in fields.get('v', ())
        ),
    )


def _relative_ms(moment_s: float, now_s: float) -> int:
    return round((moment_s - now_s) * _MS_PER_S)


def _moment_s(relative_ms: int, now_s: float) -> float:
    """Return a moment of the past on the clock of this VM."""
    offset_ms = require_integer(relative_ms, 'time', lowest=-MAX_INTEGER)
    return min(now_s, now_s + offset_ms / _MS_PER_S)


def _suspect_from_fields(
    model: str, segment: str, depth: int, is_starting: bool
) -> tuple[SegmentKey, Suspect]:
    return _key_from_fields(model, segment), Suspect(
        depth=require_count(depth, 'depth'),
        is_starting=require_boolean(is_starting, 'is starting'),
    )


def _answers_from_fields(
    row: Sequence[Any], now_s: float
) -> tuple[SegmentKey, AnswerTotals]:
    model, segment, count, latest_start_ms = row
    return _key_from_fields(model, segment), AnswerTotals(
        count=require_count(count, 'count'),
        latest_start_s=_moment_s(latest_start_ms, now_s),
    )


def _verdict_from_fields(
    row: Sequence[Any], now_s: float
) -> tuple[SegmentKey, Verdict]:
    model, segment, *fields = row
    revision, is_quarantined, changed_ms, probes, weights_version = fields
    return _key_from_fields(model, segment), Verdict(
        revision=require_count(revision, 'revision'),
        is_quarantined=require_boolean(is_quarantined, 'is quarantined'),
        changed_s=_moment_s(changed_ms, now_s),
        probes=require_count(probes, 'probes'),
        weights_version=require_count(weights_version, 'weights version'),
    )


def _key_from_fields(model: str, segment: str) -> SegmentKey:
    return SegmentKey(
        model=require_text(model, 'model'),
        segment=require_text(segment, 'segment'),
    )
