"""Release datagrams no faster than a link of a VM carries them.

A link that is full drops what comes next. A VM that reports to all others at
once would always lose the same last ones of them, which then know nothing of
its load.
"""

import types
from collections import Counter
from collections.abc import Iterator

import attrs

from arbutusbay.pacing._types import Lane, PendingDatagram

_Address = tuple[str, int]
# By the share of the link's bytes that each lane gets where both wait.
_WEIGHTS = types.MappingProxyType({Lane.ANNOUNCEMENTS: 3, Lane.REPORTS: 1})


@attrs.define(kw_only=True, eq=False)
class DatagramPacer:
    """Queue datagrams and release them at a rate, as a token bucket does.

    A newer datagram replaces an older one of its lane that still waits for the
    same VM and takes its place, so each VM gets the newest state in turn. Times
    are seconds on one clock. ``credit_bytes`` may be sent at once, as of
    ``credited_s``. ``served`` holds the weighted bytes that each lane had since
    nothing waited, by which they take turns. ``replaced_count`` and
    ``sent_bytes`` are totals by lane.
    """

    bytes_per_s: float
    burst_bytes: float
    lanes: dict[Lane, dict[_Address, bytes]] = attrs.field(factory=dict)
    served: dict[Lane, float] = attrs.field(factory=dict)
    credit_bytes: float = attrs.field(init=False)
    credited_s: float = float('-inf')
    replaced_count: Counter[Lane] = attrs.field(factory=Counter)
    sent_bytes: Counter[Lane] = attrs.field(factory=Counter)

    def __attrs_post_init__(self) -> None:
        """Start with the whole burst unused."""
        self.credit_bytes = self.burst_bytes

    @property
    def pending_count(self) -> int:
        """Return how many datagrams wait."""
        return sum(len(waiting) for waiting in self.lanes.values())

    def put(self, lane: Lane, address: _Address, payload: bytes) -> None:
        """Queue a datagram, in the place of one that waits for the same VM."""
        waiting = self.lanes.setdefault(lane, {})
        self.replaced_count[lane] += address in waiting
        waiting[address] = payload

    def take_due(self, now_s: float) -> Iterator[PendingDatagram]:
        """Remove and yield the datagrams that may be sent by now.

        A datagram is sent as soon as there is any credit, so one that exceeds
        the burst is not held for ever.
        """
        self._earn(now_s)
        while self.credit_bytes > 0 and self.pending_count:
            lane = self._next_lane()
            waiting = self.lanes[lane]
            address = next(iter(waiting))
            payload = waiting.pop(address)
            self._record_sent(lane, len(payload))
            yield PendingDatagram(address=address, payload=payload)

    def wait_s(self, now_s: float) -> float | None:
        """Return in how many seconds one is due, None if none waits."""
        if not self.pending_count:
            return None
        self._earn(now_s)
        return max(0.0, -self.credit_bytes / self.bytes_per_s)

    def _earn(self, now_s: float) -> None:
        elapsed_s = now_s - self.credited_s
        if elapsed_s <= 0:
            return
        self.credited_s = now_s
        self.credit_bytes = min(
            self.burst_bytes, self.credit_bytes + elapsed_s * self.bytes_per_s
        )

    def _next_lane(self) -> Lane:
        """Return the lane whose turn it is, of those where something waits."""
        waiting = [lane for lane in Lane if self.lanes.get(lane)]
        return min(waiting, key=self._served_of)

    def _served_of(self, lane: Lane) -> float:
        return self.served.get(lane, 0.0)

    def _record_sent(self, lane: Lane, size: int) -> None:
        self.credit_bytes -= size
        self.sent_bytes[lane] += size
        self.served[lane] = self._served_of(lane) + size / _WEIGHTS[lane]
        if not self.pending_count:
            self.served.clear()
