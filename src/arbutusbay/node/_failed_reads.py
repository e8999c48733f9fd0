"""Determine from failed reads whether the store has been away."""

import attrs

_OUTAGE_THRESHOLD_S = 1.0
_MAX_COUNTED_GAP_S = 0.8
_MAX_RETURN_DELAY_S = 4.0


@attrs.define(kw_only=True)
class FailedReads:
    """Track consecutive reads that failed at the store.

    Times are in seconds on the node's clock. ``failing_s`` is for how long
    reads have failed. A gap between two failures counts only in part, since
    the VM may have been suspended. ``has_own_failure`` means that not only
    the reads of a relay have failed.
    """

    failing_s: float = 0.0
    last_failure_s: float | None = None
    has_own_failure: bool = False

    def record_failure(self, sent_s: float, failed_s: float) -> None:
        """Record that a read sent at ``sent_s`` has failed."""
        since_s = sent_s if self.last_failure_s is None else self.last_failure_s
        self.failing_s += min(_MAX_COUNTED_GAP_S, failed_s - since_s)
        self.last_failure_s = failed_s
        self.has_own_failure = True

    def record_relayed_failure(self, failing_s: float, moment_s: float) -> None:
        """Record that the reads of a relay have failed for a while."""
        self.failing_s = max(self.failing_s, failing_s)
        self.last_failure_s = moment_s

    def record_data(self, as_of_s: float) -> None:
        """Record that data as of ``as_of_s`` was read, maybe by another VM.

        If it is newer than the last failure, the store was not away.
        """
        if self.last_failure_s is not None and as_of_s > self.last_failure_s:
            self.clear()

    def outage_end_s(self, moment_s: float) -> float | None:
        """Return when the store returned if it responds at ``moment_s``.

        None means that it was not away. The response may be noticed late, so
        the time is limited by that of the last failure.
        """
        if not self.has_own_failure or self.failing_s <= _OUTAGE_THRESHOLD_S:
            return None
        return min(moment_s, self.last_failure_s + _MAX_RETURN_DELAY_S)

    def clear(self) -> None:
        """Forget the failures."""
        self.failing_s = 0.0
        self.last_failure_s = None
        self.has_own_failure = False
