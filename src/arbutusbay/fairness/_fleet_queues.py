"""Hold what this VM knows of the queues of the fleet, by service."""

import sys
from collections.abc import Container, Mapping

import attrs

from arbutusbay.fairness._fair_queue import FairQueue
from arbutusbay.fairness._left_places import LeftPlaces
from arbutusbay.fairness._team_work import TeamWork
from arbutusbay.fairness._waiting_elsewhere import (
    WaitingElsewhere,
    WaitingReport,
    sum_reports,
)

MAX_REPORTED_ZONE_TEAMS = 32
_MAX_REPORTED_TEAMS = 16
# How long work is reported after requests waited last.
_WORK_REPORT_S = 4.0


@attrs.define(kw_only=True, eq=False)
class ServiceQueues:
    """Hold the own queue of a service and what others reported of theirs.

    ``last_waiting_s`` is when requests waited last, here or elsewhere, and
    ``shown_ranks`` are those that a metric has shown.
    """

    queue: FairQueue | None = None
    team_work: TeamWork = attrs.field(factory=TeamWork)
    elsewhere: WaitingElsewhere = attrs.field(factory=WaitingElsewhere)
    left_places: LeftPlaces = attrs.field(init=False)
    last_waiting_s: float = float('-inf')
    shown_ranks: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Leave places by what waits elsewhere."""
        self.left_places = LeftPlaces(elsewhere=self.elsewhere)

    def record(self, sender: str, report: WaitingReport, now_s: float) -> None:
        """Replace what ``sender`` reported before."""
        if report.counts_by_rank:
            self.last_waiting_s = now_s
        self.elsewhere.record(sender, report, now_s)
        self.team_work.record_report(sender, report.work_by_team, now_s)

    def has_waiting_elsewhere(self, now_s: float) -> bool:
        """Return whether requests wait at other VMs."""
        return self.elsewhere.count_before(sys.maxsize, now_s) > 0

    def drop(self, sender: str) -> None:
        """Drop what a VM that is gone has reported."""
        self.elsewhere.drop(sender)
        self.team_work.drop_report(sender)

    def report(self, now_s: float) -> WaitingReport:
        """Return the report on the own queue, empty while places suffice."""
        counts = self.queue.counts_by_rank(now_s) if self.queue else {}
        if counts:
            self.last_waiting_s = now_s
        if now_s - self.last_waiting_s > _WORK_REPORT_S:
            return WaitingReport()
        return WaitingReport(
            counts_by_rank=counts,
            work_by_team=self.team_work.busiest(now_s, _MAX_REPORTED_TEAMS),
        )


@attrs.define(kw_only=True, eq=False)
class FleetQueues:
    """Hold the queues of each service."""

    by_service: dict[str, ServiceQueues] = attrs.field(factory=dict)

    def of_service(self, service: str) -> ServiceQueues:
        """Return what is known of the queues of ``service``."""
        if service not in self.by_service:
            self.by_service[service] = ServiceQueues()
        return self.by_service[service]

    def record(
        self, sender: str, reports: Mapping[str, WaitingReport], now_s: float
    ) -> None:
        """Replace what ``sender``, a VM or zone, reported before."""
        for service, known in self.by_service.items():
            report = reports.get(service)
            if report is None:
                known.drop(sender)
            else:
                known.record(sender, report, now_s)

    def drop(self, sender: str) -> None:
        """Drop what a VM that is gone has reported."""
        for known in self.by_service.values():
            known.drop(sender)

    def report(self, now_s: float) -> dict[str, WaitingReport]:
        """Return the reports on the own queues, without empty ones."""
        reports = {
            service: known.report(now_s)
            for service, known in self.by_service.items()
        }
        return _without_empty(reports)

    def zone_report(
        self, names: Container[str], now_s: float
    ) -> dict[str, WaitingReport]:
        """Return the totals of this VM and of those in ``names``."""
        reports = {
            service: sum_reports(
                (
                    known.report(now_s),
                    *known.elsewhere.reports_of(names, now_s),
                ),
                max_teams=MAX_REPORTED_ZONE_TEAMS,
            )
            for service, known in self.by_service.items()
        }
        return _without_empty(reports)


def _without_empty(
    reports: Mapping[str, WaitingReport],
) -> dict[str, WaitingReport]:
    return {
        service: report
        for service, report in reports.items()
        if report.counts_by_rank or report.work_by_team
    }
