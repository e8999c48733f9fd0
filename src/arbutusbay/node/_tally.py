"""Count the attempts of one request."""

import attrs

from arbutusbay.node._attempts import AttemptFailure
from arbutusbay.scheduling import AttemptCount, Outcome

_MAX_MISMATCHES = 3


@attrs.define(kw_only=True)
class Tally:
    """Count the attempts of one request and name who failed it."""

    runs: int = 0
    rejections: int = 0
    excluded: frozenset[str] = frozenset()
    ran_at: frozenset[str] = frozenset()
    last_detail: str = ''

    def put(self, view_id: str, failure: AttemptFailure) -> None:
        """Take up one failed attempt."""
        self.last_detail = failure.detail
        match failure.outcome:
            case Outcome.NOT_SENT | Outcome.REJECTED:
                self.rejections += 1
            case Outcome.UNKNOWN | Outcome.RAN_AND_FAILED:
                self.runs += 1
                self.ran_at |= {view_id}
        if not self._may_try_again(failure):
            self.excluded |= {view_id}

    def count(self) -> AttemptCount:
        """Return the counts for the decision on what follows."""
        return AttemptCount(runs=self.runs, rejections=self.rejections)

    def _may_try_again(self, failure: AttemptFailure) -> bool:
        """Tell whether only what was expected of the engine was wrong."""
        return failure.is_mismatch and self.rejections < _MAX_MISMATCHES
