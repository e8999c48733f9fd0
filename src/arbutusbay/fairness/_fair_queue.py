"""Order waiting requests by urgency, by team and by target.

More urgent requests come first. Within an urgency those come first that can
still meet their target, then within these the team that got the least work
lately, and within a team the request that must start first. At every
``_FLOOR_INTERVAL``-th start the requests that missed their target come first,
in turn by arrival alone and, by team, those of less urgency than others that
wait. So neither a kind of request nor a team starves, also one whose requests
are large.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Generic, TypeVar

from arbutusbay.fairness._lanes import Lane, Usage
from arbutusbay.fairness._queue_entry import QueueEntry
from arbutusbay.fairness._team_work import TeamWork

_FLOOR_INTERVAL = 4
FLOOR_SHARE = 1 / _FLOOR_INTERVAL

Entry = TypeVar('Entry', bound=QueueEntry)


class FairQueue(Generic[Entry]):
    """Hold the requests that wait for a place.

    ``waiting`` holds them in the order of arrival, ``team_work`` what their
    teams got lately. ``started_count`` counts those that left for a place.
    ``allowance`` is how many times the mean work of all teams a team may get
    before it comes after the others; with 0 any difference counts. Among
    teams within it the target alone decides.
    """

    def __init__(
        self, *, team_work: TeamWork | None = None, allowance: float = 0.0
    ) -> None:
        """Create an empty queue, which records its starts in ``team_work``."""
        self.waiting: list[Entry] = []
        self.started_count = 0
        self.team_work = team_work or TeamWork()
        self.allowance = allowance

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiting)

    def push(self, entry: Entry) -> None:
        """Add a request."""
        self.waiting.append(entry)

    def remove(self, entry: Entry, *, was_placed: bool) -> None:
        """Remove a request that was placed or that ended while it waited.

        Raise ``ValueError`` if it does not wait.
        """
        self.waiting.remove(entry)
        if was_placed:
            self.started_count += 1
            self.team_work.record(entry.team, entry.weighted_work)

    def discard(self, entry: Entry) -> None:
        """Remove a request that ended, if it still waits."""
        if entry in self.waiting:
            self.remove(entry, was_placed=False)

    def in_service_order(self, now_s: float) -> Iterator[Entry]:
        """Yield the requests in the order in which to place the next one."""
        self.team_work.advance(now_s)
        if len(self.waiting) <= 1:
            yield from tuple(self.waiting)
            return
        lanes = self._lanes(now_s)
        for lane in (*lanes.floor_of(self.started_count), *lanes.regular):
            yield from lane

    def in_start_order(self, now_s: float) -> Iterator[Entry]:
        """Yield the requests in the order in which they would start.

        ``in_service_order`` holds for the next start only. Here the starts
        before it count for the place of each request.
        """
        self.team_work.advance(now_s)
        if len(self.waiting) <= 1:
            yield from tuple(self.waiting)
            return
        lanes = self._lanes(now_s)
        for turn in itertools.count(self.started_count):
            entry = lanes.next_entry(turn)
            if entry is None:
                return
            yield entry

    def heads(self, now_s: float) -> Iterator[Entry]:
        """Yield the first request of each team, urgency and size class.

        They come in service order. Where the first of them finds no place, the
        others rarely do.
        """
        seen: set[tuple[str, int, int]] = set()
        for entry in self.in_service_order(now_s):
            kind = (entry.team, entry.priority_level, entry.size_class)
            if kind not in seen:
                seen.add(kind)
                yield entry

    def count_overdue(self, now_s: float) -> Counter[int]:
        """Return how many requests of each urgency missed their target."""
        return Counter(
            entry.priority_level
            for entry in self.waiting
            if entry.is_overdue(now_s)
        )

    def counts_by_rank(self, now_s: float) -> dict[int, int]:
        """Return how many requests wait, by their rank in the fleet."""
        if not self.waiting:
            return {}
        usage = self._usage(now_s)
        return dict(Counter(_rank(entry, usage) for entry in self.waiting))

    def rank_of(self, entry: Entry, now_s: float) -> int:
        """Return the rank in the fleet of a request that waits."""
        return _rank(entry, self._usage(now_s))

    def is_on_floor(self, entry: Entry, now_s: float) -> bool:
        """Return whether the next start is for requests such as ``entry``.

        It missed its target, and it is the turn of those that did.
        """
        is_turn = self.started_count % _FLOOR_INTERVAL == 0
        return is_turn and entry.is_overdue(now_s)

    def _lanes(self, now_s: float) -> '_Lanes[Entry]':
        return _Lanes(self.waiting, now_s, self._usage(now_s))

    def _usage(self, now_s: float) -> Usage:
        return Usage(
            work=self.team_work.totals(now_s),
            teams=(entry.team for entry in self.waiting),
            allowance=self.allowance,
        )


class _Lanes(Generic[Entry]):
    """Divide the waiting requests by urgency and whether they are overdue."""

    def __init__(
        self, waiting: Iterable[Entry], now_s: float, usage: Usage
    ) -> None:
        on_time = _by_level(
            entry for entry in waiting if not entry.is_overdue(now_s)
        )
        overdue = _by_level(
            entry for entry in waiting if entry.is_overdue(now_s)
        )
        self.usage = usage
        self.started: set[int] = set()
        levels = sorted(on_time.keys() | overdue.keys())
        self.floors = self._build_floors(overdue, levels)
        self.regular: list[Lane[Entry]] = []
        for level in levels:
            for members, order in (
                (on_time.get(level, ()), _target_order),
                (overdue.get(level, ()), _arrival_order),
            ):
                self.regular.append(self._lane(sorted(members, key=order)))

    def floor_of(self, turn: int) -> Iterator[Lane[Entry]]:
        """Yield the lane that comes before the others in this turn, if any."""
        number, rest = divmod(turn, _FLOOR_INTERVAL)
        if not rest:
            yield self.floors[number % len(self.floors)]

    def next_entry(self, turn: int) -> Entry | None:
        """Return and start the next request, None if all have started."""
        lanes = (*self.floor_of(turn), *self.regular)
        return next(itertools.chain(*lanes), None)

    def _build_floors(
        self, overdue: Mapping[int, list[Entry]], levels: Sequence[int]
    ) -> tuple[Lane[Entry], ...]:
        """Return the lanes that come first in turn at each floor."""
        oldest = sorted(itertools.chain(*overdue.values()), key=_arrival_order)
        passed = [entry for entry in oldest if entry.priority_level > levels[0]]
        return self._lane(oldest, by_team=False), self._lane(passed or oldest)

    def _lane(
        self, entries: Iterable[Entry], *, by_team: bool = True
    ) -> Lane[Entry]:
        return Lane(
            entries, usage=self.usage, started=self.started, by_team=by_team
        )


def _by_level(entries: Iterable[Entry]) -> dict[int, list[Entry]]:
    groups: dict[int, list[Entry]] = {}
    for entry in entries:
        groups.setdefault(entry.priority_level, []).append(entry)
    return groups


def _rank(entry: QueueEntry, usage: Usage) -> int:
    """Return a number by urgency and whether the team got its share."""
    return 2 * max(0, entry.priority_level) + usage.is_beyond_share(entry.team)


def _target_order(entry: QueueEntry) -> tuple[bool, float]:
    return not entry.has_returned, entry.start_due_s


def _arrival_order(entry: QueueEntry) -> tuple[bool, float]:
    return not entry.has_returned, entry.arrived_s
