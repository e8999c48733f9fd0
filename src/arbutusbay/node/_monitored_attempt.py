"""Represent an attempt in flight that may be moved or withdrawn."""

import asyncio
from collections.abc import Callable, Mapping

import attrs
from result import Err

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._attempts import AttemptFailure
from arbutusbay.quarantine import SegmentKey
from arbutusbay.scheduling import (
    Attempt,
    AttemptOutcome,
    EngineView,
    ResponseProgress,
)

_LOG = get_logger('silence')


@attrs.frozen(kw_only=True)
class Silence:
    """Describe the silence of a server.

    ``duration_s`` is in seconds. It ``is_long`` if a sound server would have
    gone on. ``quiet_servers`` holds the ids of the servers, this one among
    them, of whose streams none had an event lately.
    """

    duration_s: float
    is_long: bool
    quiet_servers: frozenset[str]


def _cannot_move(silence: Silence) -> bool:
    return False


@attrs.define(kw_only=True, eq=False)
class MonitoredAttempt:
    """Represent a monitored attempt.

    ``abort_timeout`` is the timeout that is rescheduled to abort the attempt,
    which raises ``TimeoutError`` in its task. ``try_move`` takes the
    silence, sends the request to another server as well and returns whether it
    did. The attempt ``is_moving`` from then on, and ``is_moved`` once that
    server has accepted; only then is it aborted for a silence. From
    ``move_due_s`` on a move is tried whatever was received. ``load_start_s`` is
    when the load of weights began in which its engine was silent last, after a
    silence of ``silence_before_load_s`` already. An attempt without
    an event by ``start_by_s`` is withdrawn in any case. While ``is_relaying``
    the client is awaited, not the engine. ``has_ended`` is set once nothing
    waits for it any more. Times are in seconds on the clock of ``now_s``.
    """

    attempt: Attempt
    view: EngineView
    abort_timeout: asyncio.Timeout
    last_event_s: float
    start_by_s: float = float('inf')
    move_due_s: float = float('inf')
    try_move: Callable[[Silence], bool] = _cannot_move
    request_id: str = ''
    segment_keys: tuple[SegmentKey, ...] = ()
    is_relaying: bool = False
    is_withdrawn: bool = False
    is_moving: bool = False
    is_moved: bool = False
    has_ended: bool = False
    move_timer: asyncio.TimerHandle | None = None
    next_move_s: float = 0.0
    load_start_s: float | None = None
    silence_before_load_s: float = 0.0

    @property
    def is_ending(self) -> bool:
        """Return whether the attempt is being aborted."""
        return self.is_withdrawn or self.is_moved

    def accept_move(self, server_id: str) -> None:
        """Abort the attempt, as the server with ``server_id`` goes on.

        What is being passed on goes out whole before that. An attempt that has
        ended, or is being aborted, is left as it is.
        """
        self.is_moving = False
        if self.has_ended or self.is_ending or self.abort_timeout.expired():
            return
        self.is_moved = True
        fields = {
            'to': server_id,
            'silent_ms': milliseconds(now_s() - self.last_event_s),
        }
        if self.is_relaying:
            _log(self, 'move accepted', fields)
        else:
            abort(self, 'move accepted', **fields)

    def keep(self) -> bool:
        """Take back that the attempt is moved; return whether that is possible.

        Its response has come to its end in the meantime.
        """
        if not self.is_moved:
            return True
        if self.abort_timeout.expired():
            return False
        self.abort_timeout.reschedule(None)
        self.is_moved = False
        return True

    def postpone_move(self, due_s: float) -> None:
        """Take the response that has begun for alive until ``due_s``."""
        self.move_due_s = due_s

    def record_event(self, moment_s: float) -> None:
        """Record that an event was received and passed on."""
        self.last_event_s = moment_s
        self.is_relaying = False
        self.silence_before_load_s = 0.0

    def excuse_load(
        self, start_s: float, moment_s: float, limit_s: float
    ) -> None:
        """Count silence in a load that began at ``start_s`` up to a limit.

        What there was before counts in full, as it has another cause.
        """
        if self.load_start_s != start_s:
            self.load_start_s = start_s
            self.silence_before_load_s = start_s - self.last_event_s
        counted_s = max(limit_s, self.silence_before_load_s)
        self.last_event_s = max(self.last_event_s, moment_s - counted_s)

    def end_relaying(self, waited_s: float) -> None:
        """Leave out the time in which the client was awaited."""
        self.last_event_s += waited_s
        self.is_relaying = False
        if self.is_moved:
            abort(self, 'attempt ended behind a comment')

    def shift(self, paused_s: float, moment_s: float) -> None:
        """Leave out a pause of this VM that ended at ``moment_s``."""
        self.last_event_s = min(moment_s, self.last_event_s + paused_s)
        self.move_due_s += paused_s


def abort(
    monitored: MonitoredAttempt, message: str, **fields: float | str | None
) -> None:
    """Log ``message`` and abort an attempt."""
    _log(monitored, message, fields)
    loop = asyncio.get_running_loop()
    monitored.abort_timeout.reschedule(loop.time())


def _log(
    monitored: MonitoredAttempt,
    message: str,
    fields: Mapping[str, float | str | None],
) -> None:
    _LOG.info(
        message,
        fields={
            'request_id': monitored.request_id,
            'server': monitored.view.id,
            **fields,
        },
    )


def aborted_attempt_failure(
    monitored: MonitoredAttempt | None,
) -> Err[AttemptFailure]:
    """Return the failure of an attempt that was withdrawn or moved.

    None stands for an attempt that ended before it was monitored.
    """
    outcome = AttemptOutcome.UNKNOWN
    detail = 'backend server stopped responding'
    if monitored is not None and monitored.is_withdrawn:
        outcome = AttemptOutcome.WITHDRAWN
        detail = 'withdrawn before it began'
    elif monitored is not None and monitored.is_moved:
        outcome = AttemptOutcome.MOVED
    has_begun = monitored is not None and monitored.attempt.has_first_event
    return Err(
        AttemptFailure(
            outcome=outcome,
            detail=detail,
            progress=ResponseProgress.UNDERWAY
            if has_begun
            else ResponseProgress.NOT_STARTED,
            is_ended_here=True,
        )
    )
