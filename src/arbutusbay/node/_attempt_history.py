"""Track the failed attempts of one request."""

import attrs

from arbutusbay.node._attempts import AttemptFailure
from arbutusbay.scheduling import AttemptCounts, Outcome

_MAX_MISMATCHES = 3


@attrs.define(kw_only=True)
class AttemptHistory:
    """Count failed attempts and track the backend servers they went to.

    ``runs`` counts attempts that may have run, ``possible_execution_servers``
    holds the ids of their servers; ``rejections`` counts attempts that
    certainly did not run. ``excluded`` holds the ids of servers that must not
    be tried again.
    """

    runs: int = 0
    rejections: int = 0
    excluded: frozenset[str] = frozenset()
    possible_execution_servers: frozenset[str] = frozenset()
    last_detail: str = ''

    def put(self, server_id: str, failure: AttemptFailure) -> None:
        """Record one failed attempt."""
        self.last_detail = failure.detail
        match failure.outcome:
            case Outcome.NOT_SENT | Outcome.REJECTED:
                self.rejections += 1
            case Outcome.UNKNOWN | Outcome.RAN_AND_FAILED:
                self.runs += 1
                self.possible_execution_servers |= {server_id}
        if not self._may_retry_server(failure):
            self.excluded |= {server_id}

    def count(self) -> AttemptCounts:
        """Return the counts that decide on the next step."""
        return AttemptCounts(runs=self.runs, rejections=self.rejections)

    def _may_retry_server(self, failure: AttemptFailure) -> bool:
        """Return whether the same server may be tried again.

        It may for a limited number of mismatches, because after a mismatch
        only the instance or weights version expected of it was wrong.
        """
        return (
            failure.is_expectation_mismatch
            and self.rejections < _MAX_MISMATCHES
        )
