"""Serve the completion endpoints of the OpenAI API."""

import time
import uuid
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.backend import (
    CacheNamespace,
    GenerationEnd,
    TextPiece,
    compute_block_hashes,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import failure_response, json_response, parse_json
from arbutusbay.logs import get_logger
from arbutusbay.policy import BYTES_PER_TOKEN, Job
from arbutusbay.router._authentication import authenticate_request
from arbutusbay.router._completion_format import CompletionFormatter
from arbutusbay.router._completion_parser import (
    CompletionBody,
    parse_completion,
)
from arbutusbay.router._completion_response import (
    ActiveCompletion,
    full_response,
    stream_response,
)
from arbutusbay.router._dispatcher import Dispatcher, JobContext
from arbutusbay.router._generation_run import (
    CompletionRequest,
    GenerationRun,
)
from arbutusbay.router._lookup import CacheIndexLookup
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._rate_limits import RateLimits
from arbutusbay.router._shared_state import AuthenticatedTeam, RouterState
from arbutusbay.state import Pool, Route

_LOG = get_logger('completions')


class CompletionsApi:
    """Handle completion requests, streamed or not."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        dispatcher: Dispatcher,
        lookup: CacheIndexLookup,
        metrics: RouterMetrics,
        session: aiohttp.ClientSession,
        rate_limits: RateLimits,
    ) -> None:
        """Create the handlers; ``session`` connects to engines.

        It must not reuse connections: on a reused one, an earlier refusal
        could pass for that of the present attempt.
        """
        self.shared_state = shared_state
        self.dispatcher = dispatcher
        self.lookup = lookup
        self.metrics = metrics
        self.session = session
        self.rate_limits = rate_limits

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoints with ``application``."""
        router = application.router
        router.add_post('/v1/chat/completions', self.handle_chat_completion)
        router.add_post('/v1/completions', self.handle_text_completion)
        router.add_get('/v1/models', self.list_models)

    async def handle_chat_completion(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions``."""
        return await self._handle_completion(request, is_chat=True)

    async def handle_text_completion(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Handle ``POST /v1/completions``."""
        return await self._handle_completion(request, is_chat=False)

    async def list_models(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/models``.

        Lists each route to an existing pool as a model.
        """
        match authenticate_request(self.shared_state, request):
            case Err(failure):
                return failure_response(failure)
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'arbutusbay'}
            for name, route in sorted(self.shared_state.routes.items())
            if self.shared_state.resource('pool', route.pool)
        ]
        return json_response({'object': 'list', 'data': models})

    async def _handle_completion(
        self,
        request: web.Request,
        *,
        is_chat: bool,
    ) -> web.StreamResponse:
        match await self._parse_and_look_up(request, is_chat=is_chat):
            case Err(failure):
                self._count_request('', failure)
                return failure_response(failure)
            case Ok(completion):
                pass
        self.shared_state.retry_budget.deposit()
        events = self._observed_events(completion)
        try:
            if completion.completion_formatter.body.stream:
                return await stream_response(request, completion, events)
            return await full_response(completion, events)
        except Exception as error:
            completion.failure = Failure(
                kind=ErrorKind.INTERNAL, detail=repr(error)
            )
            raise
        finally:
            await events.aclose()
            self._log_completion(completion)

    async def _parse_and_look_up(
        self,
        request: web.Request,
        *,
        is_chat: bool,
    ) -> Result[ActiveCompletion, Failure]:
        arrived_s = time.monotonic()
        team_result = authenticate_request(self.shared_state, request)
        fields_result = parse_json(await request.read())
        body = fields_result.and_then(
            lambda fields: parse_completion(fields, is_chat=is_chat),
        )
        match team_result, body:
            case (Err() as error, _) | (_, Err() as error):
                return error
            case (Ok(team), Ok(completion_body)):
                pass
        match self._find_route(completion_body.model):
            case Err() as error:
                return error
            case Ok(route):
                pass
        pool = self.shared_state.resource('pool', route.pool).spec
        job = _build_job(team, completion_body, route, pool, arrived_s)
        match await self.rate_limits.ask(
            team,
            tokens=job.prompt_tokens + job.max_tokens,
            request_id=job.id,
            described=f'{job.route}/{completion_body.prompt}',
            deadline_ms=route.deadline_ms,
        ):
            case Err() as refused:
                return refused
            case Ok(grant):
                pass
        try:
            completion = await self._start_run(
                job, completion_body, route, pool
            )
        except BaseException:
            self.rate_limits.give_back(grant)
            raise
        completion.grant = grant
        return Ok(completion)

    async def _start_run(
        self,
        job: Job,
        body: CompletionBody,
        route: Route,
        pool: Pool,
    ) -> ActiveCompletion:
        depths = await self.lookup.find_cached_depths(job)
        hot_prefixes = self.shared_state.pool_state(job.pool).hot_prefixes
        context = JobContext(
            depths=depths.by_engine,
            affinity_key=hot_prefixes.observe(job.hashes),
        )
        run = GenerationRun(
            shared_state=self.shared_state,
            dispatcher=self.dispatcher,
            metrics=self.metrics,
            session=self.session,
            request=CompletionRequest(
                job=job,
                prompt=body.prompt,
                pool=pool,
                idempotent=route.idempotent,
                context=context,
            ),
        )
        return ActiveCompletion(
            run=run,
            completion_formatter=CompletionFormatter(
                request_id=job.id, body=body
            ),
        )

    def _find_route(self, model: str) -> Result[Route, Failure]:
        route = self.shared_state.routes.get(model)
        if route is None or not self.shared_state.resource('pool', route.pool):
            return Err(
                Failure(
                    kind=ErrorKind.UNKNOWN_MODEL,
                    detail=f'no route serves model {model!r}',
                ),
            )
        return Ok(route)

    async def _observed_events(
        self,
        completion: ActiveCompletion,
    ) -> AsyncIterator[Result[TextPiece | GenerationEnd, Failure]]:
        job = completion.run.request.job
        async for event in completion.run.relay():
            match event:
                case Ok(TextPiece()) if completion.first_piece_s is None:
                    completion.first_piece_s = time.monotonic() - job.arrived_s
                    self.metrics.first_token_seconds.observe(
                        {'class': job.urgency.value},
                        completion.first_piece_s,
                    )
                case Err(failure):
                    completion.failure = failure
            yield event

    def _count_request(self, route: str, failure: Failure | None) -> None:
        outcome = failure.kind.value if failure else 'complete'
        self.metrics.requests.inc({'route': route, 'outcome': outcome})

    def _log_completion(self, completion: ActiveCompletion) -> None:
        job = completion.run.request.job
        self.shared_state.quarantine.end_probe(job.id)
        if completion.has_not_run() and completion.grant is not None:
            self.rate_limits.give_back(completion.grant)
        progress = completion.run.progress
        failure = completion.failure
        if not progress.finished and failure is None:
            failure = _CLIENT_DISCONNECTED
        self._count_request(job.route, failure)
        _LOG.info(
            'completion',
            fields={
                'request_id': job.id,
                'team': job.team,
                'route': job.route,
                'decision': failure.kind.value if failure else 'complete',
                'detail': failure.detail if failure else '',
                'attempts': progress.attempts,
                'pieces': progress.relayed_pieces,
                'cached_tokens': progress.cached_tokens,
                'first_piece_s': completion.first_piece_s,
            },
        )


_CLIENT_DISCONNECTED = Failure(
    kind=ErrorKind.STREAM_BROKEN,
    detail='the client closed its connection',
)


def _build_job(
    team: AuthenticatedTeam,
    body: CompletionBody,
    route: Route,
    pool: Pool,
    arrived_s: float,
) -> Job:
    prompt = body.prompt.encode()
    namespace = CacheNamespace(
        team=team.name,
        model=pool.model,
        adapter=pool.adapter,
        weights_version=pool.weights_version,
    )
    return Job(
        id=f'req-{uuid.uuid4().hex}',
        team=team.name,
        route=body.model,
        pool=route.pool,
        urgency=route.urgency,
        hashes=tuple(compute_block_hashes(namespace, prompt, pool.block_bytes)),
        block_tokens=max(1, pool.block_bytes // BYTES_PER_TOKEN),
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        max_tokens=body.max_tokens,
        arrived_s=arrived_s,
        deadline_s=arrived_s + route.deadline_ms / 1000,
        team_share=team.spec.share,
        received_s=time.monotonic(),
    )
