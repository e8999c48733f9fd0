"""Track the work that each team got lately, here and at other VMs.

What a team got fades, so that an idle team earns little credit and a team is
not held back for work that it got while there were places for all.
"""

import math
from collections.abc import Mapping

import attrs

_MEMORY_S = 4.0
_MIN_WORK_TOKENS = 1.0
_MAX_TOTALS_AGE_S = 0.1
_MIN_FADE_S = 0.05


@attrs.frozen(kw_only=True)
class ReportedWork:
    """Hold the work by team that a VM or zone reported."""

    work_by_team: Mapping[str, float]
    received_s: float


@attrs.define(kw_only=True, eq=False)
class TeamWork:
    """Add up the recent work of each team, in tokens over its share.

    ``own_work`` is that of requests which this VM placed, ``reports`` that of
    other VMs or zones by their names. ``others_work`` is the sum of the
    reports at ``others_summed_s``, and ``own_work`` is as of ``updated_s``.
    """

    own_work: dict[str, float] = attrs.field(factory=dict)
    updated_s: float = float('-inf')
    reports: dict[str, ReportedWork] = attrs.field(factory=dict)
    others_work: dict[str, float] = attrs.field(factory=dict)
    others_summed_s: float = float('-inf')

    def record(self, team: str, weighted_work: float) -> None:
        """Record that a request of a team was placed now."""
        self.own_work[team] = self.own_work.get(team, 0.0) + weighted_work

    def record_report(
        self, sender: str, work_by_team: Mapping[str, float], now_s: float
    ) -> None:
        """Replace what ``sender`` reported before."""
        if not work_by_team and sender not in self.reports:
            return
        self.reports[sender] = ReportedWork(
            work_by_team=work_by_team, received_s=now_s
        )

    def drop_report(self, sender: str) -> None:
        """Drop what a VM that is gone has reported."""
        self.reports.pop(sender, None)

    def busiest(self, now_s: float, limit: int) -> dict[str, float]:
        """Return the own work of the teams that got most here."""
        self.advance(now_s)
        ranked = sorted(self.own_work.items(), key=_by_work, reverse=True)
        return dict(ranked[:limit])

    def totals(self, now_s: float) -> dict[str, float]:
        """Return the work of each team at all VMs, as far as it is known."""
        self.advance(now_s)
        if now_s - self.others_summed_s > _MAX_TOTALS_AGE_S:
            self._sum_reports(now_s)
        totals = dict(self.own_work)
        for team, work in self.others_work.items():
            totals[team] = totals.get(team, 0.0) + work
        return totals

    def advance(self, now_s: float) -> None:
        """Let the work fade that was recorded before."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s < _MIN_FADE_S:
            return
        self.updated_s = now_s
        if math.isinf(elapsed_s):
            return
        weight = _weight_after(elapsed_s)
        self.own_work = {
            team: work * weight
            for team, work in self.own_work.items()
            if work * weight >= _MIN_WORK_TOKENS
        }

    def _sum_reports(self, now_s: float) -> None:
        self.others_summed_s = now_s
        self.others_work = {}
        for report in self.reports.values():
            weight = _weight_after(now_s - report.received_s)
            for team, work in report.work_by_team.items():
                known = self.others_work.get(team, 0.0)
                self.others_work[team] = known + work * weight


def _by_work(entry: tuple[str, float]) -> float:
    return entry[1]


def _weight_after(elapsed_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / _MEMORY_S)
