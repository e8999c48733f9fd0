"""Define the Prometheus metrics of the router."""

from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from arbutusbay.backend import GenerationStart
from arbutusbay.router._shared_state import RouterState

_FIRST_TOKEN_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.5,
    3.0,
    6.0,
    float('inf'),
)


class RouterMetrics:
    """Hold the metrics of requests, tokens and retries."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.requests = self._counter(
            'arbutusbay_requests_total',
            'Requests answered, by route and outcome',
        )
        self.prompt_tokens = self._counter(
            'arbutusbay_prompt_tokens_total',
            'Prompt tokens of first attempts',
        )
        self.cached_tokens = self._counter(
            'arbutusbay_cached_tokens_total',
            'Prompt tokens of first attempts that engines had cached',
        )
        self.wasted_tokens = self._counter(
            'arbutusbay_wasted_tokens_total',
            'Prompt tokens computed again by repeated attempts',
        )
        self.retries = self._counter(
            'arbutusbay_retries_total',
            'Attempts after a failed one',
        )
        self.quota_asks = self._counter(
            'arbutusbay_quota_asks_total',
            'Requests of teams with a limit, by team and outcome',
        )
        self.first_token_seconds = Histogram(
            'arbutusbay_first_token_seconds',
            'Seconds from arrival to the first piece, by class',
            registry=self.registry,
            buckets=_FIRST_TOKEN_BUCKETS_S,
        )
        self.queued = Gauge(
            'arbutusbay_queued_requests',
            'Requests that wait for an engine, by pool',
            registry=self.registry,
        )
        self.config_offset = Gauge(
            'arbutusbay_router_config_offset',
            'Offset of the configuration in force',
            registry=self.registry,
        )

    def count_prompt_tokens(
        self, start: GenerationStart, *, is_repeat: bool
    ) -> None:
        """Count the prompt tokens of one attempt.

        Counts the uncached tokens of a repeated attempt as wasted, and
        nothing else, so that each request counts once in the other metrics.
        """
        uncached = start.prompt_tokens - start.cached_tokens
        if is_repeat:
            self.wasted_tokens.add({}, uncached)
            return
        self.prompt_tokens.add({}, start.prompt_tokens)
        self.cached_tokens.add({}, start.cached_tokens)

    def render_response(self, shared_state: RouterState) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        self.config_offset.set({}, shared_state.config.offset)
        for pool in shared_state.pools.values():
            self.queued.set({'pool': pool.name}, len(pool.queue))
        body, headers = render(self.registry, [])
        return web.Response(body=body, headers=headers)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)
