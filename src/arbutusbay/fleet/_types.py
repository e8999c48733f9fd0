"""Define the records of the fleet: routes, teams, services and servers."""

import enum
from collections.abc import Mapping

import attrs


class RequestKind(enum.StrEnum):
    """Classify requests by how they may be executed.

    ``IDEMPOTENT``: any number of times. ``AT_MOST_ONCE``: no more than once.
    ``STREAM``: the response is a series of events, and repeated execution is
    allowed only if the route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class RouteTarget:
    """Assign a weighted share of a route's requests to a service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class RouteSpec:
    """Define which requests a route matches and how they are served.

    Times are seconds. ``target_latency_s`` is the target for the first event.
    A client leaves a stream after ``client_patience_s`` without an event, also
    before the first one; it is infinity for other kinds.
    ``priority`` 0 is the most urgent. ``max_attempts`` limits the backend
    servers that may execute one request. ``is_public`` routes need no API key;
    streams of an ``is_resumable`` route can continue after the last event
    received.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    client_patience_s: float
    priority: int
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """Describe a service that executes requests.

    ``models`` is empty for services without language models.
    ``kv_capacity_tokens``, ``kv_token_bytes`` and the rate of its link,
    ``link_bytes_per_s``, apply to each backend server and are 0 if unknown.
    """

    name: str
    models: tuple[str, ...] = ()
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_bytes_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class KVCacheStoreSpec:
    """Locate a store that keeps KV cache entries outside the engines.

    ``zone`` is empty if it is unknown.
    """

    address: str
    zone: str = ''


class QuotaUnit(enum.StrEnum):
    """List in what the requests of a team count towards its rate limit."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@attrs.frozen(kw_only=True)
class QuotaSpec:
    """Limit the rate of a team's requests over all VMs.

    ``rate_per_s`` and ``burst`` count in ``unit``. ``default_cost`` is the cost
    of a request that doesn't tell its number of tokens.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    default_cost: float


@attrs.frozen(kw_only=True)
class TeamSpec:
    """Describe a team of API clients.

    A team with ``has_isolated_cache`` shares no KV cache entries with other
    teams. ``quota`` is None for a team without a rate limit.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None
    has_isolated_cache: bool
    quota: QuotaSpec | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limit request sizes and how long a connection may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Configuration:
    """Hold one complete configuration.

    The routes of each host in ``routes_by_host`` are sorted by the length of
    their path prefix, longest first. Without ``requires_api_key``, requests
    need no API key. ``isolated_teams`` names the teams with isolated caches,
    also those without a key. ``problems`` has the errors of the parts that were
    left out.
    """

    version: int
    routes_by_host: Mapping[str, tuple[RouteSpec, ...]]
    services: Mapping[str, ServiceSpec]
    kv_cache_stores: tuple[KVCacheStoreSpec, ...]
    teams_by_api_key: Mapping[str, TeamSpec]
    requires_api_key: bool
    limits: ClientLimits
    isolated_teams: frozenset[str] = frozenset()
    problems: tuple[str, ...] = ()

    def route_for(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@attrs.frozen(kw_only=True)
class WeightsTarget:
    """Set the weights version that all engines of a model should run."""

    model: str
    version: int


@attrs.frozen(kw_only=True)
class BackendServer:
    """Describe a registered backend server.

    ``slots`` is the number of requests that it runs concurrently. ``weights``
    maps models to the loaded version; ``incarnation`` changes with each
    start. ``heartbeat_count`` rises with each heartbeat of an incarnation and
    does not count in comparisons.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    weights: Mapping[str, int]
    incarnation: int
    heartbeat_count: int = attrs.field(default=0, eq=False)


@attrs.frozen(kw_only=True)
class VMRegistration:
    """Describe a VM for service discovery.

    ``address`` is the endpoint for calls and datagrams between VMs;
    ``started_ms`` is the start time in milliseconds since the epoch.
    """

    name: str
    address: str
    zone: str
    started_ms: int


@attrs.frozen(kw_only=True)
class LeaseClaim:
    """Record the holder of a lease.

    The offset of the record in the store is the fencing token. ``claim_number``
    counts the claims of the holder since its start, 0 if unknown.
    """

    name: str
    holder: str
    claim_number: int
