"""Join the reports of several processes for others to read."""

from arbutusbay.quarantine._evidence import Evidence
from arbutusbay.quarantine._reports import QuarantineReport
from arbutusbay.quarantine._types import AnswerTotals, SegmentKey
from arbutusbay.quarantine._verdicts import VerdictTable


class SharedEvidence:
    """Hold what other processes reported, without making verdicts."""

    def __init__(self) -> None:
        """Start without reports."""
        self.evidence = Evidence()
        self.table = VerdictTable()

    def merge_report(
        self, reporter: str, report: QuarantineReport, now_s: float
    ) -> None:
        """Add a report of another process."""
        for incarnation, end in report.ends.items():
            self.evidence.add_end(incarnation, end)
        self.evidence.set_reported_answers(reporter, report.answers)
        for key, verdict in report.verdicts.items():
            self.table.merge(key, verdict, now_s)

    def merged_report(self) -> QuarantineReport:
        """Return what all processes have reported."""
        answers: dict[SegmentKey, AnswerTotals] = {}
        for reported in self.evidence.answers_by_reporter.values():
            for key, totals in reported.items():
                known = answers.get(key, AnswerTotals())
                answers[key] = AnswerTotals(
                    count=known.count + totals.count,
                    latest_start_s=max(
                        known.latest_start_s, totals.latest_start_s
                    ),
                )
        return QuarantineReport(
            ends=dict(self.evidence.ends),
            answers=answers,
            verdicts=dict(self.table.verdicts),
        )

    def drop_expired(self, now_s: float) -> None:
        """Forget what is too old to count."""
        self.evidence.drop_expired(now_s)
        self.table.drop_expired(now_s)
