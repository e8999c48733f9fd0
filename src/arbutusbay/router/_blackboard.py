"""Hold the state that the controllers of the router share."""

import random
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from arbutusbay.policy import Budget, EngineState, FairQueue, HotLevels
from arbutusbay.router._settings import RouterSettings
from arbutusbay.state import (
    BackendServer,
    ConfigState,
    Resource,
    ResourceId,
    Route,
    Team,
)
from arbutusbay.wire import Member

_INITIAL_PREFILL_S = 0.0001
_INITIAL_SERVICE_S = 1.0
_BURST = 10.0


@attrs.frozen(kw_only=True)
class TeamAccess:
    """Bind an API key's digest to its team."""

    name: str
    team: Team


@attrs.define(kw_only=True)
class ServiceState:
    """Hold what this router knows of one plain backend server."""

    name: str
    url: str
    zone: str
    pool: str
    draining: bool = False
    in_flight: int = 0
    avoid_until_s: float = 0.0
    checks_idempotency_keys: bool = False


@attrs.define(kw_only=True)
class PoolState:
    """Hold the queue and the learned speed of one pool.

    ``prefill_s`` is seconds per uncached token; ``service_s`` the mean
    seconds that a request occupies an engine.
    """

    name: str
    queue: FairQueue = attrs.field(factory=FairQueue)
    hot_levels: HotLevels = attrs.field(factory=HotLevels)
    prefill_s: float = _INITIAL_PREFILL_S
    service_s: float = _INITIAL_SERVICE_S
    turn: int = 0


@attrs.define(kw_only=True)
class RouterBoard:
    """Hold configuration, engines, queues and budgets of this router."""

    settings: RouterSettings
    config: ConfigState = attrs.field(factory=ConfigState)
    config_known: bool = False
    members: list[Member] = attrs.field(factory=list)
    leaving_hosts: frozenset[str] = frozenset()
    access: Mapping[str, TeamAccess] = MappingProxyType({})
    routes: Mapping[str, Route] = MappingProxyType({})
    engines: dict[str, EngineState] = attrs.field(factory=dict)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    pools: dict[str, PoolState] = attrs.field(factory=dict)
    retries: Budget = attrs.field(init=False)
    rng: random.Random = attrs.field(factory=random.Random)
    in_flight: int = 0
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        """Set up the budget of retries from the settings."""
        limits = self.settings.limits
        self.retries = Budget(ratio=limits.retry_ratio, burst=_BURST)

    def resource(self, kind: str, name: str) -> Resource | None:
        """Return one resource in force."""
        return self.config.resources.get(ResourceId(kind=kind, name=name))

    def pool_state(self, name: str) -> PoolState:
        """Return the state of a pool, made when first asked for."""
        if name not in self.pools:
            self.pools[name] = PoolState(name=name)
        return self.pools[name]

    def engines_of(self, pool: str) -> list[EngineState]:
        """Return all engines of ``pool``."""
        return [
            engine for engine in self.engines.values() if engine.pool == pool
        ]

    def services_of(self, pool: str) -> list[ServiceState]:
        """Return all plain backend servers of ``pool``."""
        return [
            service
            for service in self.services.values()
            if service.pool == pool
        ]

    def control_urls(self) -> dict[str, str]:
        """Return the control daemons' URLs by VM."""
        port = self.settings.node.control_port
        urls = {
            member.node: f'http://{member.host}:{port}'
            for member in self.members
        }
        urls[self.settings.node.id] = self.settings.node.control_url
        return urls

    def live_nodes(self) -> list[str]:
        """Return the VMs that may own groups and partitions."""
        nodes = [member.node for member in self.members if not member.leaving]
        return nodes or [self.settings.node.id]

    def router_count(self) -> int:
        """Return how many routers share the engines, at least one."""
        serving = [
            member for member in self.members if member.router_offset >= 0
        ]
        return max(1, len(serving))

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the declaration of a backend server."""
        resource = self.resource('backend-server', name)
        return resource.spec if resource else None
