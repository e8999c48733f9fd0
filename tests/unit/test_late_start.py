"""Check what is recorded of an attempt that did not begin in time."""

import asyncio

import pytest

from arbutusbay.clock import now_s
from arbutusbay.node._monitored_attempt import (
    MonitoredAttempt,
    aborted_attempt_failure,
)
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_feedback import ServerFeedback
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.scheduling import Attempt, AttemptOutcome
from tests.fleet_builders import build_vm_settings
from tests.unit.test_engine_placement import build_view


@pytest.fixture
async def node_state():
    return NodeState(settings=build_vm_settings())


async def withdraw(node_state, *, has_first_event: bool):
    """Monitor an attempt past its time to start; return it."""
    attempt = Attempt(
        sent_s=now_s(), uncached_tokens=1, queued_ahead_tokens=0, kv_tokens=1
    )
    attempt.has_first_event = has_first_event
    detector = StallDetector(node_state=node_state)
    async with asyncio.timeout(None) as abort_timeout:
        monitored = MonitoredAttempt(
            attempt=attempt,
            view=build_view('engine-1'),
            abort_timeout=abort_timeout,
            last_event_s=now_s(),
            start_by_s=now_s() + 0.3,
        )
        detector.start_monitoring(monitored)
        detector.check(now_s())
        assert not monitored.is_withdrawn
        for tenths in range(1, 5):
            detector.check(now_s() + tenths / 10)
        await asyncio.sleep(0.01)
    return monitored


async def test_attempt_that_has_begun_is_not_withdrawn(node_state):
    monitored = await withdraw(node_state, has_first_event=True)
    assert not monitored.is_withdrawn


# Guards against a sound engine that no VM uses for seconds, because requests
# that it had not begun were withdrawn when its weights had expired.
async def test_withdrawn_attempt_does_not_count_against_the_engine(node_state):
    with pytest.raises(TimeoutError):
        await withdraw(node_state, has_first_event=False)
    view = build_view('engine-1')
    feedback = ServerFeedback(node_state=node_state)
    feedback.record_failure(view, AttemptOutcome.WITHDRAWN)
    assert not view.is_in_backoff(now_s())
    assert not view.consecutive_failures


def test_attempt_that_was_not_monitored_counts_as_stalled():
    failure = aborted_attempt_failure(None).err_value
    assert failure.outcome is AttemptOutcome.UNKNOWN
