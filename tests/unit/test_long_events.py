"""Check that long events take little of the processor of a VM.

200 streams of 20 events with 20 kB each may be read within a second in which
quick requests are answered as well (issue 60, part 7).
"""

import time

import pytest

from arbutusbay.platform import ServerSentEventParser

_EVENTS = 400
_PROCESSOR_S = _EVENTS / (200 * 20)
_PIECE_BYTES = 16_384
_LONG_LINE = b'data: %s' % (b'x' * 20_000)


def parse_in_pieces(stream: bytes) -> int:
    """Return how many events come out of a stream that comes in pieces."""
    parser = ServerSentEventParser()
    return sum(
        len(list(parser.parse_chunk(stream[start : start + _PIECE_BYTES])))
        for start in range(0, len(stream), _PIECE_BYTES)
    )


# Guards against long events whose search delays everything else.
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_long_events_take_little_time(line_end):
    event = line_end.join((b'id: 7', _LONG_LINE, b'', b''))
    stream = event * _EVENTS
    began_s = time.process_time()
    assert parse_in_pieces(stream) == _EVENTS
    assert time.process_time() - began_s < _PROCESSOR_S


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_ends_of_any_form_end_an_event(line_end):
    events = [
        b'data: a%b' % (line_end * 2),
        b'data: b\r\n\r\n',
        b': c%b' % (line_end * 2),
        b'data: b\r\n\r\n',
    ]
    parsed = ServerSentEventParser().parse_chunk(b''.join(events))
    assert [event.raw_bytes for event in parsed] == events
