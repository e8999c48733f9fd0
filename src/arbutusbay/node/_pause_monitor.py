"""Log and record when the event loop did not run for a while.

The VM may have been suspended, or a callback took too long.
"""

import asyncio
import time

import attrs

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.own_pauses import CHECK_INTERVAL_S, is_pause

_LOG = get_logger('pause')


@attrs.frozen(kw_only=True)
class ClockReading:
    """Hold the clock of the node and the one that stops in a suspension."""

    now_s: float
    running_s: float


async def run_pause_monitor(node_state: NodeState) -> None:
    """Check the clocks at a fixed interval until cancelled."""
    before = read_clocks()
    node_state.own_pauses.record_check(before.now_s)
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        after = read_clocks()
        record_check(node_state, before, after)
        before = after


def read_clocks() -> ClockReading:
    """Return the present time of both clocks, in seconds."""
    return ClockReading(now_s=now_s(), running_s=time.monotonic())


def record_check(
    node_state: NodeState, before: ClockReading, after: ClockReading
) -> None:
    """Record and log a pause between two checks."""
    node_state.own_pauses.record_check(after.now_s)
    log_pause(before, after)


def log_pause(before: ClockReading, after: ClockReading) -> None:
    """Log a pause between two checks, and how much of it was a suspension."""
    elapsed_s = after.now_s - before.now_s
    if not is_pause(elapsed_s):
        return
    running_s = after.running_s - before.running_s
    _LOG.warning(
        'event loop did not run',
        fields={
            'paused_ms': milliseconds(elapsed_s - CHECK_INTERVAL_S),
            'suspended_ms': milliseconds(max(0.0, elapsed_s - running_s)),
        },
    )
