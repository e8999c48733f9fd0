"""Detect engines that stop responding and abort retryable attempts there.

An engine that loses power sends nothing more, and its open connections
report no error. Streams that stop sending events reveal it within about a
second.
"""

import asyncio

import attrs

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.quarantine import SegmentKey
from arbutusbay.scheduling import Attempt, EngineView

_LOG = get_logger('silence')
_CHECK_INTERVAL_S = 0.1
_MIN_PAUSE_S = 0.2
_SUSPECT_AFTER_S = 1.1
_ABORT_AFTER_S = 1.6
_SUSPICION_DURATION_S = 0.6


@attrs.define(kw_only=True, eq=False)
class MonitoredAttempt:
    """Represent a monitored attempt.

    ``abort_timeout`` is the timeout that is rescheduled to abort the attempt,
    which raises ``TimeoutError`` in its task. Only an attempt that
    ``is_retryable`` is aborted for a stall. An attempt without an event by
    ``start_by_s`` is withdrawn in any case. Times are in seconds on the clock
    of ``now_s``.
    """

    attempt: Attempt
    view: EngineView
    abort_timeout: asyncio.Timeout
    is_retryable: bool
    last_event_s: float
    start_by_s: float
    segment_keys: tuple[SegmentKey, ...] = ()
    is_withdrawn: bool = False


class StallDetector:
    """Monitor all attempts in flight for stalls."""

    def __init__(self, *, node_state: NodeState) -> None:
        """Report suspected engines through the views of ``node_state``."""
        self.node_state = node_state
        self.monitored: set[MonitoredAttempt] = set()
        self.last_check_s: float | None = None

    def start_monitoring(
        self,
        attempt: Attempt,
        view: EngineView,
        abort_timeout: asyncio.Timeout,
        *,
        is_retryable: bool,
        start_by_s: float,
        segment_keys: tuple[SegmentKey, ...] = (),
    ) -> MonitoredAttempt:
        """Start to monitor an attempt.

        The caller must pass the returned object to ``stop_monitoring``.
        """
        monitored = MonitoredAttempt(
            attempt=attempt,
            view=view,
            abort_timeout=abort_timeout,
            is_retryable=is_retryable,
            last_event_s=now_s(),
            start_by_s=start_by_s,
            segment_keys=segment_keys,
        )
        self.monitored.add(monitored)
        return monitored

    def stop_monitoring(self, monitored: MonitoredAttempt) -> None:
        """Stop monitoring an attempt."""
        self.monitored.discard(monitored)

    def withdraw(self, key: SegmentKey) -> None:
        """Abort the attempts with a segment whose responses have not begun."""
        for monitored in self.monitored:
            is_waiting = not monitored.attempt.has_first_event
            if (
                is_waiting
                and key in monitored.segment_keys
                and not monitored.abort_timeout.expired()
            ):
                monitored.is_withdrawn = True
                _abort(monitored, 'attempt withdrawn for its prompt')

    async def run(self) -> None:
        """Check for stalls at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check(now_s())

    def check(self, moment_s: float) -> None:
        """Mark stalled engines as suspect and abort retryable attempts there.

        While an engine loads weights its streams are expected to pause, so
        such a pause counts for at most half the suspicion threshold.
        """
        self._exclude_own_pause(moment_s)
        for monitored in self.monitored:
            if monitored.view.is_loading_weights(moment_s):
                monitored.last_event_s = max(
                    monitored.last_event_s,
                    moment_s - _SUSPECT_AFTER_S / 2,
                )
            elif self._has_stalled(monitored, moment_s, _SUSPECT_AFTER_S):
                self._mark_suspect(monitored, moment_s)
        for monitored in self.monitored:
            if not monitored.abort_timeout.expired():
                self._abort_if_due(monitored, moment_s)

    def _exclude_own_pause(self, moment_s: float) -> None:
        """Do not count as silence the time in which this VM did not run."""
        last_check_s = self.last_check_s
        self.last_check_s = moment_s
        if last_check_s is None:
            return
        paused_s = moment_s - last_check_s - _CHECK_INTERVAL_S
        if paused_s < _MIN_PAUSE_S:
            return
        for monitored in self.monitored:
            monitored.last_event_s = min(
                moment_s, monitored.last_event_s + paused_s
            )

    def _abort_if_due(
        self, monitored: MonitoredAttempt, moment_s: float
    ) -> None:
        if _is_start_overdue(monitored, moment_s):
            monitored.is_withdrawn = True
            _abort(monitored, 'attempt ended before its late start')
        elif self._must_abort(monitored, moment_s):
            _abort(
                monitored,
                'attempt ended at a silent server',
                silent_ms=milliseconds(moment_s - monitored.last_event_s),
            )

    def _has_stalled(
        self,
        monitored: MonitoredAttempt,
        moment_s: float,
        limit_s: float,
    ) -> bool:
        silent_s = moment_s - monitored.last_event_s
        return monitored.attempt.has_first_event and silent_s > limit_s

    def _must_abort(self, monitored: MonitoredAttempt, moment_s: float) -> bool:
        """Return whether to abort an attempt.

        An attempt at a suspect engine is aborted after a shorter silence, and
        even if it has not received an event yet. Other VMs may have reported
        the engine as suspect.
        """
        if not monitored.is_retryable:
            return False
        if self._has_stalled(monitored, moment_s, _ABORT_AFTER_S):
            return True
        is_suspect = monitored.view.is_unresponsive(moment_s)
        return (
            is_suspect and moment_s - monitored.last_event_s > _SUSPECT_AFTER_S
        )

    def _mark_suspect(self, stalled: MonitoredAttempt, moment_s: float) -> None:
        view = stalled.view
        if not view.is_unresponsive(moment_s):
            _LOG.info(
                'server silent',
                fields={
                    'server': view.id,
                    'silent_ms': milliseconds(moment_s - stalled.last_event_s),
                    'attempts': sum(
                        monitored.view is view for monitored in self.monitored
                    ),
                },
            )
            self.node_state.notify_report_changed()
        view.locally_suspected_until_s = moment_s + _SUSPICION_DURATION_S
        view.unresponsive_until_s = view.locally_suspected_until_s


def _is_start_overdue(monitored: MonitoredAttempt, moment_s: float) -> bool:
    has_started = monitored.attempt.has_first_event
    return not has_started and moment_s >= monitored.start_by_s


def _abort(
    monitored: MonitoredAttempt, message: str, **fields: int | None
) -> None:
    _LOG.info(message, fields={'server': monitored.view.id, **fields})
    loop = asyncio.get_running_loop()
    monitored.abort_timeout.reschedule(loop.time())
