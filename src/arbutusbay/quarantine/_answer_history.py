"""Count the recent sound responses for each segment, within bounded memory."""

from collections import OrderedDict

import attrs

from arbutusbay.quarantine._types import AnswerTotals, SegmentKey

_PERIOD_S = 30.0
_MAX_SEGMENTS = 4096


@attrs.define(kw_only=True)
class _AnswerCount:
    period: int
    current: int = 0
    previous: int = 0
    latest_start_s: float = float('-inf')

    def advance(self, period: int) -> None:
        """Move the counts on to ``period``."""
        if period == self.period:
            return
        is_next = period == self.period + 1
        self.previous = self.current if is_next else 0
        self.current = 0
        self.period = period


class AnswerHistory:
    """Count sound responses of the last 30 to 60 seconds.

    The segments that were not answered for longest are forgotten first.
    """

    def __init__(self) -> None:
        """Start without any response."""
        self.counts: OrderedDict[SegmentKey, _AnswerCount] = OrderedDict()

    def record(self, key: SegmentKey, started_s: float, now_s: float) -> None:
        """Count a response that started at ``started_s``."""
        period = int(now_s / _PERIOD_S)
        count = self.counts.get(key)
        if count is None:
            count = _AnswerCount(period=period)
            self.counts[key] = count
            if len(self.counts) > _MAX_SEGMENTS:
                self.counts.popitem(last=False)
        count.advance(period)
        count.current += 1
        count.latest_start_s = max(count.latest_start_s, started_s)
        self.counts.move_to_end(key)

    def totals_of(self, key: SegmentKey, now_s: float) -> AnswerTotals:
        """Return the recent responses for a segment."""
        count = self.counts.get(key)
        if count is None:
            return AnswerTotals()
        count.advance(int(now_s / _PERIOD_S))
        return AnswerTotals(
            count=count.current + count.previous,
            latest_start_s=count.latest_start_s,
        )
