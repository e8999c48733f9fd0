"""Check what becomes of an attempt whose move is accepted as it ends."""

import asyncio
from types import SimpleNamespace

from arbutusbay.clock import now_s
from arbutusbay.node._monitored_attempt import MonitoredAttempt


def build_monitored(limit: asyncio.Timeout) -> MonitoredAttempt:
    """Return a monitored attempt that ``limit`` ends."""
    return MonitoredAttempt(
        attempt=SimpleNamespace(has_first_event=True),
        view=SimpleNamespace(id='engine-1'),
        abort_timeout=limit,
        last_event_s=now_s(),
    )


# Guards against an exception in the task that watches a move, as the first
# attempt has failed by itself meanwhile.
async def test_move_may_be_accepted_after_the_first_attempt_has_ended():
    async with asyncio.timeout(None) as limit:
        monitored = build_monitored(limit)
    monitored.has_ended = True
    monitored.accept_move('engine-2')
    assert not monitored.is_moved


# Guards against a stream that is aborted behind its last piece, as the other
# engine accepts in the same turn of the event loop.
async def test_stream_that_ends_as_its_move_is_accepted_is_kept():
    async with asyncio.timeout(None) as limit:
        monitored = build_monitored(limit)
        monitored.accept_move('engine-2')
        assert monitored.keep()
        await asyncio.sleep(0.05)
    assert not monitored.is_moved
