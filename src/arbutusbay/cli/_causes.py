"""Explain from log lines why a request ended as it did."""

from collections.abc import Sequence
from datetime import timedelta
from types import MappingProxyType

from arbutusbay.cli._log_reader import LogLine

_CONTEXT_MARGIN = timedelta(seconds=6)
_FINAL_MESSAGES = frozenset(('request ended', 'request refused'))
_RETRY = 'retry_within_budget'
# What follows names what speaks against each server.
_NO_SERVER_PREFIX = 'no backend server is available: '
_OWN_CUT_REASONS = frozenset(('silent', 'no_replacement'))
_REFUSAL_CAUSES = MappingProxyType(
    {
        'bad_api_key': 'the API key is not in the configuration (any more)',
        'unknown_route': 'no configured route matches the host and path',
        'draining': 'the VM was shutting down; nothing was sent',
        'client_half_closed': 'the client closed its connection or only its '
        'sending side before anything was sent; it was not run',
        'not_configured': 'the VM had just started without a configuration',
        'deadline_exceeded': 'the deadline of the request passed',
        'upload_timeout': 'the body did not arrive before the deadline',
        'internal': 'an error in the program; see the line with its trace',
        'body_too_large': 'the body exceeds the configured size limit',
    },
)


def find_context_lines(
    lines: Sequence[LogLine],
    request_lines: Sequence[LogLine],
) -> list[LogLine]:
    """Return the lines without a request id that may explain the request.

    These are the lines of the processes that logged the request, and the
    lines that name a backend server it was sent to. They range from 6 seconds
    before its first line to 6 seconds after its last. ``request_lines`` are
    the lines of the request in order of time, and must not be empty.
    """
    first = request_lines[0].time - _CONTEXT_MARGIN
    last = request_lines[-1].time + _CONTEXT_MARGIN
    processes = {line.process for line in request_lines}
    servers = {line.fields.get('server') for line in request_lines} - {None}
    return [
        line
        for line in lines
        if not line.request_id
        and first <= line.time <= last
        and (line.process in processes or line.fields.get('server') in servers)
    ]


def describe_cause(
    request_lines: Sequence[LogLine],
    context_lines: Sequence[LogLine],
) -> str:
    """Return a short description of why the request ended as it did.

    ``request_lines`` are the lines of the request in order of time, and must
    not be empty. ``context_lines`` are those that ``find_context_lines``
    returns.
    """
    last = request_lines[-1]
    if last.message not in _FINAL_MESSAGES:
        return 'its end was not logged: the process ended or dropped the line'
    if last.message == 'request refused':
        return _describe_refusal(last, request_lines, context_lines)
    outcome = str(last.fields.get('outcome', ''))
    if outcome == 'client left':
        return (
            f'{_describe_leaving(last)}; {_describe_progress(request_lines)}'
            f'{_describe_last_event(last)}'
        )
    if outcome == 'stream cut':
        return _describe_aborted_stream(last, request_lines)
    if outcome.startswith('status 5'):
        return (
            f'{_describe_last_server(request_lines)} executed it and responded '
            f'with {outcome}'
        )
    return f'it completed ({outcome}); {_describe_progress(request_lines)}'


def _describe_leaving(last: LogLine) -> str:
    """Describe how the client left, which older lines don't name."""
    if last.fields.get('client_end') == 'sending_side_shut':
        left = 'the client closed its connection or only its sending side'
    else:
        left = 'the client closed its connection'
    if last.fields.get('found_by') == 'look':
        return f'{left}, as a look at the connection showed'
    return left


def _describe_last_event(last: LogLine) -> str:
    """Describe what a client had that left, which older lines don't name."""
    if last.fields.get('events') is None:
        return ''
    return (
        f'; it had {last.fields["events"]} events, the last one '
        f'{last.fields.get("last_event_age_ms")} ms before'
    )


def _describe_refusal(
    last: LogLine,
    request_lines: Sequence[LogLine],
    context_lines: Sequence[LogLine],
) -> str:
    kind = str(last.fields.get('kind', ''))
    if last.fields.get('client_end') and kind == 'outcome_unknown':
        return f'{_describe_leaving(last)}; {_describe_progress(request_lines)}'
    match kind:
        case 'configuration_too_old':
            return _describe_stale_configuration(last, context_lines)
        case 'prompt_quarantined':
            return _describe_quarantine(last, context_lines)
        case 'rate_limited':
            return _describe_rate_limit(last, request_lines)
        case 'outcome_unknown':
            return (
                f'{_describe_last_server(request_lines)} broke off after the '
                f'request was sent ({_last_failure_detail(request_lines)}), so '
                'it may have been executed, and its route allows no retry'
            )
        case 'overloaded':
            return _describe_overload(last, request_lines)
        case 'no_backend_server':
            return _describe_lack_of_servers(last, request_lines)
    return _REFUSAL_CAUSES.get(kind, str(last.fields.get('detail', '')))


def _describe_lack_of_servers(
    last: LogLine, request_lines: Sequence[LogLine]
) -> str:
    """Describe whether servers rejected it, or none was eligible, and why."""
    parts = [
        'no backend server accepted it: '
        f'{_count_failed_attempts(request_lines)} attempts failed, '
        'last error: '
        f'{_last_failure_detail(request_lines) or "no attempt sent"}',
    ]
    if _lacked_budget(request_lines):
        parts.append('the retry budget allowed no further attempt')
    detail = str(last.fields.get('detail', ''))
    if detail.startswith(_NO_SERVER_PREFIX):
        parts.append(detail)
    return '; '.join(parts)


def _lacked_budget(request_lines: Sequence[LogLine]) -> bool:
    """Return whether the last attempt would have been repeated."""
    failed = _failed_attempts(request_lines)
    return bool(failed) and (
        failed[-1].fields.get('wanted') == _RETRY
        and failed[-1].fields.get('next') != _RETRY
    )


def _describe_overload(last: LogLine, request_lines: Sequence[LogLine]) -> str:
    """Describe a refusal by the prediction that it followed, if any."""
    predictions = [
        line.fields
        for line in request_lines
        if line.message == 'left the queue'
        and line.fields.get('outcome') == 'refused'
        and 'start_ms' in line.fields
    ]
    if not predictions:
        return (
            f'no engine had capacity: {last.fields.get("detail", "")}; '
            f'{_max_queue_length(request_lines)} requests were queued on this '
            'VM'
        )
    inputs = predictions[-1]
    age_ms = inputs.get('place_age_ms')
    return (
        f'it was not predicted to start while its client waited: after '
        f'{inputs.get("waited_ms")} ms in the queue a start in '
        f'{inputs["start_ms"]} ms ({inputs.get("optimistic_start_ms")} ms at '
        f'best), {inputs.get("client_waits_ms")} ms before its client leaves; '
        f'{inputs.get("ahead")} requests ahead, {inputs.get("places_per_s")} '
        'places/s, the last one '
        f'{"not seen yet" if age_ms is None else f"{age_ms} ms earlier"}'
        f'{_describe_lacks(inputs.get("lacks"))}'
    )


def _describe_lacks(lacks: object) -> str:
    """Describe what the engines lacked for a request, if that is logged."""
    if not isinstance(lacks, dict) or not lacks:
        return ''
    counts = ', '.join(f'{count} of {lack}' for lack, count in lacks.items())
    return f'; engines without capacity for it, by what they lack: {counts}'


def _describe_quarantine(
    last: LogLine, context_lines: Sequence[LogLine]
) -> str:
    verdicts = [
        f'{line.fields.get("ends")} ends counted, {line.fields.get("answers")} '
        'sound responses, reported by '
        f'{line.fields.get("reported_by") or "itself"}'
        for line in context_lines
        if line.message == 'segment quarantined'
    ]
    since = verdicts[0] if verdicts else 'quarantined earlier'
    return f'{last.fields.get("detail", "")} ({since}); it was not sent'


def _describe_rate_limit(
    last: LogLine, request_lines: Sequence[LogLine]
) -> str:
    """Describe a refusal by the limit and by who held it, if that is logged."""
    detail = str(last.fields.get('detail', ''))
    inputs = next(
        (
            line.fields
            for line in request_lines
            if line.message == 'beyond the rate limit'
        ),
        None,
    )
    if inputs is None:
        return f'{detail}; it was not sent'
    limit = (
        f'{inputs.get("rate_per_s")} a second and a burst of '
        f'{inputs.get("burst")} in version {inputs.get("version")}'
    )
    return (
        f'{detail}: it costs {inputs.get("cost")} of {inputs.get("unit")}, '
        f'the limit is {limit}; decided by {inputs.get("owner")}, which held '
        f'{inputs.get("share")} of the fleet; it was not sent'
    )


def _describe_stale_configuration(
    last: LogLine,
    context_lines: Sequence[LogLine],
) -> str:
    age_ms = last.fields.get('config_age_ms')
    source_failures = [
        f'{line.message} ({line.fields.get("source") or line.fields})'
        for line in context_lines
        if line.message in {'store does not answer', 'source failed'}
    ]
    reason = '; '.join(source_failures[:3]) or (
        'no source failure was logged, so the process had been suspended'
    )
    return f'API keys were last confirmed {age_ms} ms earlier: {reason}'


def _describe_aborted_stream(
    last: LogLine,
    request_lines: Sequence[LogLine],
) -> str:
    detail = str(last.fields.get('detail', ''))
    if last.fields.get('reason') in _OWN_CUT_REASONS:
        return (
            f'this VM gave up {_describe_last_server(request_lines)} and did '
            f'not send the rest to another: {detail}'
        )
    if last.fields.get('reason') == 'shutdown':
        return f'it outlasted the shutdown of its VM: {detail}'
    if last.fields.get('reason') == 'internal':
        return f'an error in the program broke off the stream: {detail}'
    if 'time of the route' not in detail:
        return (
            f'{_describe_last_server(request_lines)} broke off the stream: '
            f'{detail}'
        )
    first_ms = last.fields.get('first_event_ms')
    gap_ms = last.fields.get('longest_gap_ms')
    return (
        'the time limit of the route was reached; '
        f'{_describe_last_server(request_lines)} sent '
        f'{last.fields.get("events")} events, the first after {first_ms} ms, '
        f'with gaps of up to {gap_ms} ms'
    )


def _describe_progress(request_lines: Sequence[LogLine]) -> str:
    if not any(line.message == 'placed' for line in request_lines):
        return (
            f'it was not sent; {_max_queue_length(request_lines)} requests '
            'were queued on this VM'
        )
    failures = _count_failed_attempts(request_lines)
    sent = f'last sent to {_describe_last_server(request_lines)}'
    return f'{sent} after {failures} failed attempts' if failures else sent


def _max_queue_length(request_lines: Sequence[LogLine]) -> int:
    return max(
        (int(line.fields.get('waiting', 0)) for line in request_lines),
        default=0,
    )


def _failed_attempts(request_lines: Sequence[LogLine]) -> list[LogLine]:
    return [line for line in request_lines if line.message == 'attempt failed']


def _count_failed_attempts(request_lines: Sequence[LogLine]) -> int:
    return len(_failed_attempts(request_lines))


def _describe_last_server(request_lines: Sequence[LogLine]) -> str:
    servers = [
        line.fields['server']
        for line in request_lines
        if 'server' in line.fields
    ]
    return f'backend server {servers[-1]}' if servers else 'no backend server'


def _last_failure_detail(request_lines: Sequence[LogLine]) -> str:
    failed = _failed_attempts(request_lines)
    return str(failed[-1].fields.get('detail', '')) if failed else ''
