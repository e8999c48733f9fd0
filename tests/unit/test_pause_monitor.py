"""Check that the log separates a suspended VM from a busy event loop."""

import logbook

from arbutusbay.node._pause_monitor import ClockReading, log_pause

START = ClockReading(now_s=100.0, running_s=50.0)


def logged_pauses(after: ClockReading) -> list[dict]:
    """Return the fields of the lines that one check writes."""
    with logbook.TestHandler() as handler:
        log_pause(START, after)
    return [record.kwargs['fields'] for record in handler.records]


def test_short_delay_is_not_logged():
    assert not logged_pauses(ClockReading(now_s=100.4, running_s=50.4))


def test_busy_event_loop_counts_as_pause():
    pauses = logged_pauses(ClockReading(now_s=102.2, running_s=52.2))
    assert pauses == [{'paused_ms': 2000, 'suspended_ms': 0}]


def test_suspended_time_is_told_apart():
    pauses = logged_pauses(ClockReading(now_s=105.2, running_s=50.25))
    assert pauses == [{'paused_ms': 5000, 'suspended_ms': 4950}]
