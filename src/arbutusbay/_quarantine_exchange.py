"""Convert reports about prompt segments to messages and back.

Clocks differ between VMs, so times are sent as ages.
"""

from arbutusbay.quarantine import (
    AnswerTotals,
    EngineEnd,
    QuarantineReport,
    SegmentKey,
    Suspect,
    Verdict,
)
from arbutusbay.wire import (
    AnswerEntry,
    EndEntry,
    EndSuspect,
    QuarantineExchange,
    VerdictEntry,
)

_MS_PER_S = 1000


def build_exchange(
    reporter: str, report: QuarantineReport, now_s: float
) -> QuarantineExchange:
    """Return the message for ``report``."""
    return QuarantineExchange(
        reporter=reporter,
        ends=[
            EndEntry(
                incarnation=incarnation,
                age_ms=_age_ms(end.ended_s, now_s),
                suspects=[
                    EndSuspect(
                        model=key.model,
                        segment=key.segment,
                        depth=suspect.depth,
                        is_starting=suspect.is_starting,
                    )
                    for key, suspect in end.suspects.items()
                ],
            )
            for incarnation, end in report.ends.items()
        ],
        answers=[
            AnswerEntry(
                model=key.model,
                segment=key.segment,
                count=totals.count,
                age_ms=_age_ms(totals.latest_start_s, now_s),
            )
            for key, totals in report.answers.items()
        ],
        verdicts=[
            VerdictEntry(
                model=key.model,
                segment=key.segment,
                revision=verdict.revision,
                is_quarantined=verdict.is_quarantined,
                age_ms=_age_ms(verdict.changed_s, now_s),
                probes=verdict.probes,
            )
            for key, verdict in report.verdicts.items()
        ],
    )


def read_exchange(
    exchange: QuarantineExchange, now_s: float
) -> QuarantineReport:
    """Return the report in a message, with times on the own clock."""
    return QuarantineReport(
        ends={
            entry.incarnation: EngineEnd(
                ended_s=now_s - entry.age_ms / _MS_PER_S,
                suspects={
                    _key_of(suspect): Suspect(
                        depth=suspect.depth, is_starting=suspect.is_starting
                    )
                    for suspect in entry.suspects
                },
            )
            for entry in exchange.ends
        },
        answers={
            _key_of(entry): AnswerTotals(
                count=entry.count,
                latest_start_s=now_s - entry.age_ms / _MS_PER_S,
            )
            for entry in exchange.answers
        },
        verdicts={
            _key_of(entry): Verdict(
                revision=entry.revision,
                is_quarantined=entry.is_quarantined,
                changed_s=now_s - entry.age_ms / _MS_PER_S,
                probes=entry.probes,
            )
            for entry in exchange.verdicts
        },
    )


def _key_of(entry: EndSuspect | AnswerEntry | VerdictEntry) -> SegmentKey:
    return SegmentKey(model=entry.model, segment=entry.segment)


def _age_ms(moment_s: float, now_s: float) -> int:
    return max(0, round((now_s - moment_s) * _MS_PER_S))
