"""Order waiting requests: class, then team by share, then short work."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import attrs

from arbutusbay.policy._job import Job
from arbutusbay.state import Urgency

_AGE_BOUND_S = 3.0
_MIN_SHARE = 0.01
_AGED_TURN = 5


@attrs.define(kw_only=True, eq=False)
class Waiting:
    """Hold a queued job; ``ticket`` belongs to whoever queued it."""

    job: Job
    ticket: Any


@attrs.define(kw_only=True)
class TeamQueue:
    """Hold one team's waiting jobs and its virtual time."""

    virtual_time: float
    short: deque[Waiting] = attrs.field(factory=deque)
    long: deque[Waiting] = attrs.field(factory=deque)

    def ordered(self, now_s: float) -> Iterator[Waiting]:
        """Yield the heads, short first unless long work waits too long."""
        heads = [queue[0] for queue in (self.short, self.long) if queue]
        heads.sort(key=lambda head: not _is_aged(head, now_s))
        yield from heads

    def queue_of(self, waiting: Waiting) -> deque[Waiting]:
        """Return the queue that holds ``waiting``."""
        return self.long if waiting.job.is_long else self.short


class FairQueue:
    """Queue the jobs of one pool by start-time fair queueing.

    A team's virtual time grows by the work it starts over its share; the
    team with the lowest goes first, so no team holds back another.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.teams: dict[Urgency, dict[str, TeamQueue]] = {
            urgency: {} for urgency in Urgency
        }
        self.clock = 0.0
        self.size = 0
        self.started = 0

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return self.size

    def push(self, waiting: Waiting) -> None:
        """Queue a job behind its team's others of its length."""
        teams = self.teams[waiting.job.urgency]
        team = teams.get(waiting.job.team)
        if team is None:
            team = TeamQueue(virtual_time=self.clock)
            teams[waiting.job.team] = team
        if not team.short and not team.long:
            team.virtual_time = max(team.virtual_time, self.clock)
        team.queue_of(waiting).append(waiting)
        self.size += 1

    def candidates(self, now_s: float) -> Iterator[Waiting]:
        """Yield the head of each queue in the order to try them.

        Normal work that has waited too long goes first in one turn of
        five, so that an overload of it never holds urgent work back.
        """
        aged: list[Waiting] = []
        fresh: list[Waiting] = []
        for urgency in (Urgency.URGENT, Urgency.NORMAL):
            for waiting in self._heads(urgency, now_s):
                is_late = urgency is Urgency.NORMAL and _is_aged(
                    waiting,
                    now_s,
                )
                (aged if is_late else fresh).append(waiting)
        if self.started % _AGED_TURN == 0:
            yield from aged
            yield from fresh
        else:
            yield from fresh
            yield from aged

    def remove(self, waiting: Waiting, *, started: bool) -> None:
        """Take a job out and charge its team if it was started."""
        team = self.teams[waiting.job.urgency][waiting.job.team]
        queue = team.queue_of(waiting)
        if waiting not in queue:
            return
        queue.remove(waiting)
        self.size -= 1
        if started:
            self.started += 1
            self.clock = max(self.clock, team.virtual_time)
            team.virtual_time += _charge(waiting.job)

    def work_ahead(self, job: Job) -> float:
        """Return queued tokens that may run before ``job``.

        Fair queueing bounds it by the team's own queue over its share.
        """
        classes = (
            (Urgency.URGENT,) if job.urgency is Urgency.URGENT else Urgency
        )
        total = 0
        own = 0
        shares = 0.0
        for urgency in classes:
            for name, team in self.teams[urgency].items():
                queued = _queued_tokens(team, job)
                total += queued
                if name == job.team:
                    own += queued
                elif queued:
                    shares += _share_of(team)
        own_share = max(job.team_share, _MIN_SHARE)
        return min(
            total, own * (own_share + shares) / own_share + job.cost_tokens
        )

    def jobs(self) -> Iterator[Waiting]:
        """Yield all waiting jobs."""
        for teams in self.teams.values():
            for team in teams.values():
                yield from team.short
                yield from team.long

    def _heads(self, urgency: Urgency, now_s: float) -> Iterator[Waiting]:
        teams = sorted(
            self.teams[urgency].values(),
            key=lambda team: team.virtual_time,
        )
        for team in teams:
            yield from team.ordered(now_s)


def _queued_tokens(team: TeamQueue, job: Job) -> int:
    queues = (team.short, team.long) if job.is_long else (team.short,)
    return sum(waiting.job.cost_tokens for queue in queues for waiting in queue)


def _share_of(team: TeamQueue) -> float:
    heads = [queue[0] for queue in (team.short, team.long) if queue]
    return heads[0].job.team_share


def _charge(job: Job) -> float:
    return job.cost_tokens / max(job.team_share, _MIN_SHARE)


def _is_aged(waiting: Waiting, now_s: float) -> bool:
    return now_s - waiting.job.arrived_s > _AGE_BOUND_S
