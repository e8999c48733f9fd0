"""Feed the estimates of the servers' speeds, and give them to the views."""

import math
from collections.abc import Collection, Iterable, Mapping

import attrs

from arbutusbay.logs import get_logger
from arbutusbay.scheduling import Attempt, EngineView
from arbutusbay.speeds import (
    ESTIMATE_LIFETIME_S,
    MAX_REPORTED_SLOWDOWNS,
    ReportedSlowdown,
    ServerIdentity,
    SpeedBook,
    SpeedEstimate,
    SpeedReport,
    SpeedSample,
    load_level,
)

_LOG = get_logger('speeds')
_PROMPT_WORK = 'prompt'
_MAX_LOAD_AGE_S = 0.5
_USUAL_SLOWDOWN_BAND = 0.05
_MARKED_CHANGE = 1.25


@attrs.define(kw_only=True)
class ServerSpeeds:
    """Hold the speeds of the servers, as far as this VM knows them.

    ``heard_s`` is when each server last reported its slowdown to this VM
    itself, ``refreshed_s`` when the views of each service last got estimates,
    ``logged`` the estimates as they were logged last.
    """

    book: SpeedBook = attrs.field(factory=SpeedBook)
    heard_s: dict[str, float] = attrs.field(factory=dict)
    refreshed_s: dict[str, float] = attrs.field(factory=dict)
    logged: dict[str, SpeedEstimate] = attrs.field(factory=dict)

    def record_first_event(
        self, view: EngineView, attempt: Attempt, moment_s: float
    ) -> None:
        """Learn from the time to the first event of a stream.

        One that mostly waits for others says little: what is queued at an
        engine is known late.
        """
        if attempt.queued_ahead_tokens > attempt.uncached_tokens:
            return
        self._record(
            view,
            work=_PROMPT_WORK,
            units=attempt.uncached_tokens + attempt.queued_ahead_tokens,
            sent_s=attempt.sent_s,
            moment_s=moment_s,
        )

    def record_call(
        self, view: EngineView, route: str, sent_s: float, moment_s: float
    ) -> None:
        """Learn from the time of a call to a plain server."""
        self._record(
            view, work=route, units=0, sent_s=sent_s, moment_s=moment_s
        )

    def record_load(self, view: EngineView) -> None:
        """Remember that the server has told this VM itself its slowdown."""
        self.heard_s[view.id] = view.load_reported_s

    def refresh(
        self, service: str, views: Collection[EngineView], moment_s: float
    ) -> None:
        """Give the views of a service the estimates, unless they are recent."""
        refreshed_s = self.refreshed_s.get(service, float('-inf'))
        if moment_s - refreshed_s < ESTIMATE_LIFETIME_S:
            return
        self.refreshed_s[service] = moment_s
        self.book.drop_former({view.id: view.incarnation for view in views})
        estimates = self.book.estimates(service, moment_s)
        for view in views:
            view.speed = _estimate_for(view, estimates)
            self._log_change(view)

    def report(
        self, views: Mapping[str, EngineView], moment_s: float
    ) -> SpeedReport:
        """Return what this VM has measured and heard lately."""
        recent_s = moment_s - _MAX_LOAD_AGE_S
        self.heard_s = {
            name: heard_s
            for name, heard_s in self.heard_s.items()
            if heard_s > recent_s and name in views
        }
        for gone in self.logged.keys() - views.keys():
            self.logged.pop(gone)
        heard = [
            views[name]
            for name, heard_s in self.heard_s.items()
            if views[name].load_reported_s == heard_s
        ]
        windows = self.book.report(moment_s)
        return SpeedReport(
            windows=windows,
            lines=self.book.lines() if windows else {},
            slowdowns={
                view.id: ReportedSlowdown(
                    slowdown=view.slowdown,
                    min_slowdown=view.min_slowdown,
                    reported_s=view.load_reported_s,
                )
                for view in _newest(filter(_is_worth_sharing, heard))
            },
        )

    def merge_report(
        self,
        sender: str,
        report: SpeedReport,
        views: Mapping[str, EngineView],
        moment_s: float,
    ) -> None:
        """Add what another VM has measured and heard."""
        self.book.adopt_lines(
            {
                (pool, work): line
                for (pool, work), line in report.lines.items()
                if pool in self.refreshed_s
            }
        )
        if report.windows:
            named = {
                part.server for sums in report.windows.values() for part in sums
            }
            running = {
                name: ServerIdentity(
                    incarnation=views[name].incarnation,
                    pool=views[name].service,
                )
                for name in named & views.keys()
            }
            self.book.merge_report(sender, report.windows, running, moment_s)
        for name in report.slowdowns.keys() & views.keys():
            _adopt_slowdown(views[name], report.slowdowns[name])

    def _record(
        self,
        view: EngineView,
        *,
        work: str,
        units: int,
        sent_s: float,
        moment_s: float,
    ) -> None:
        running = _running(view, moment_s)
        if view.slots and running >= view.slots:
            # The wait for a slot can't be told from slow work.
            return
        slowdown = view.current_slowdown(moment_s)
        self.book.record(
            SpeedSample(
                server=view.id,
                incarnation=view.incarnation,
                pool=view.service,
                work=work,
                units=units,
                duration_s=(moment_s - sent_s) / slowdown,
                level=load_level(running, view.slots),
            ),
            moment_s,
        )

    def _log_change(self, view: EngineView) -> None:
        before = self.logged.get(view.id, SpeedEstimate())
        if not _has_changed(before, view.speed):
            return
        self.logged[view.id] = view.speed
        _LOG.info(
            'speed estimated anew',
            fields={
                'server': view.id,
                'speed': round(view.speed.speed, 3),
                'speed_before': round(before.speed, 3),
                'momentary_slowdown': round(view.speed.momentary_slowdown, 3),
                'taken_requests': view.speed.taken_requests(view.slots),
                'reported_slowdown': view.slowdown,
            },
        )


def _estimate_for(
    view: EngineView, estimates: Mapping[str, SpeedEstimate]
) -> SpeedEstimate:
    """Return the estimate that placement goes by.

    A model engine with a queue that this VM doesn't know yet looks as if it had
    just turned slow, and it reports a slowdown of the moment itself.
    """
    estimate = estimates.get(view.id, SpeedEstimate())
    if view.weights:
        return attrs.evolve(estimate, momentary_slowdown=1.0)
    return estimate


def _running(view: EngineView, moment_s: float) -> int:
    if moment_s - view.load_reported_s < _MAX_LOAD_AGE_S:
        return view.running_requests
    return view.occupancy.total(moment_s).attempts


def _newest(views: Iterable[EngineView]) -> list[EngineView]:
    """Return the views that a report has room for, the last heard first."""
    by_age = sorted(views, key=_load_reported_s, reverse=True)
    return by_age[:MAX_REPORTED_SLOWDOWNS]


def _load_reported_s(view: EngineView) -> float:
    return view.load_reported_s


def _is_worth_sharing(view: EngineView) -> bool:
    """Return whether others can't assume what the server reported."""
    factors = (view.slowdown, view.min_slowdown)
    return any(abs(factor - 1) > _USUAL_SLOWDOWN_BAND for factor in factors)


def _adopt_slowdown(view: EngineView, told: ReportedSlowdown) -> None:
    """Take over what a server told another VM, if it is news here."""
    if told.reported_s <= view.load_reported_s:
        return
    is_first = not view.load_reported_s
    view.record_load(
        running_requests=None,
        slowdown=told.slowdown,
        now_s=told.reported_s,
    )
    if is_first or told.min_slowdown < view.min_slowdown:
        view.min_slowdown = told.min_slowdown


def _has_changed(before: SpeedEstimate, after: SpeedEstimate) -> bool:
    if before.taken_share != after.taken_share:
        return True
    change = abs(math.log(after.current_speed / before.current_speed))
    return change >= math.log(_MARKED_CHANGE)
