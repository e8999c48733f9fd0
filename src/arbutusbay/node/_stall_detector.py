"""Detect engines that stop responding and move retryable attempts away.

An engine that loses power sends nothing more, and its open connections
report no error. Streams that stop sending events reveal it within about a
second. A sound engine may be silent for as long and then go on, so silence
alone ends no attempt: it goes on until another engine has accepted it.
"""

import asyncio
from collections.abc import Sequence

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._monitored_attempt import (
    MonitoredAttempt,
    Silence,
    abort,
)
from arbutusbay.node._node_state import NodeState
from arbutusbay.quarantine import SegmentKey

_LOG = get_logger('silence')
_CHECK_INTERVAL_S = 0.1
_MIN_PAUSE_S = 0.2
_SUSPECT_AFTER_S = 1.1
_MOVE_AFTER_S = 1.6
_QUIET_AFTER_S = 0.5
_LONG_SILENCE_S = 2.0
_MOVE_INTERVAL_S = 0.2
_MAX_MOVES_WITHOUT_PLACE = 32
_SUSPICION_DURATION_S = 0.6


class StallDetector:
    """Monitor all attempts in flight for stalls."""

    def __init__(self, *, node_state: NodeState) -> None:
        """Report suspected engines through the views of ``node_state``."""
        self.node_state = node_state
        self.monitored: set[MonitoredAttempt] = set()
        self.last_check_s: float | None = None

    def start_monitoring(self, monitored: MonitoredAttempt) -> None:
        """Start to monitor an attempt.

        The caller must pass it to ``stop_monitoring`` in the end.
        """
        self.monitored.add(monitored)
        if monitored.move_due_s < float('inf'):
            monitored.move_timer = asyncio.get_running_loop().call_later(
                monitored.move_due_s - now_s(),
                self._move_when_due,
                monitored,
            )

    def stop_monitoring(self, monitored: MonitoredAttempt) -> None:
        """Stop monitoring an attempt."""
        monitored.has_ended = True
        self.monitored.discard(monitored)
        if monitored.move_timer is not None:
            monitored.move_timer.cancel()

    def withdraw(self, key: SegmentKey) -> None:
        """Abort the attempts with a segment whose responses have not begun."""
        for monitored in self.monitored:
            is_waiting = not monitored.attempt.has_first_event
            if (
                is_waiting
                and key in monitored.segment_keys
                and not monitored.is_ending
            ):
                monitored.is_withdrawn = True
                abort(monitored, 'attempt withdrawn for its prompt')

    async def run(self) -> None:
        """Check for stalls at a fixed interval until cancelled."""
        self.last_check_s = now_s()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check(now_s())

    def check(self, moment_s: float) -> None:
        """Mark stalled engines as suspect and move retryable attempts away.

        While an engine loads weights its streams are expected to pause, so
        such a pause counts for at most half the suspicion threshold. One that
        began before goes on to count where it was.
        """
        has_paused = self._exclude_own_pause(moment_s)
        lively_servers = self._lively_servers(moment_s)
        for monitored in self.monitored:
            if monitored.view.is_loading_weights(moment_s):
                monitored.excuse_load(
                    monitored.view.planned_load.start_s,
                    moment_s,
                    _SUSPECT_AFTER_S / 2,
                )
            elif monitored.view.id not in lively_servers and _has_stalled(
                monitored, moment_s, _SUSPECT_AFTER_S
            ):
                self._mark_suspect(monitored, moment_s)
        if not has_paused:
            # After a pause the first events may lie unread in the sockets.
            self._withdraw_overdue(moment_s)
        self._move(
            [
                monitored
                for monitored in self.monitored
                if _should_move(monitored, moment_s)
            ],
            moment_s,
        )

    def _lively_servers(self, moment_s: float) -> set[str]:
        """Return the servers of which some stream had an event lately."""
        return {
            monitored.view.id
            for monitored in self.monitored
            if monitored.attempt.has_first_event
            and not _has_stalled(monitored, moment_s, _QUIET_AFTER_S)
        }

    def _withdraw_overdue(self, moment_s: float) -> None:
        for monitored in self.monitored:
            if _is_start_overdue(monitored, moment_s):
                monitored.is_withdrawn = True
                abort(monitored, 'attempt ended before its late start')

    def _move_when_due(self, monitored: MonitoredAttempt) -> None:
        """Try to move an attempt whose time has come, unless it comes late.

        A late timer shows that this VM did not run, which the next check
        takes into account.
        """
        moment_s = now_s()
        is_late = moment_s - monitored.move_due_s >= _MIN_PAUSE_S
        if not is_late and _should_move(monitored, moment_s):
            self._move([monitored], moment_s)

    def _exclude_own_pause(self, moment_s: float) -> bool:
        """Do not count as silence the time in which this VM did not run.

        Return whether there was such a pause since the last check.
        """
        last_check_s = self.last_check_s
        self.last_check_s = moment_s
        if last_check_s is None:
            return False
        paused_s = moment_s - last_check_s - _CHECK_INTERVAL_S
        if paused_s < _MIN_PAUSE_S:
            return False
        for monitored in self.monitored:
            monitored.shift(paused_s, moment_s)
        return True

    def _move(
        self, silent: Sequence[MonitoredAttempt], moment_s: float
    ) -> None:
        """Begin to move the attempts for which there is a place elsewhere."""
        if not silent:
            return
        quiet_servers = self._quiet_servers(moment_s)
        without_place = 0
        for monitored in silent:
            if without_place == _MAX_MOVES_WITHOUT_PLACE:
                return
            monitored.next_move_s = moment_s + _MOVE_INTERVAL_S
            silence = _silence_of(monitored, quiet_servers, moment_s)
            if _try_move(monitored, silence):
                monitored.is_moving = not monitored.is_moved
            else:
                without_place += 1

    def _quiet_servers(self, moment_s: float) -> frozenset[str]:
        stalled_servers = {
            monitored.view.id
            for monitored in self.monitored
            if _has_stalled(monitored, moment_s, _QUIET_AFTER_S)
        }
        return frozenset(stalled_servers - self._lively_servers(moment_s))

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


def _try_move(monitored: MonitoredAttempt, silence: Silence) -> bool:
    """Begin one move; an error must not stop the others."""
    try:
        return monitored.try_move(silence)
    except Exception:
        _LOG.exception(
            'no place was reserved for an error in the program',
            fields={
                'request_id': monitored.request_id,
                'server': monitored.view.id,
            },
        )
        return False


def _silence_of(
    monitored: MonitoredAttempt,
    quiet_servers: frozenset[str],
    moment_s: float,
) -> Silence:
    duration_s = moment_s - monitored.last_event_s
    may_be_dead = (
        monitored.attempt.has_first_event
        or monitored.view.is_unresponsive(moment_s)
    )
    return Silence(
        duration_s=duration_s,
        is_long=may_be_dead and duration_s > _LONG_SILENCE_S,
        quiet_servers=quiet_servers | {monitored.view.id},
    )


def _has_stalled(
    monitored: MonitoredAttempt, moment_s: float, limit_s: float
) -> bool:
    silent_s = moment_s - monitored.last_event_s
    return (
        monitored.attempt.has_first_event
        and not monitored.is_relaying
        and silent_s > limit_s
    )


def _should_move(monitored: MonitoredAttempt, moment_s: float) -> bool:
    """Return whether an attempt had better go on at another server now.

    An attempt at a suspect engine is moved after a shorter silence, and even
    if it has not received an event yet. Other VMs may have reported the engine
    as suspect.
    """
    if monitored.is_ending or monitored.is_relaying or monitored.is_moving:
        return False
    if moment_s < monitored.next_move_s:
        return False
    if moment_s >= monitored.move_due_s:
        return True
    if _has_stalled(monitored, moment_s, _MOVE_AFTER_S):
        return True
    is_suspect = monitored.view.is_unresponsive(moment_s)
    return is_suspect and moment_s - monitored.last_event_s > _SUSPECT_AFTER_S


def _is_start_overdue(monitored: MonitoredAttempt, moment_s: float) -> bool:
    if monitored.is_ending or monitored.attempt.has_first_event:
        return False
    return moment_s >= monitored.start_by_s
