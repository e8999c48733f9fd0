"""Describe what is in force: routes, teams, services, backend servers."""

import enum
from collections.abc import Mapping

import attrs


class RequestKind(enum.StrEnum):
    """Tell what a request allows: repeating it, one run, or a stream."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class WeightedService:
    """Give a share of a route's requests to a service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class RouteRule:
    """Say which requests match and how they are served.

    Times are seconds. ``priority`` 0 is the most urgent. ``max_attempts``
    bounds the backend servers that may run one request.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """Describe a service that runs requests.

    ``models`` is empty for plain services; ``kv_capacity_tokens`` and
    ``slots`` hold for each backend server, 0 where unknown.
    """

    name: str
    models: tuple[str, ...] = ()
    slots: int = 0
    kv_capacity_tokens: int = 0
    max_connections: int = 0


@attrs.frozen(kw_only=True)
class CacheStoreSpec:
    """Locate a store that keeps KV cache outside the engines."""

    name: str
    address: str
    zone: str


@attrs.frozen(kw_only=True)
class TeamAccess:
    """Describe a team; an isolated one shares no cache with others."""

    name: str
    api_keys: frozenset[str]
    priority: int | None
    is_isolated: bool


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Bound what a client may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Configuration:
    """Hold one whole configuration; ``routes_by_host`` longest prefix first."""

    version: int
    routes_by_host: Mapping[str, tuple[RouteRule, ...]]
    services: Mapping[str, ServiceSpec]
    cache_stores: tuple[CacheStoreSpec, ...]
    teams_by_key: Mapping[str, TeamAccess]
    has_teams: bool
    limits: ClientLimits

    def route_for(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@attrs.frozen(kw_only=True)
class WeightsTarget:
    """Name the weights version that all engines of a model should run."""

    model: str
    version: int


@attrs.frozen(kw_only=True)
class BackendServer:
    """Describe a registered backend server.

    ``weights`` maps models to the loaded version; ``incarnation`` changes
    with each start, ``order_count`` with each accepted order.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_remaining_s: float
    weights: Mapping[str, int]
    incarnation: int


@attrs.frozen(kw_only=True)
class VMRecord:
    """Announce a VM to the others; ``address`` takes calls between VMs."""

    name: str
    address: str
    zone: str
    started_ms: int


@attrs.frozen(kw_only=True)
class LeaseClaim:
    """Record who holds a lease; the record's offset is the fence."""

    name: str
    holder: str
    round: int
