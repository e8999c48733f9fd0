"""Track what waits at other VMs, as far as their reports tell.

A rank is an urgency and whether the team got its share: lower ranks go before
higher ones at all VMs.
"""

from collections import Counter
from collections.abc import Container, Iterable, Mapping

import attrs

# Longer than the time between two reports without a change.
_MAX_REPORT_AGE_S = 1.2


@attrs.frozen(kw_only=True)
class WaitingReport:
    """Hold what waits for one service at a VM or at those of a zone.

    ``counts_by_rank`` counts the waiting requests, ``work_by_team`` is the
    work that the busiest teams got lately, in tokens over their shares.
    """

    counts_by_rank: Mapping[int, int] = attrs.field(factory=dict)
    work_by_team: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ReceivedWaiting:
    """Hold a report and when it arrived."""

    report: WaitingReport
    received_s: float


@attrs.define(kw_only=True, eq=False)
class WaitingElsewhere:
    """Hold the last reports of other VMs and zones on one service."""

    received: dict[str, ReceivedWaiting] = attrs.field(factory=dict)

    def record(self, sender: str, report: WaitingReport, now_s: float) -> None:
        """Replace what ``sender`` reported before."""
        self.received[sender] = ReceivedWaiting(report=report, received_s=now_s)

    def drop(self, sender: str) -> None:
        """Drop what a VM that is gone has reported."""
        self.received.pop(sender, None)

    def count_before(self, rank: int, now_s: float) -> int:
        """Return how many requests wait that go before those of ``rank``."""
        return sum(
            count
            for report in self._recent(now_s).values()
            for known, count in report.counts_by_rank.items()
            if known < rank
        )

    def reports_of(
        self, names: Container[str], now_s: float
    ) -> list[WaitingReport]:
        """Return the recent reports of the VMs in ``names``."""
        return [
            report
            for name, report in self._recent(now_s).items()
            if name in names
        ]

    def _recent(self, now_s: float) -> dict[str, WaitingReport]:
        """Return the reports that may still be true, by their senders."""
        return {
            name: known.report
            for name, known in self.received.items()
            if now_s - known.received_s <= _MAX_REPORT_AGE_S
        }


def sum_reports(
    reports: Iterable[WaitingReport], *, max_teams: int
) -> WaitingReport:
    """Return the totals of ``reports``, with the busiest teams only."""
    counts: Counter[int] = Counter()
    work: Counter[str] = Counter()
    for report in reports:
        counts.update(report.counts_by_rank)
        work.update(report.work_by_team)
    return WaitingReport(
        counts_by_rank=dict(counts),
        work_by_team=dict(work.most_common(max_teams)),
    )
