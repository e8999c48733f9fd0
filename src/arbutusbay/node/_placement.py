"""Define the placement of an attempt and the request for one."""

import attrs

from arbutusbay.fairness import return_key
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.platform import AttemptHeaders
from arbutusbay.prefixes import PrefixPlan
from arbutusbay.scheduling import (
    Attempt,
    EngineChoice,
    EngineView,
    ModelRequestSize,
)


@attrs.frozen(kw_only=True)
class Placement:
    """Assign one attempt to a backend server.

    ``attempt_headers`` are the headers to send with the attempt; ``model`` is
    empty if none is named; ``candidate_count`` is the number of servers
    considered. ``prefix_plan`` tells which engines hold the shared prefix, None
    where engines can't fetch it. A stream that has no event by ``start_by_s``
    must be aborted, as its engine's weights were replaced too long ago;
    infinity if they are current.
    """

    choice: EngineChoice
    attempt_headers: AttemptHeaders
    attempt: Attempt
    model: str
    candidate_count: int
    prefix_plan: PrefixPlan | None = None
    start_by_s: float = float('inf')

    @property
    def view(self) -> EngineView:
        """Return the view of the chosen backend server."""
        return self.choice.engine

    @property
    def has_capacity(self) -> bool:
        """Return whether the backend server has capacity for the attempt."""
        return self.choice.has_capacity

    @property
    def lack_counts(self) -> dict[str, int]:
        """Return how many engines lack what, for a log line."""
        return {lack.value: count for lack, count in self.choice.lacks.items()}


@attrs.frozen(kw_only=True)
class ResumePoint:
    """Identify where a stream goes on.

    ``event_id`` is the number of the last event that the client received, 0 for
    none. ``weights_version`` is the version that produced it, None if any will
    do. A point that is not ``is_certain`` has events without a number behind
    it, so no engine can be asked to go on there.
    """

    event_id: int = 0
    weights_version: int | None = None
    is_certain: bool = True

    @property
    def has_begun(self) -> bool:
        """Return whether the client received a part of the stream."""
        return self.weights_version is not None


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """Request a placement for one attempt.

    ``allowed_servers``, if set, is the set of ids of the eligible backend
    servers; otherwise all but those in ``excluded_servers`` are eligible.
    """

    incoming: IncomingRequest
    excluded_servers: frozenset[str] = frozenset()
    allowed_servers: frozenset[str] | None = None
    resume_point: ResumePoint = ResumePoint()

    def allows_server(self, view: EngineView) -> bool:
        """Return whether ``view`` is a server that the request allows."""
        if self.allowed_servers is not None:
            return view.id in self.allowed_servers
        return view.id not in self.excluded_servers

    def without(self, server_ids: frozenset[str]) -> 'PlacementRequest':
        """Return the request for a place at none of ``server_ids``."""
        allowed = self.allowed_servers
        return attrs.evolve(
            self,
            allowed_servers=None if allowed is None else allowed - server_ids,
            excluded_servers=self.excluded_servers | server_ids,
        )

    @property
    def can_queue(self) -> bool:
        """Return whether the request may be queued until capacity is free.

        Resumed streams are placed immediately.
        """
        return not self.resume_point.has_begun


def return_key_of(incoming: IncomingRequest) -> int:
    """Return the key by which a request is recognised that comes back."""
    shared = incoming.parsed_headers.shared_segments
    return return_key(
        incoming.team.name if incoming.team else '',
        incoming.method,
        incoming.target,
        shared[-1].id if shared else '',
    )


def request_size_of(incoming: IncomingRequest) -> ModelRequestSize:
    """Return the properties of a model request that placement depends on.

    All segments of the prompt but the last count as a shared prefix. The id
    of the last shared segment is the affinity key, or the attempt id if there
    is none.
    """
    head = incoming.parsed_headers
    shared = head.shared_segments
    return ModelRequestSize(
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.max_output_tokens,
        shared_prefix_tokens=min(
            head.prompt_tokens, sum(segment.tokens for segment in shared)
        ),
        affinity_key=shared[-1].id if shared else incoming.attempt_id,
    )
