"""Describe what an attempt asks for and where it was placed."""

import attrs

from arbutusbay.node._incoming import IncomingRequest
from arbutusbay.platform import AttemptOrders
from arbutusbay.scheduling import Attempt, Choice, EngineView, ModelWork


@attrs.frozen(kw_only=True)
class Placement:
    """Bind one attempt to a backend server, one of ``candidates``."""

    choice: Choice
    orders: AttemptOrders
    attempt: Attempt
    model: str
    candidates: int

    @property
    def view(self) -> EngineView:
        """Return the chosen backend server."""
        return self.choice.engine

    @property
    def has_room(self) -> bool:
        """Tell whether the backend server takes the attempt now."""
        return self.choice.has_room


@attrs.frozen(kw_only=True)
class Demand:
    """Ask for a place: anywhere but ``excluded``, or ``only`` somewhere.

    ``weights_version`` admits only engines that run it; ``resume_after``
    is the last event that the client has, 0 for none.
    """

    incoming: IncomingRequest
    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None
    weights_version: int | None = None
    resume_after: int = 0

    def admits(self, view: EngineView) -> bool:
        """Tell whether ``view`` may be chosen."""
        if self.only is not None:
            return view.id in self.only
        return view.id not in self.excluded

    @property
    def may_wait(self) -> bool:
        """Tell whether the request may wait for an engine with room."""
        return self.incoming.is_for_model and self.weights_version is None


def work_of(incoming: IncomingRequest) -> ModelWork:
    """Return what placement needs to know of a request for a model."""
    head = incoming.head
    shared = head.parts[:-1]
    return ModelWork(
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.max_output_tokens,
        shared_tokens=sum(part.tokens for part in shared),
        affinity_key=shared[-1].id if shared else incoming.id,
    )
