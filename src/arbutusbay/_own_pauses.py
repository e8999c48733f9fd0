"""Remember when this process last did not run for a while."""

import attrs

CHECK_INTERVAL_S = 0.2
_MIN_PAUSE_S = 0.3
_FIRST_TURN_S = 0.1


@attrs.define(kw_only=True)
class OwnPauses:
    """Track the checks that reveal pauses of this VM.

    Times are in seconds on the clock that counts suspensions. ``paused_s`` is
    when the check before the last pause was, ``resumed_s`` when the one after
    it was.
    ``last_check_s`` is None before the first check.
    """

    paused_s: float = float('-inf')
    resumed_s: float = float('-inf')
    last_check_s: float | None = None

    def record_check(self, moment_s: float) -> None:
        """Record a check, which follows the last one after an interval."""
        if self._is_pausing(moment_s):
            self.paused_s = self.last_check_s
            self.resumed_s = moment_s
        self.last_check_s = moment_s

    def has_paused_since(self, start_s: float, moment_s: float) -> bool:
        """Return whether the VM paused between ``start_s`` and ``moment_s``.

        The pause may have ended too recently for a check to have noticed it.
        """
        return start_s < self.resumed_s or self._is_pausing(moment_s)

    def earliest_start_s(self, moment_s: float) -> float:
        """Return when what is noticed at ``moment_s`` can have come.

        What came in a pause is noticed in the first turn of the event loop
        after it, maybe behind the check that reveals the pause.
        """
        if self._is_pausing(moment_s):
            return self.last_check_s
        if moment_s - self.resumed_s < _FIRST_TURN_S:
            return self.paused_s
        return moment_s

    def _is_pausing(self, moment_s: float) -> bool:
        return self.last_check_s is not None and is_pause(
            moment_s - self.last_check_s
        )


def is_pause(elapsed_s: float) -> bool:
    """Return whether so much time between two checks reveals a pause."""
    return elapsed_s >= CHECK_INTERVAL_S + _MIN_PAUSE_S
