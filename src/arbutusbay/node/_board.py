"""Hold the state of the daemon that its controllers read and write."""

import asyncio
import random
from collections.abc import Collection

import attrs
from aiohttp import web

from arbutusbay.fleet import Catalog, Configuration
from arbutusbay.node._clock import now_s
from arbutusbay.node._peer_messages import ZoneLoad
from arbutusbay.platform import VMSettings
from arbutusbay.scheduling import (
    PEER_MEMORY_S,
    Budget,
    EngineView,
    WorkMix,
    WorkSums,
    is_within,
    short_share,
)

_REVOCATION_MARGIN_S = 0.4
_OUTAGE_S = 2.0


@attrs.define(kw_only=True)
class Freshness:
    """Track how old the operator's documents held here may be.

    ``as_of_s`` is when the last answered read was sent; nothing that the
    operator wrote before it is missing. ``outage_end_s`` is when the store
    was heard of again after it had not been for long.
    """

    as_of_s: float = float('-inf')
    outage_end_s: float = float('-inf')

    def put(self, as_of_s: float) -> None:
        """Take up that everything written before ``as_of_s`` is known."""
        gap_s = as_of_s - self.as_of_s
        if _OUTAGE_S < gap_s < float('inf'):
            self.outage_end_s = now_s()
        self.as_of_s = max(self.as_of_s, as_of_s)

    def age_s(self) -> float:
        """Return the greatest age of what is held, in seconds."""
        return now_s() - self.as_of_s


@attrs.frozen(kw_only=True)
class HeardZone:
    """Hold the sum of another availability zone, and when it was heard."""

    load: ZoneLoad
    heard_s: float


@attrs.define(kw_only=True)
class NodeBoard:
    """Hold what the daemon knows, and what is in progress.

    ``busy`` holds the connections on which a request is being answered,
    ``heard_s`` when each other VM was last heard of, ``heard_zones`` the
    sums that the speakers of other zones told, ``loads_elsewhere`` engines
    that a VM of another zone loads weights into; ``prefill_s`` is how long
    an engine takes for one prompt token.
    """

    settings: VMSettings
    catalog: Catalog = attrs.field(factory=Catalog)
    freshness: Freshness = attrs.field(factory=Freshness)
    views: dict[str, EngineView] = attrs.field(factory=dict)
    budgets: dict[str, Budget] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=random.Random)
    prefill_s: float = 0.00002
    mix: WorkMix = attrs.field(factory=WorkMix)
    peer_mixes: dict[str, WorkSums] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    heard_s: dict[str, float] = attrs.field(factory=dict)
    heard_zones: dict[str, HeardZone] = attrs.field(factory=dict)
    loads_elsewhere: dict[str, EngineView] = attrs.field(factory=dict)
    relay_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    load_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    has_read_servers: bool = False
    is_stopping: bool = False
    is_refusing: bool = False
    busy: set[web.RequestHandler] = attrs.field(factory=set)

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.catalog.configuration

    def is_fresh(self) -> bool:
        """Tell whether a key taken away would certainly be known here."""
        limit_s = self.settings.bounds.revocation_s - _REVOCATION_MARGIN_S
        return is_within(self.freshness.age_s(), limit_s)

    def is_ready(self) -> bool:
        """Tell whether the process wants new connections."""
        return (
            not self.is_stopping
            and self.configuration is not None
            and self.has_read_servers
            and self.is_fresh()
        )

    def age_ms(self) -> int | None:
        """Return the age of the configuration, None before the first."""
        age_s = self.freshness.age_s()
        return None if age_s == float('inf') else int(age_s * 1000)

    def views_of(self, service: str) -> list[EngineView]:
        """Return the backend servers of ``service``."""
        return [view for view in self.views.values() if view.service == service]

    def budget_of(self, service: str) -> Budget:
        """Return the retry budget of ``service`` that this VM may spend."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            vms = max(1, len(self.catalog.vms))
            budget = Budget(
                ratio=bounds.retry_ratio,
                burst=max(1.0, bounds.retry_slack / vms / 2),
                refill_per_s=bounds.retry_slack
                / vms
                / 2
                / bounds.retry_window_s,
                refilled_s=now_s(),
            )
            self.budgets[service] = budget
        return budget

    def short_share(self) -> float:
        """Return the share of recent work that has short prompts."""
        return short_share(
            [
                self.mix.sums(now_s()),
                *self.recent_mixes(self.peer_mixes),
                *(load.mix for load in self.loads_of_other_zones().values()),
            ],
        )

    def silent_vms(self, limit_s: float) -> set[str]:
        """Return the VMs that were last heard of over ``limit_s`` ago."""
        moment_s = now_s()
        return {
            name
            for name, heard_s in self.heard_s.items()
            if moment_s - heard_s > limit_s
        }

    def recent_mixes(self, names: Collection[str]) -> list[WorkSums]:
        """Return the recent work of those of ``names`` that still speak."""
        recent_s = now_s() - PEER_MEMORY_S
        return [
            mix
            for name, mix in self.peer_mixes.items()
            if name in names and self.heard_s.get(name, 0) > recent_s
        ]

    def loads_of_other_zones(self) -> dict[str, ZoneLoad]:
        """Return the sums of other zones that were told lately."""
        recent_s = now_s() - PEER_MEMORY_S
        return {
            zone: heard.load
            for zone, heard in self.heard_zones.items()
            if heard.heard_s > recent_s
        }

    def notify(self) -> None:
        """Wake whoever waits for a change of what is known."""
        self.changed.set()
        self.changed = asyncio.Event()

    def notify_relay(self) -> None:
        """Wake the VMs that wait for news of the store."""
        self.relay_changed.set()
        self.relay_changed = asyncio.Event()

    def notify_load(self) -> None:
        """Wake the controller that tells other VMs of own attempts."""
        self.load_changed.set()
