"""Define a completion request and the progress of its run."""

import enum
import time

import attrs

from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.policy import Job
from arbutusbay.router._dispatcher import JobContext
from arbutusbay.state import Pool

_RESPONSE_START_S = 0.3


class StopReason(enum.StrEnum):
    """Name why no further attempt follows a failed one.

    ``PROMPT``: engines ended under its prompt before. ``RUNS_ONCE``: it may
    have run, and must not run again.
    """

    PROMPT = 'prompt'
    DEADLINE = 'deadline'
    ATTEMPTS = 'attempts'
    RUNS_ONCE = 'runs_once'
    RETRY_BUDGET = 'retry_budget'


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """Hold a validated completion request."""

    job: Job
    prompt: str
    pool: Pool
    idempotent: bool
    context: JobContext


@attrs.define(kw_only=True)
class RunProgress:
    """Track the progress of a run over all its attempts.

    ``relayed_pieces`` counts pieces of output, and ``unproductive_attempts``
    the consecutive attempts that relayed none. ``weights_version`` is the
    version that produced the output. ``excluded`` holds the engines of failed
    attempts that may have run, ``unreached`` those to which no connection could
    be made. ``may_have_run`` is whether any engine may have run the request.
    ``has_started`` is whether the response of the last attempt began,
    ``first_piece_s`` when its first piece came, in seconds on the clock of
    ``now_s``. ``last_piece_at_s`` is when the last piece of any attempt came,
    on the monotonic clock.
    """

    relayed_pieces: int = 0
    attempts: int = 0
    unproductive_attempts: int = 0
    weights_version: str = ''
    excluded: frozenset[str] = frozenset()
    unreached: frozenset[str] = frozenset()
    may_have_run: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: bool = False
    last_failure: Failure | None = None
    has_started: bool = False
    first_piece_s: float | None = None
    last_piece_at_s: float | None = None

    def begin_attempt(self) -> None:
        """Count an attempt, which has not started yet."""
        self.attempts += 1
        self.unproductive_attempts += 1
        self.has_started = False
        self.first_piece_s = None

    def exclude(self, engine: str) -> None:
        """Record that an engine may have run the request, and failed."""
        self.excluded |= {engine}
        self.may_have_run = True

    def count_broken_move(self, engine: str) -> None:
        """Count an attempt that broke off at an engine beside the open one."""
        self.attempts += 1
        self.unproductive_attempts += 1
        self.exclude(engine)

    def is_refused_midway(self) -> bool:
        """Return whether an engine has refused what another may have run.

        Such a refusal costs time, but is no attempt.
        """
        return (
            self.may_have_run
            and self.last_failure is not None
            and self.last_failure.effective_run_state is RunState.NOT_RUN
        )

    def record_unreached(self, engine: str) -> None:
        """Record that nothing was sent to an engine, which is no attempt.

        It is one if no other engine was left to ask.
        """
        if engine not in self.unreached:
            self.unreached |= {engine}
            self.uncount_attempt()

    def uncount_attempt(self) -> None:
        """Leave the last attempt out of those without output."""
        self.unproductive_attempts -= 1

    def has_attempts_left(self, max_attempts: int) -> bool:
        """Return whether another attempt may follow those without output."""
        return self.unproductive_attempts < max_attempts

    def is_underway(self, moment_s: float) -> bool:
        """Return whether the attempt has gone on after its first piece."""
        return (
            self.first_piece_s is not None
            and moment_s - self.first_piece_s > _RESPONSE_START_S
        )


def is_unreached(failure: Failure) -> bool:
    """Return whether no connection could be made to an engine."""
    return (
        failure.kind is ErrorKind.STREAM_BROKEN
        and failure.effective_run_state is RunState.NOT_RUN
    )


def next_piece_deadline_s(job: Job, progress: RunProgress) -> float:
    """Return until when the next piece may come, on the monotonic clock.

    The route limits the time to the first piece. A later one may take as long.
    """
    if progress.last_piece_at_s is None:
        return job.deadline_s
    return progress.last_piece_at_s + job.deadline_s - job.arrived_s


def time_left_s(job: Job, progress: RunProgress) -> float:
    """Return how long the next piece may still take."""
    return max(0.0, next_piece_deadline_s(job, progress) - time.monotonic())


def first_piece_time_left_s(job: Job, progress: RunProgress) -> float:
    """Return how long the first piece may still take.

    Infinity once there was a piece: a later one is only limited when its engine
    is silent.
    """
    if progress.last_piece_at_s is not None:
        return float('inf')
    return time_left_s(job, progress)
