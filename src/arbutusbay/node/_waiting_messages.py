"""Encode and decode reports on requests that wait or are expected back."""

from collections.abc import Mapping, Sequence
from typing import Any

from arbutusbay.checked_values import (
    require_count,
    require_integer,
    require_text,
)
from arbutusbay.fairness import (
    MAX_REPORTED_RETURNS,
    MAX_REPORTED_ZONE_TEAMS,
    ReturnWindow,
    WaitingReport,
)

_WORK_UNIT_TOKENS = 100
_MS_PER_S = 1000
_MAX_RETURN_MS = 600_000
_MAX_SERVICES = 16
_MAX_RANKS = 32
_MAX_RANK = 1_000_000
# Sums over the teams and VMs of a fleet stay exact.
_MAX_COUNT = 1_000_000
_MAX_WORK_UNITS = 1_000_000_000


def waiting_to_fields(reports: Mapping[str, WaitingReport]) -> dict[str, Any]:
    """Return reports by service as JSON values."""
    return {
        service: (
            _ranks_to_fields(report.counts_by_rank),
            _work_to_fields(report.work_by_team),
        )
        for service, report in sorted(reports.items())[:_MAX_SERVICES]
    }


def _ranks_to_fields(
    counts_by_rank: Mapping[int, int],
) -> list[tuple[int, int]]:
    """Return the most urgent ranks of those that a report may hold."""
    ranks = sorted(rank for rank in counts_by_rank if 0 <= rank <= _MAX_RANK)
    return [(rank, counts_by_rank[rank]) for rank in ranks[:_MAX_RANKS]]


def waiting_from_fields(fields: Mapping[str, Any]) -> dict[str, WaitingReport]:
    """Return the reports by service.

    Raises ``TypeError`` or ``ValueError`` if they are malformed.
    """
    _check_length(fields, _MAX_SERVICES)
    return {
        require_text(service, 'service'): _report_from_fields(*encoded)
        for service, encoded in fields.items()
    }


def returns_to_fields(
    windows: Mapping[int, ReturnWindow], now_s: float
) -> list[tuple[int, int, int]]:
    """Return the returns that a VM expects as JSON values.

    Clocks differ between VMs, so times are encoded relative to ``now_s``, in
    milliseconds.
    """
    return [
        (
            key,
            _relative_ms(window.since_s, now_s),
            _relative_ms(window.until_s, now_s),
        )
        for key, window in windows.items()
    ]


def returns_from_fields(
    fields: Sequence[Any], now_s: float
) -> dict[int, ReturnWindow]:
    """Return the expected returns, with times on the clock of this VM.

    Raises ``TypeError`` or ``ValueError`` if they are malformed.
    """
    _check_length(fields, MAX_REPORTED_RETURNS)
    return {
        require_count(key, 'key'): ReturnWindow(
            since_s=_moment_s(since_ms, now_s),
            until_s=_moment_s(until_ms, now_s),
        )
        for key, since_ms, until_ms in fields
    }


def _relative_ms(moment_s: float, now_s: float) -> int:
    return round((moment_s - now_s) * _MS_PER_S)


def _moment_s(relative_ms: int, now_s: float) -> float:
    offset_ms = require_integer(
        relative_ms, 'time', lowest=-_MAX_RETURN_MS, highest=_MAX_RETURN_MS
    )
    return now_s + offset_ms / _MS_PER_S


def _report_from_fields(
    counts: Sequence[Any], work: Mapping[str, Any]
) -> WaitingReport:
    _check_length(counts, _MAX_RANKS)
    _check_length(work, MAX_REPORTED_ZONE_TEAMS)
    return WaitingReport(
        counts_by_rank={
            require_count(rank, 'rank', highest=_MAX_RANK): require_count(
                count, 'count', highest=_MAX_COUNT
            )
            for rank, count in counts
        },
        work_by_team={
            require_text(team, 'team'): require_count(
                units, 'work', highest=_MAX_WORK_UNITS
            )
            * float(_WORK_UNIT_TOKENS)
            for team, units in work.items()
        },
    )


def _work_to_fields(work_by_team: Mapping[str, float]) -> dict[str, int]:
    units = {
        team: min(_MAX_WORK_UNITS, int(work / _WORK_UNIT_TOKENS))
        for team, work in work_by_team.items()
    }
    return {team: count for team, count in units.items() if count}


def _check_length(
    encoded: Sequence[Any] | Mapping[str, Any], most: int
) -> None:
    if len(encoded) > most:
        raise ValueError(f'{len(encoded)} entries, at most {most} are allowed')
