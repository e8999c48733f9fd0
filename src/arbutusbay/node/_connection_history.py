"""Decide whether a refusal belongs to the request that a connection carries.

A faulty backend server may write an earlier refusal once more where the next
response is expected.
"""

import attrs

_MAX_REFUSALS = 100


@attrs.define(kw_only=True)
class ConnectionHistory:
    """Hold what one connection has carried.

    ``request_count`` includes the present request. ``refused_ids`` holds the
    ids of the attempts that were refused, the first time on this connection.
    """

    request_count: int = 0
    refused_ids: set[str] = attrs.field(factory=set)

    def proves_refusal(self, attempt_id: str, responded_id: str) -> bool:
        """Return whether a refusal is certainly that of ``attempt_id``.

        ``responded_id`` is the id in the response, empty if there is none. The
        first request of a connection has no earlier response. Later only an id
        that was not refused before identifies the attempt.
        """
        if self.request_count <= 1:
            return responded_id in {'', attempt_id}
        return (
            bool(responded_id)
            and responded_id == attempt_id
            and attempt_id not in self.refused_ids
        )

    def record_refusal(self, attempt_id: str) -> None:
        """Record that ``attempt_id`` was refused on this connection."""
        self.refused_ids.add(attempt_id)

    @property
    def is_full(self) -> bool:
        """Return whether no further refusal should be recorded."""
        return len(self.refused_ids) >= _MAX_REFUSALS
