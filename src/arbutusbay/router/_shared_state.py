"""Hold the state shared by the components of the router."""

import random
from collections import deque
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from arbutusbay.admission import StartPredictor
from arbutusbay.engine_ends import EngineEndDetector
from arbutusbay.fairness import FairQueue
from arbutusbay.planned_stop import PlannedStop, ResponseDurations
from arbutusbay.policy import (
    EngineState,
    HotPrefixCounter,
    QueuedJob,
    RetryBudget,
)
from arbutusbay.quarantine import SegmentQuarantine
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
_RETRY_BURST = 10.0


@attrs.frozen(kw_only=True)
class AuthenticatedTeam:
    """Hold the team that an API key belongs to."""

    name: str
    spec: Team


@attrs.define(kw_only=True)
class ServiceState:
    """Hold the state of one service as seen by this router.

    A service is a backend server that is not an engine.

    ``backoff_until_s`` is in seconds on the monotonic clock.
    """

    name: str
    url: str
    zone: str
    pool: str
    draining: bool = False
    in_flight: int = 0
    backoff_until_s: float = 0.0
    checks_idempotency_keys: bool = False


@attrs.define(kw_only=True)
class PoolState:
    """Hold the queue and the measured speed of one pool.

    ``prefill_s_per_token`` is the mean seconds to prefill one uncached token,
    and ``service_s`` the mean seconds that a request occupies an engine.
    ``placement_number`` counts placements for the round-robin policy.
    ``moving`` holds the jobs at silent engines for which a place at another one
    is looked for. ``starts`` predicts when queued jobs start.
    """

    name: str
    queue: FairQueue[QueuedJob] = attrs.field(factory=FairQueue)
    starts: StartPredictor = attrs.field(factory=StartPredictor)
    moving: deque[QueuedJob] = attrs.field(factory=deque)
    hot_prefixes: HotPrefixCounter = attrs.field(factory=HotPrefixCounter)
    prefill_s_per_token: float = _INITIAL_PREFILL_S
    service_s: float = _INITIAL_SERVICE_S
    placement_number: int = 0


@attrs.define(kw_only=True)
class RouterState:
    """Hold the configuration, engines, queues and retry budget of a router.

    ``config_known`` is false until the first configuration has arrived.
    ``teams_by_key_digest`` maps digests of API keys to teams. ``stop`` holds
    the moments of the shutdown, on the monotonic clock, and ``durations`` how
    long the responses of the services of each pool took.
    """

    settings: RouterSettings
    config: ConfigState = attrs.field(factory=ConfigState)
    config_known: bool = False
    members: list[Member] = attrs.field(factory=list)
    leaving_hosts: frozenset[str] = frozenset()
    teams_by_key_digest: Mapping[str, AuthenticatedTeam] = MappingProxyType({})
    routes: Mapping[str, Route] = MappingProxyType({})
    engines: dict[str, EngineState] = attrs.field(factory=dict)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    pools: dict[str, PoolState] = attrs.field(factory=dict)
    retry_budget: RetryBudget = attrs.field(init=False)
    rng: random.Random = attrs.field(factory=random.Random)
    in_flight: int = 0
    stop: PlannedStop | None = None
    durations: ResponseDurations = attrs.field(factory=ResponseDurations)
    quarantine: SegmentQuarantine = attrs.field(factory=SegmentQuarantine)
    engine_ends: EngineEndDetector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the retry budget, and what notices engines that end."""
        self.engine_ends = EngineEndDetector(
            record_end=self.quarantine.record_end
        )
        limits = self.settings.limits
        self.retry_budget = RetryBudget(
            ratio=limits.retry_ratio, burst=_RETRY_BURST
        )

    @property
    def draining(self) -> bool:
        """Return whether the process is shutting down, and thus not ready."""
        return self.stop is not None

    def resource(self, kind: str, name: str) -> Resource | None:
        """Return a resource of the current configuration, if present."""
        return self.config.resources.get(ResourceId(kind=kind, name=name))

    def pool_state(self, name: str) -> PoolState:
        """Return the state of a pool; create it on first use."""
        if name not in self.pools:
            self.pools[name] = PoolState(name=name)
        return self.pools[name]

    def engines_in_pool(self, pool: str) -> list[EngineState]:
        """Return all engines in ``pool``."""
        return [
            engine for engine in self.engines.values() if engine.pool == pool
        ]

    def services_in_pool(self, pool: str) -> list[ServiceState]:
        """Return all services in ``pool``."""
        return [
            service
            for service in self.services.values()
            if service.pool == pool
        ]

    def control_urls(self) -> dict[str, str]:
        """Return the URL of the control daemon of each VM, by the VM's id."""
        port = self.settings.node.control_port
        urls = {
            member.node: f'http://{member.host}:{port}'
            for member in self.members
        }
        urls[self.settings.node.id] = self.settings.node.control_url
        return urls

    def active_nodes(self) -> list[str]:
        """Return ids of VMs that can own engine groups or ledger partitions.

        Falls back to this router's own VM if no other is known.
        """
        nodes = [member.node for member in self.members if not member.leaving]
        return nodes or [self.settings.node.id]

    def router_count(self) -> int:
        """Return the number of routers that share the engines, at least 1."""
        routers = [
            member for member in self.members if member.router_offset >= 0
        ]
        return max(1, len(routers))

    def may_repeat(self, *, has_output: bool) -> bool:
        """Withdraw the token of a repetition; return whether it may be made.

        One that continues output needs no token, and leaves all to those
        without output.
        """
        return has_output or self.retry_budget.try_withdraw()

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the declaration of a backend server, if it exists."""
        resource = self.resource('backend-server', name)
        return resource.spec if resource else None
