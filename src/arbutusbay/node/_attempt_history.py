"""Track the failed attempts of one request."""

import attrs

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.node._attempts import AttemptFailure, BufferedResponse
from arbutusbay.scheduling import (
    AttemptCounts,
    AttemptOutcome,
    was_certainly_not_executed,
)

_RETRY_AFTER_S = 0.5
_MAX_UNEXECUTED_ATTEMPTS = 3


@attrs.define(kw_only=True)
class AttemptHistory:
    """Count failed attempts and track the backend servers they went to.

    ``possible_executions`` counts attempts that may have run,
    ``possible_execution_servers`` holds the ids of their servers;
    ``unexecuted_attempts`` counts attempts that certainly did not run.
    ``failed_servers`` holds the ids of servers that must not be tried again,
    ``silent_servers`` those of them that the request was moved away from,
    ``ended_servers`` those that have ended since; ``refusing_servers`` holds
    those that did not execute it. ``answer_in_hand`` is the latest response
    with which a server reported that it failed, None if there was none.
    """

    possible_executions: int = 0
    unexecuted_attempts: int = 0
    failed_servers: frozenset[str] = frozenset()
    refusing_servers: frozenset[str] = frozenset()
    possible_execution_servers: frozenset[str] = frozenset()
    silent_servers: frozenset[str] = frozenset()
    ended_servers: frozenset[str] = frozenset()
    last_detail: str = ''
    answer_in_hand: BufferedResponse | None = None

    def if_moved_from(self, server_id: str) -> 'AttemptHistory':
        """Return what the history is if the current attempt is given up."""
        history = attrs.evolve(self)
        history.record_attempt(
            server_id,
            AttemptFailure(outcome=AttemptOutcome.MOVED, detail=''),
        )
        return history

    def record_attempt(self, server_id: str, failure: AttemptFailure) -> None:
        """Record one failed attempt."""
        self.last_detail = failure.detail
        if failure.error_response is not None:
            self.answer_in_hand = failure.error_response
        match failure.outcome:
            case AttemptOutcome.NOT_SENT | AttemptOutcome.REJECTED:
                self.unexecuted_attempts += 1
            case (
                AttemptOutcome.UNKNOWN
                | AttemptOutcome.WITHDRAWN
                | AttemptOutcome.MOVED
                | AttemptOutcome.RAN_AND_FAILED
            ):
                self.possible_executions += 1
                self.possible_execution_servers |= {server_id}
                self.ended_servers -= {server_id}
        if failure.outcome is AttemptOutcome.MOVED:
            self.silent_servers |= {server_id}
        if failure.may_have_run:
            self.failed_servers |= {server_id}
        elif not self._may_retry_server(failure):
            self.refusing_servers |= {server_id}

    def record_end(self, server_id: str) -> None:
        """Record that a server has ended after an attempt failed there."""
        self.ended_servers |= {server_id}

    def allowed_servers(self, max_attempts: int) -> frozenset[str] | None:
        """Return the ids of the only servers to choose from, None if any may.

        Once the request may have run on ``max_attempts`` servers that have not
        ended, only these may be chosen again.
        """
        counted_servers = self.possible_execution_servers - self.ended_servers
        return counted_servers if len(counted_servers) >= max_attempts else None

    def servers_to_ask_again(self, max_attempts: int) -> list[frozenset[str]]:
        """Return what servers to choose from where none is available, in order.

        Those that were only silent may go on. Those that have ended may be
        back, and are asked once the request has used up ``max_attempts``.
        """
        groups = [self.silent_servers]
        if len(self.possible_execution_servers) >= max_attempts:
            groups.append(self.possible_execution_servers)
        return [group for group in groups if group]

    @property
    def excluded_servers(self) -> frozenset[str]:
        """Return the ids of servers that must not be tried now.

        A request that may have run asks servers again that refused it.
        """
        if self.possible_executions:
            return self.failed_servers
        return self.failed_servers | self.refusing_servers

    def attempt_count(self) -> AttemptCounts:
        """Return the counts that decide on the next step."""
        return AttemptCounts(
            possible_executions=self.possible_executions,
            unexecuted_attempts=self.unexecuted_attempts,
        )

    def final_failure(self, failure: AttemptFailure) -> Failure:
        """Return how the request failed with its last attempt.

        It shows whether the request may have run.
        """
        kind = ErrorKind.OUTCOME_UNKNOWN
        if was_certainly_not_executed(self.attempt_count()):
            kind = ErrorKind.NO_BACKEND_SERVER
        return Failure(
            kind=kind,
            detail=failure.detail,
            retry_after_s=_RETRY_AFTER_S,
        )

    def _may_retry_server(self, failure: AttemptFailure) -> bool:
        """Return whether the same server may be tried again.

        It may after an expectation mismatch, because only the instance or
        weights version expected of it was wrong, but not once
        ``unexecuted_attempts`` has reached ``_MAX_UNEXECUTED_ATTEMPTS``.
        """
        return (
            failure.is_expectation_mismatch
            and self.unexecuted_attempts < _MAX_UNEXECUTED_ATTEMPTS
        )
