"""Name the cause of how a request ended, from its lines and those around."""

from collections.abc import Sequence
from datetime import timedelta
from types import MappingProxyType

from arbutusbay.cli._log_lines import LogLine

_AROUND = timedelta(seconds=6)
_ENDS = frozenset(('request ended', 'request refused'))
_KNOWN_CAUSES = MappingProxyType(
    {
        'bad_api_key': 'the key is not, or no longer, in the configuration',
        'unknown_route': 'no route of the configuration fits host and path',
        'draining': 'the VM was shutting down; nothing was sent',
        'not_configured': 'the VM had just started and knew no configuration',
        'deadline_exceeded': 'the time of the request ran out',
        'body_too_large': 'the body exceeds the limit of the configuration',
    },
)


def lines_around(
    lines: Sequence[LogLine],
    told: Sequence[LogLine],
) -> list[LogLine]:
    """Return lines without an id that bear on the request.

    They come from its VM or name a backend server that it was sent to, and
    lie within some seconds.
    """
    first = told[0].time - _AROUND
    last = told[-1].time + _AROUND
    processes = {line.process for line in told}
    servers = {line.fields.get('server') for line in told} - {None}
    return [
        line
        for line in lines
        if not line.request_id
        and first <= line.time <= last
        and (line.process in processes or line.fields.get('server') in servers)
    ]


def cause_of(told: Sequence[LogLine], around: Sequence[LogLine]) -> str:
    """Return in one sentence why the request ended as it did."""
    last = told[-1]
    if last.message not in _ENDS:
        return 'no line tells its end: the process ended, or dropped the line'
    if last.message == 'request refused':
        return _cause_of_refusal(last, told, around)
    outcome = str(last.fields.get('outcome', ''))
    if outcome == 'client left':
        return f'the client closed its connection; {_progress(told)}'
    if outcome == 'stream cut':
        return _cause_of_cut(last, told)
    if outcome.startswith('status 5'):
        return f'{_last_server(told)} ran it and answered {outcome}'
    return f'it was served ({outcome}); {_progress(told)}'


def _cause_of_refusal(
    last: LogLine,
    told: Sequence[LogLine],
    around: Sequence[LogLine],
) -> str:
    kind = str(last.fields.get('kind', ''))
    match kind:
        case 'configuration_too_old':
            return _cause_of_age(last, around)
        case 'outcome_unknown':
            return (
                f'{_last_server(told)} broke off after the request was sent '
                f'({_last_detail(told)}), so it may have run, and its route '
                'allows no repeat'
            )
        case 'overloaded':
            return (
                f'no engine had room: {last.fields.get("detail", "")}; '
                f'{_waiting(told)} waited on this VM'
            )
        case 'no_backend_server':
            return (
                'no backend server took it: '
                f'{_failures(told)} attempts failed before, '
                f'last {_last_detail(told) or "none was sent"}'
            )
    return _KNOWN_CAUSES.get(kind, str(last.fields.get('detail', '')))


def _cause_of_age(last: LogLine, around: Sequence[LogLine]) -> str:
    age_ms = last.fields.get('config_age_ms')
    lost = [
        f'{line.message} ({line.fields.get("source") or line.fields})'
        for line in around
        if line.message in {'store does not answer', 'source failed'}
    ]
    reason = '; '.join(lost[:3]) or (
        'no line tells of a lost source: the process had stood still'
    )
    return f'keys were last confirmed {age_ms} ms before: {reason}'


def _cause_of_cut(last: LogLine, told: Sequence[LogLine]) -> str:
    detail = str(last.fields.get('detail', ''))
    if 'time of the route' not in detail:
        return f'{_last_server(told)} broke the stream off: {detail}'
    first_ms = last.fields.get('first_event_ms')
    gap_ms = last.fields.get('longest_gap_ms')
    return (
        f'the route allows no more time; {_last_server(told)} sent '
        f'{last.fields.get("events")} events, the first after {first_ms} ms, '
        f'with pauses up to {gap_ms} ms'
    )


def _progress(told: Sequence[LogLine]) -> str:
    if not any(line.message == 'placed' for line in told):
        return f'it was not sent, {_waiting(told)} waited on this VM'
    failures = _failures(told)
    sent = f'last sent to {_last_server(told)}'
    return f'{sent} after {failures} failed attempts' if failures else sent


def _waiting(told: Sequence[LogLine]) -> int:
    return max(
        (int(line.fields.get('waiting', 0)) for line in told),
        default=0,
    )


def _failures(told: Sequence[LogLine]) -> int:
    return sum(line.message == 'attempt failed' for line in told)


def _last_server(told: Sequence[LogLine]) -> str:
    servers = [
        line.fields['server'] for line in told if 'server' in line.fields
    ]
    return f'backend server {servers[-1]}' if servers else 'no backend server'


def _last_detail(told: Sequence[LogLine]) -> str:
    details = [
        str(line.fields.get('detail', ''))
        for line in told
        if line.message == 'attempt failed'
    ]
    return details[-1] if details else ''
