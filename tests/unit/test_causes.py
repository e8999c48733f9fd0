"""Name causes from the lines of a log."""

from datetime import datetime, timedelta

import orjson
import pytest

from arbutusbay.cli._causes import cause_of, lines_around
from arbutusbay.cli._log_lines import LogLine, lines_of_files

_START = datetime.fromisoformat('2026-12-04T10:00:00')


def build_line(message, *, after_s=0.0, request_id='r', **fields) -> LogLine:
    """Return a line of ``vm-1``."""
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
            'no engine had room: for 2 s; 7 waited',
        ),
        (
            build_line('request refused', kind='no_backend_server'),
            'no backend server took it: 1 attempts failed before',
        ),
        (
            build_line('request ended', outcome='client left'),
            'closed its connection; last sent to backend server e-1',
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
            'sent 3 events, the first after 90 ms, with pauses up to 800 ms',
        ),
        (
            build_line('request ended', outcome='stream cut', detail='reset'),
            'backend server e-1 broke the stream off: reset',
        ),
        (build_line('request ended', outcome='status 500'), 'ran it'),
        (build_line('placed', server='e-1'), 'no line tells its end'),
    ],
)
def test_cause_is_named(last, expected):
    told = [
        build_line('waits for an engine', waiting=7),
        build_line('placed', server='e-1'),
        build_line('attempt failed', server='e-1', detail='status 503'),
        last,
    ]
    assert expected in cause_of(told, [])


def test_lines_around_belong_to_the_vm_or_its_server():
    told = [build_line('placed', server='e-1'), build_line('request ended')]
    near = build_line('server avoided', request_id='', server='e-1')
    late = build_line('store does not answer', request_id='', after_s=60)
    other = LogLine(
        time=_START,
        process='vm-2',
        message='lease claimed',
        request_id='',
        fields={},
    )
    assert lines_around([near, late, other, *told], told) == [near]


def test_foreign_lines_are_passed_over(tmp_path):
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
    lines = lines_of_files([path])
    assert [line.fields for line in lines] == [{'server': 'e-1'}]
