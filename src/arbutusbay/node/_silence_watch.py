"""Notice engines that fall silent, and free repeatable requests of them.

An engine that loses power sends nothing more, and nothing on the
connection tells. Streams that stall together show it within a second.
"""

import asyncio

import attrs

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.scheduling import Attempt, EngineView

_LOG = get_logger('silence')
_CHECK_S = 0.1
_SILENT_S = 1.1
_STALLED_S = 1.6
_SUSPICION_S = 0.6


@attrs.define(kw_only=True, eq=False)
class Watched:
    """Hold one attempt and, if it may be repeated, how to end it.

    ``limit`` raises ``TimeoutError`` in the attempt's task.
    """

    attempt: Attempt
    view: EngineView
    limit: asyncio.Timeout | None
    last_event_s: float


class SilenceWatch:
    """Watch all attempts that wait for events."""

    def __init__(self, *, board: NodeBoard) -> None:
        """Tell of silent engines on ``board``."""
        self.board = board
        self.watched: set[Watched] = set()

    def start(
        self,
        attempt: Attempt,
        view: EngineView,
        limit: asyncio.Timeout | None,
    ) -> Watched:
        """Watch an attempt; the caller ends it with ``stop``."""
        watched = Watched(
            attempt=attempt,
            view=view,
            limit=limit,
            last_event_s=now_s(),
        )
        self.watched.add(watched)
        return watched

    def stop(self, watched: Watched) -> None:
        """No longer watch an attempt."""
        self.watched.discard(watched)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S)
            self.check(now_s())

    def check(self, moment_s: float) -> None:
        """Suspect silent engines and end repeatable attempts there."""
        for watched in self.watched:
            if watched.view.is_loading(moment_s):
                watched.last_event_s = max(
                    watched.last_event_s,
                    moment_s - _SILENT_S / 2,
                )
            elif self._has_stalled(watched, moment_s, _SILENT_S):
                self._suspect(watched.view, moment_s)
        for watched in self.watched:
            if self._must_end(watched, moment_s):
                self._end(watched, moment_s)

    def _has_stalled(
        self,
        watched: Watched,
        moment_s: float,
        limit_s: float,
    ) -> bool:
        silent_s = moment_s - watched.last_event_s
        return watched.attempt.has_started and silent_s > limit_s

    def _must_end(self, watched: Watched, moment_s: float) -> bool:
        if watched.limit is None or watched.limit.expired():
            return False
        if self._has_stalled(watched, moment_s, _STALLED_S):
            return True
        is_suspect = watched.view.is_silent(moment_s)
        return is_suspect and moment_s - watched.last_event_s > _SILENT_S

    def _end(self, watched: Watched, moment_s: float) -> None:
        _LOG.info(
            'attempt ended at a silent server',
            fields={
                'server': watched.view.id,
                'silent_ms': int((moment_s - watched.last_event_s) * 1000),
            },
        )
        loop = asyncio.get_running_loop()
        watched.limit.reschedule(loop.time())

    def _suspect(self, view: EngineView, moment_s: float) -> None:
        if not view.is_silent(moment_s):
            _LOG.info('server silent', fields={'server': view.id})
            self.board.notify_load()
        view.suspected_until_s = moment_s + _SUSPICION_S
        view.silent_until_s = view.suspected_until_s
