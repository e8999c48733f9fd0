"""Encode and decode what VMs report to each other about servers' speeds."""

from collections.abc import Mapping, Sequence
from typing import Any

from arbutusbay.checked_values import (
    MAX_INTEGER,
    MalformedValueError,
    require_count,
    require_integer,
    require_list,
    require_text,
)
from arbutusbay.speeds import (
    LOAD_LEVELS,
    MAX_REPORTED_LINES,
    MAX_REPORTED_SLOWDOWNS,
    MAX_REPORTED_SUMS,
    ReportedSlowdown,
    SampleSum,
    SpeedReport,
    WorkLine,
)

_MS_PER_S = 1000
_NS_PER_S = 1_000_000_000
_MAX_NS = 600_000_000_000
_PARTS_PER_UNIT = 1000
_PERCENT = 100
_MAX_COUNT = 10_000
_MAX_SLOWDOWN_PERCENT = 100_000


def speeds_to_fields(report: SpeedReport, now_s: float) -> dict[str, Any]:
    """Return ``report`` as JSON values, empty if there is nothing to report."""
    fields: dict[str, Any] = {}
    if report.windows:
        fields['w'] = [
            (number, [_sum_to_fields(part) for part in sums])
            for number, sums in report.windows.items()
        ]
    if report.slowdowns:
        fields['s'] = {
            server: _slowdown_to_fields(slowdown, now_s)
            for server, slowdown in report.slowdowns.items()
        }
    if report.lines:
        fields['l'] = [
            (*key, _nanoseconds(line.fixed_s), _nanoseconds(line.unit_s))
            for key, line in report.lines.items()
        ]
    return fields


def speeds_from_fields(fields: Mapping[str, Any], now_s: float) -> SpeedReport:
    """Return the report with times on the clock of this VM.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed.
    """
    windows = {
        require_count(number, 'window'): tuple(
            _sum_from_fields(*row) for row in require_list(rows, 'sums')
        )
        for number, rows in fields.get('w', ())
    }
    slowdowns = fields.get('s', {})
    lines = fields.get('l', ())
    size = sum(len(sums) for sums in windows.values())
    _check_size(size, MAX_REPORTED_SUMS)
    _check_size(len(slowdowns), MAX_REPORTED_SLOWDOWNS)
    _check_size(len(lines), MAX_REPORTED_LINES)
    return SpeedReport(
        windows=windows,
        slowdowns={
            server: _slowdown_from_fields(row, now_s)
            for server, row in slowdowns.items()
        },
        lines=dict(_line_from_fields(*row) for row in lines),
    )


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise MalformedValueError(f'speeds: {size} of at most {limit}')


def _sum_to_fields(part: SampleSum) -> tuple[str, int, int, int, int]:
    return (
        part.server,
        part.incarnation,
        part.level,
        part.count,
        round(part.total * _PARTS_PER_UNIT),
    )


def _sum_from_fields(
    server: str, incarnation: int, level: int, count: int, total: int
) -> SampleSum:
    parts = require_integer(total, 'total', lowest=-MAX_INTEGER)
    return SampleSum(
        server=require_text(server, 'server'),
        incarnation=require_count(incarnation, 'incarnation'),
        level=require_count(level, 'level', highest=LOAD_LEVELS - 1),
        count=require_integer(count, 'count', lowest=1, highest=_MAX_COUNT),
        total=parts / _PARTS_PER_UNIT,
    )


def _nanoseconds(duration_s: float) -> int:
    return min(_MAX_NS, round(duration_s * _NS_PER_S))


def _line_from_fields(
    service: str, work: str, fixed_ns: int, unit_ns: int
) -> tuple[tuple[str, str], WorkLine]:
    key = (require_text(service, 'service'), require_text(work, 'work'))
    return key, WorkLine(
        fixed_s=require_count(fixed_ns, 'fixed', highest=_MAX_NS) / _NS_PER_S,
        unit_s=require_count(unit_ns, 'unit', highest=_MAX_NS) / _NS_PER_S,
    )


def _slowdown_to_fields(
    told: ReportedSlowdown, now_s: float
) -> tuple[int, int, int]:
    return (
        _percent_of(told.slowdown),
        _percent_of(told.min_slowdown),
        round((told.reported_s - now_s) * _MS_PER_S),
    )


def _percent_of(factor: float) -> int:
    """Return a factor in percent, within what a report may hold."""
    percent = round(min(factor, _MAX_SLOWDOWN_PERCENT) * _PERCENT)
    return max(1, min(_MAX_SLOWDOWN_PERCENT, percent))


def _slowdown_from_fields(row: Sequence[int], now_s: float) -> ReportedSlowdown:
    slowdown, min_slowdown, reported_ms = row
    offset_ms = require_integer(
        reported_ms, 'time', lowest=-MAX_INTEGER, highest=MAX_INTEGER
    )
    return ReportedSlowdown(
        slowdown=_factor(slowdown),
        min_slowdown=_factor(min_slowdown),
        reported_s=min(now_s, now_s + offset_ms / _MS_PER_S),
    )


def _factor(percent: int) -> float:
    return (
        require_integer(
            percent, 'slowdown', lowest=1, highest=_MAX_SLOWDOWN_PERCENT
        )
        / _PERCENT
    )
