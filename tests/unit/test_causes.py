"""Test that log lines are parsed and the cause of an end is described."""

from datetime import datetime, timedelta

import orjson
import pytest

from arbutusbay.cli._causes import describe_cause, find_context_lines
from arbutusbay.cli._log_reader import LogLine, read_log_files

_START = datetime.fromisoformat('2026-12-04T10:00:00')


def build_line(message, *, after_s=0.0, request_id='r', **fields) -> LogLine:
    """Return a line logged by ``vm-1``, by default for the request ``r``."""
    return LogLine(
        time=_START + timedelta(seconds=after_s),
        process='vm-1',
        message=message,
        request_id=request_id,
        fields=fields,
    )


@pytest.mark.parametrize(
    ('last', 'expected'),
    [
        (
            build_line('request refused', kind='overloaded', detail='for 2 s'),
            'no engine had capacity: for 2 s; 7 requests were queued',
        ),
        (
            build_line(
                'request refused',
                kind='no_backend_server',
                detail='no backend server is available: '
                'of 6, 4 without its weights, 2 tried',
            ),
            'no backend server accepted it: 1 attempts failed, last error: '
            'status 503; no backend server is available: of 6, 4 without its '
            'weights, 2 tried',
        ),
        (
            build_line('request refused', kind='no_backend_server'),
            'no backend server accepted it: 1 attempts failed, '
            'last error: status 503',
        ),
        (
            build_line('request ended', outcome='client left'),
            'closed its connection; last sent to backend server e-1',
        ),
        (
            build_line(
                'request ended',
                outcome='client left',
                client_end='sending_side_shut',
                found_by='look',
            ),
            'closed its connection or only its sending side, as a look at the '
            'connection showed; last sent to backend server e-1',
        ),
        (
            build_line(
                'request ended',
                outcome='stream cut',
                detail='the time of the route ran out',
                events=3,
                first_event_ms=90,
                longest_gap_ms=800,
            ),
            'sent 3 events, the first after 90 ms, with gaps of up to 800 ms',
        ),
        (
            build_line('request ended', outcome='stream cut', detail='reset'),
            'backend server e-1 broke off the stream: reset',
        ),
        (
            build_line(
                'request refused',
                kind='prompt_quarantined',
                detail='engines crashed under segment dd04 of the prompt',
            ),
            'under segment dd04 of the prompt (quarantined earlier)',
        ),
        (
            build_line(
                'request refused',
                kind='rate_limited',
                detail='the rate limit of team pharmacy is used up',
            ),
            'the rate limit of team pharmacy is used up; it was not sent',
        ),
        (build_line('request ended', outcome='status 500'), 'executed it'),
        (
            build_line('request refused', kind='client_half_closed'),
            'only its sending side before anything was sent; it was not run',
        ),
        (
            build_line(
                'request refused',
                kind='outcome_unknown',
                client_end='sending_side_shut',
            ),
            'or only its sending side; last sent to backend server e-1',
        ),
        (
            build_line('request refused', kind='internal', detail='KeyError()'),
            'an error in the program',
        ),
        (
            build_line(
                'request ended',
                outcome='stream cut',
                reason='internal',
                detail='KeyError()',
            ),
            'an error in the program broke off the stream: KeyError()',
        ),
        (build_line('placed', server='e-1'), 'its end was not logged'),
    ],
)
def test_describe_cause_of_end(last, expected):
    request_lines = [
        build_line('waits for an engine', waiting=7),
        build_line('placed', server='e-1'),
        build_line('attempt failed', server='e-1', detail='status 503'),
        last,
    ]
    assert expected in describe_cause(request_lines, [])


def test_context_has_only_nearby_lines_of_the_vm_or_server():
    request_lines = [
        build_line('placed', server='e-1'),
        build_line('request ended'),
    ]
    near = build_line('server avoided', request_id='', server='e-1')
    late = build_line('store does not answer', request_id='', after_s=60)
    other = LogLine(
        time=_START,
        process='vm-2',
        message='lease claimed',
        request_id='',
        fields={},
    )
    assert find_context_lines(
        [near, late, other, *request_lines], request_lines
    ) == [near]


def test_lines_of_other_programs_are_skipped(tmp_path):
    path = tmp_path / 'vm.log'
    line = {
        'time': '2026-12-04T10:00:00',
        'process': 'vm-1',
        'message': 'placed',
        'request_id': 'r',
        'server': 'e-1',
    }
    path.write_bytes(
        b'Traceback\n{"time": 5}\n{broken\n\xff\xfe\n 12.5 vm-1 '
        + orjson.dumps(line)
        + b'\n',
    )
    lines = read_log_files([path])
    assert [line.fields for line in lines] == [{'server': 'e-1'}]


# Guards against an explanation that leaves out why a request was refused while
# its client still waited.
def test_refusal_by_a_predicted_start_names_its_inputs():
    request_lines = [
        build_line('waits for an engine', waiting=3),
        build_line(
            'left the queue',
            outcome='refused',
            waited_ms=900,
            client_waits_ms=1500,
            start_ms=2100,
            optimistic_start_ms=1400,
            ahead=2,
            places_per_s=1.4,
            place_age_ms=700,
            lacks={'memory': 3, 'places': 1},
        ),
        build_line('request refused', kind='overloaded', detail='a start'),
    ]
    cause = describe_cause(request_lines, [])
    assert 'after 900 ms in the queue a start in 2100 ms' in cause
    assert '1500 ms before its client leaves; 2 requests ahead' in cause
    assert '1.4 places/s, the last one 700 ms earlier' in cause
    assert cause.endswith('by what they lack: 3 of memory, 1 of places')


# Guards against refusals for an empty retry budget that look like a lack of
# servers.
def test_missing_budget_for_a_retry_is_named():
    failed = build_line(
        'attempt failed',
        detail='status 503',
        wanted='retry_within_budget',
        next='return_failure',
    )
    last = build_line('request refused', kind='no_backend_server')
    cause = describe_cause([failed, last], [])
    assert 'the retry budget allowed no further attempt' in cause


# Guards against clients that left a silent stream and look like any other.
def test_age_of_the_last_event_is_named_where_the_client_left():
    last = build_line(
        'request ended',
        outcome='client left',
        events=3,
        last_event_age_ms=2400,
        client_waits_ms=700,
    )
    cause = describe_cause([last], [])
    assert '3 events, the last one 2400 ms before' in cause


def test_rate_limit_is_explained_by_its_inputs():
    inputs = build_line(
        'beyond the rate limit',
        cost=920.0,
        unit='tokens',
        rate_per_s=2000.0,
        burst=4600.0,
        version=2,
        owner='vm-1',
        share=0.333,
    )
    refused = build_line(
        'request refused', kind='rate_limited', detail='used up'
    )
    assert describe_cause([inputs, refused], []) == (
        'used up: it costs 920.0 of tokens, the limit is 2000.0 a second and '
        'a burst of 4600.0 in version 2; decided by vm-1, which held 0.333 of '
        'the fleet; it was not sent'
    )
