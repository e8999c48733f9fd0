"""Open attempts at engines, and keep each with its place until it is closed."""

from urllib.parse import urlsplit

import attrs

from arbutusbay.backend import (
    EngineClient,
    EngineIdentity,
    GenerationRequest,
    Priority,
)
from arbutusbay.engine_ends import EngineProcess
from arbutusbay.policy import EngineState
from arbutusbay.router._attempt_monitor import AttemptMonitor
from arbutusbay.router._dispatcher import Dispatcher, Placement
from arbutusbay.router._event_reader import EventReader
from arbutusbay.router._run_progress import CompletionRequest, RunProgress
from arbutusbay.router._shared_state import RouterState
from arbutusbay.state import Urgency

_DEFAULT_PORT = 80


@attrs.frozen(kw_only=True)
class Attempt:
    """Hold an open request at an engine, and its place there."""

    generation: GenerationRequest
    placement: Placement
    monitor: AttemptMonitor
    reader: EventReader
    dispatcher: Dispatcher

    def fits(self, identity: EngineIdentity) -> bool:
        """Return whether an engine with ``identity`` may run the attempt."""
        generation = self.generation
        return identity.weights_version == generation.weights_version and (
            generation.incarnation in {'', identity.incarnation}
        )

    async def aclose(self, *, service_s: float | None = None) -> None:
        """Close the request and release its place.

        ``service_s``, if given, updates the mean service time of the pool.
        """
        try:
            await self.reader.aclose()
        finally:
            self.dispatcher.release(self.placement, service_s=service_s)


class AttemptOpener:
    """Open attempts of one completion, each behind its relayed pieces."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        session: object,
        request: CompletionRequest,
        progress: RunProgress,
    ) -> None:
        """Create an opener of requests in ``session``."""
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.session = session
        self.request = request
        self.progress = progress

    def open(self, placement: Placement) -> Attempt:
        """Return an attempt, which is sent once it is read.

        The caller must close it, which releases ``placement``.
        """
        generation = _build_generation(self.request, self.progress, placement)
        client = EngineClient(session=self.session, url=placement.engine.url)
        return Attempt(
            generation=generation,
            placement=placement,
            monitor=AttemptMonitor(
                shared_state=self.shared_state,
                placement=placement,
                job=self.request.job,
            ),
            reader=EventReader(events=client.generate(generation)),
            dispatcher=self.dispatcher,
        )


def engine_process_of(engine: EngineState) -> EngineProcess:
    """Return the process in which an engine runs."""
    address = urlsplit(engine.url)
    return EngineProcess(
        incarnation=f'{engine.name}@{engine.incarnation}',
        host=address.hostname or '',
        port=address.port or _DEFAULT_PORT,
    )


def _build_generation(
    request: CompletionRequest, progress: RunProgress, placement: Placement
) -> GenerationRequest:
    job = request.job
    pool = request.pool
    engine = placement.engine
    is_urgent = job.urgency is Urgency.URGENT
    return GenerationRequest(
        attempt=placement.attempt,
        team=job.team,
        model=pool.model,
        adapter=pool.adapter,
        weights_version=engine.weights_version
        or progress.weights_version
        or pool.weights_version,
        incarnation=engine.incarnation if placement.depth else '',
        prompt=request.prompt,
        max_tokens=job.max_tokens,
        priority=Priority.URGENT if is_urgent else Priority.NORMAL,
        resume_from=progress.relayed_pieces,
    )
