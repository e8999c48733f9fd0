"""Check that the log separates a suspended VM from a busy event loop."""

import asyncio

import logbook

from arbutusbay.node._node_state import NodeState
from arbutusbay.node._pause_monitor import (
    ClockReading,
    log_pause,
    run_pause_monitor,
)
from tests.fleet_builders import build_vm_settings

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


# Guards against a pause that ends with the first check and is not noticed, so
# that a connection that was not made in it is given up.
async def test_pause_right_after_the_start_counts():
    node_state = NodeState(settings=build_vm_settings())
    monitor = asyncio.create_task(run_pause_monitor(node_state))
    await asyncio.sleep(0)
    monitor.cancel()
    started_s = node_state.own_pauses.last_check_s
    assert node_state.own_pauses.has_paused_since(started_s, started_s + 1)
