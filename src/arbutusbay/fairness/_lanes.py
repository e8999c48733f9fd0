"""Take requests from teams in turn, the team that got the least work first."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from arbutusbay.fairness._queue_entry import QueueEntry

Entry = TypeVar('Entry', bound=QueueEntry)


class Usage:
    """Add the work of requests as they start to that of their teams.

    A team that got at most ``allowed_part`` of the work of all teams is within
    its share.
    """

    def __init__(
        self, *, work: dict[str, float], teams: Iterable[str], allowance: float
    ) -> None:
        """Count ``teams`` beside those that got ``work``, which changes."""
        self.work = work
        for team in teams:
            work.setdefault(team, 0.0)
        self.total = sum(work.values())
        self.allowed_part = allowance / max(1, len(work))

    def start(self, entry: QueueEntry) -> None:
        """Count the work of a request that starts."""
        self.work[entry.team] += entry.weighted_work
        self.total += entry.weighted_work

    def counted_work(self, team: str) -> float:
        """Return the work that orders a team, at least its allowance."""
        return max(self.work[team], self.total * self.allowed_part)

    def is_beyond_share(self, team: str) -> bool:
        """Return whether a team got more than its allowance."""
        return self.work[team] > self.total * self.allowed_part


class Lane(Generic[Entry]):
    """Iterate over requests as they would start if nothing else did.

    A request that has started, in this or in another lane, is left out. A lane
    that is not ``by_team`` keeps the order of its requests.
    """

    def __init__(
        self,
        entries: Iterable[Entry],
        *,
        usage: Usage,
        started: set[int],
        by_team: bool = True,
    ) -> None:
        """Take requests in the order that holds within each team."""
        self.usage = usage
        self.started = started
        self.by_team = by_team
        self.entries_by_team: dict[str, deque[tuple[int, Entry]]] = {}
        for rank, entry in enumerate(entries):
            team = entry.team if by_team else ''
            members = self.entries_by_team.setdefault(team, deque())
            members.append((rank, entry))
        self.order = [(0.0, 0, team) for team in self.entries_by_team]

    def __iter__(self) -> Iterator[Entry]:
        """Return the lane itself."""
        return self

    def __next__(self) -> Entry:
        """Return the next request and count it as started."""
        while self.order:
            known = self.order[0]
            current = self._key(known[-1])
            if current is None:
                heapq.heappop(self.order)
            elif current > known:
                # Keys only grow, so the heap may hold older ones.
                heapq.heapreplace(self.order, current)
            else:
                return self._start(known[-1])
        raise StopIteration

    def _key(self, team: str) -> tuple[float, int, str] | None:
        """Return the key of a team, None if all its requests have started."""
        members = self.entries_by_team[team]
        while members and id(members[0][1]) in self.started:
            members.popleft()
        if not members:
            return None
        work = self.usage.counted_work(team) if self.by_team else 0.0
        return work, members[0][0], team

    def _start(self, team: str) -> Entry:
        entry = self.entries_by_team[team].popleft()[1]
        self.started.add(id(entry))
        self.usage.start(entry)
        return entry
