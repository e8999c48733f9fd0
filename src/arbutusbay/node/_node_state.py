"""Hold the in-memory state that the tasks of the node daemon share."""

import asyncio
import enum
import math
import random
from collections import Counter
from collections.abc import Callable, Collection

import attrs
from aiohttp import web

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.fairness import ExpectedReturns, FleetQueues
from arbutusbay.fleet import ClientLimits, Configuration, FleetCatalog
from arbutusbay.logs import get_logger
from arbutusbay.node._failed_reads import FailedReads
from arbutusbay.node._peer_messages import ZoneLoad
from arbutusbay.node._server_speeds import ServerSpeeds
from arbutusbay.own_pauses import OwnPauses
from arbutusbay.pacing import DatagramPacer
from arbutusbay.planned_stop import PlannedStop, ResponseDurations
from arbutusbay.platform import VMSettings
from arbutusbay.prefixes import SavedPrefixes, StoreHealth
from arbutusbay.quarantine import SegmentKey, SegmentQuarantine
from arbutusbay.scheduling import (
    PEER_REPORT_TTL_S,
    EngineView,
    LoadDuration,
    Membership,
    ObservedEra,
    RecentWork,
    RetryBudget,
    WorkTotals,
    is_fresh_enough,
    short_prompt_share,
)

_FIRST_ERA = 1
_REVOCATION_MARGIN_S = 0.4
_MAX_WAIT_FOR_VERDICTS_S = 2.0
# Divides the limits of the fleet while the number of its VMs is not known.
_MAX_VMS = 400
# Less than a link of 5 Mbit/s carries, and than a queue of 32 KiB holds.
_SENT_BYTES_PER_S = 400_000
_SENT_BURST_BYTES = 24_576
_LOG = get_logger('store')


def build_pacer() -> DatagramPacer:
    """Return a pacer that leaves room on the link for requests."""
    return DatagramPacer(
        bytes_per_s=_SENT_BYTES_PER_S, burst_bytes=_SENT_BURST_BYTES
    )


@attrs.define(kw_only=True)
class Freshness:
    """Track how stale the local copy of the operator's documents may be.

    Times are in seconds on the node's clock. ``as_of_s`` is when the last
    successful read was sent: every document written before it is known
    here. ``outage_end_s`` is when the store returned after an outage.
    """

    as_of_s: float = float('-inf')
    outage_end_s: float = float('-inf')
    failed_reads: FailedReads = attrs.field(factory=FailedReads)

    def record_read(self, as_of_s: float) -> None:
        """Record that all documents written before ``as_of_s`` are known."""
        self.failed_reads.record_data(as_of_s)
        self.as_of_s = max(self.as_of_s, as_of_s)

    def record_failed_read(self, sent_s: float) -> None:
        """Record that a read of the store, sent at ``sent_s``, has failed."""
        self.failed_reads.record_failure(sent_s, now_s())

    def record_store_response(self) -> None:
        """Record that the store responds, maybe after an outage."""
        end_s = self.failed_reads.outage_end_s(now_s())
        self.failed_reads.clear()
        if end_s is not None:
            self.record_outage(end_s)

    def record_outage(self, end_s: float) -> None:
        """Record an outage of the store that ended at ``end_s``."""
        self.outage_end_s = max(self.outage_end_s, end_s)

    def store_returned_ago_s(self) -> float | None:
        """Return how long ago the last outage ended, None if none is known."""
        ago_s = now_s() - self.outage_end_s
        return ago_s if math.isfinite(ago_s) else None

    def record_restored_store(self) -> None:
        """Treat the restoration of the store as an outage that just ended."""
        self.outage_end_s = now_s()

    def age_s(self) -> float:
        """Return the maximum age of the local copy, in seconds."""
        return now_s() - self.as_of_s


class RelayForm(enum.StrEnum):
    """List how a response to a following VM holds records.

    ``EMPTY``: it holds none. ``CHANGE``: the configuration as a change of a
    version that the VM has. ``WHOLE``: compressed. ``PLAIN``: as JSON.
    """

    EMPTY = 'empty'
    CHANGE = 'change'
    WHOLE = 'whole'
    PLAIN = 'plain'


@attrs.define(kw_only=True)
class StoreEra:
    """Track the highest era of the store that any response named.

    ``number`` is None until the first response. ``first_read`` is when
    this VM first learned of the era, ``changed`` is set when it rises.
    """

    number: int | None = None
    first_read: ObservedEra | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def observe(self, number: int) -> bool:
        """Record that the store has reached an era; return whether it rose."""
        if self.number is not None and number <= self.number:
            return False
        is_restored = self.number is not None
        self.first_read = ObservedEra(
            observed_s=now_s(),
            is_restored=is_restored,
            is_first=number <= _FIRST_ERA and not is_restored,
        )
        self.number = number
        self.changed.set()
        self.changed = asyncio.Event()
        return self.first_read.is_restored


@attrs.frozen(kw_only=True)
class ReceivedZoneLoad:
    """Hold the load of another availability zone and its time of receipt."""

    load: ZoneLoad
    received_at_s: float


@attrs.define(kw_only=True)
class NodeState:
    """Hold the shared state of the daemon.

    Attributes:
        members: The VMs of the fleet, as this one sees them.
        engine_views: Engines by the id of their backend server.
        retry_budgets: Retry budgets by service.
        prefill_s_per_token: Prefill time of an engine per prompt token, in
            seconds.
        load_duration: Time that an engine takes to load weights.
        recent_work: Recent work that this VM dispatched, by prompt length.
        peer_work_totals: The same as last reported by each other VM.
        state_changed: Set when the catalog or the set of engines changes.
        reported_zone_loads: Load of the other zones, as last reported by
            their aggregators.
        remote_weights_loads: Engines into which a VM of another zone loads
            weights.
        topics_changed: Set when the records of a topic change.
        relayed_bytes: Bytes of the responses to following VMs.
        report_changed: Set when the state reported to other VMs changes.
        stop: The moments of the shutdown, None before it.
        is_ending: Whether the process ends now, whatever is in progress.
        request_limits: Time limits of the requests in progress.
        uploads: Whether requests whose bodies are being read have become too
            late, by their time limits.
        response_durations: How long the responses of each route took.
        busy_connections: Connections that have a request in progress.
        own_pauses: When this VM last did not run.
        fleet_queues: What waits here and at other VMs, by service.
        returns: Refused requests that are expected back.
        quarantine: Prompt segments that crash engines.
        prefix_placements: Requests with a shared prefix, by whether the first
            owner got them and whether they are saved.
        saved_prefixes: Shared prefixes that the stores of KV cache have.
        store_health: Which stores of KV cache don't answer.
        speeds: How fast the backend servers are.
        pacer: Reports to other VMs that wait for the link.
        stored_revisions: Revisions of the verdicts that the store holds.
        skipped_records: Why a coordination record was skipped, by its key.
        has_read_verdicts: Whether the verdicts in the store, or those of
            another VM, have been read.
        has_asked_others: Whether another VM was asked for what a store that
            was restored may have lost, or none answered.
        started_s: When this process started.
    """

    settings: VMSettings
    members: Membership = attrs.field(factory=Membership)
    catalog: FleetCatalog = attrs.field(factory=FleetCatalog)
    freshness: Freshness = attrs.field(factory=Freshness)
    store_era: StoreEra = attrs.field(factory=StoreEra)
    engine_views: dict[str, EngineView] = attrs.field(factory=dict)
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=random.Random)
    prefill_s_per_token: float = 0.00002
    load_duration: LoadDuration = attrs.field(factory=LoadDuration)
    recent_work: RecentWork = attrs.field(factory=RecentWork)
    peer_work_totals: dict[str, WorkTotals] = attrs.field(factory=dict)
    state_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    reported_zone_loads: dict[str, ReceivedZoneLoad] = attrs.field(factory=dict)
    remote_weights_loads: dict[str, EngineView] = attrs.field(factory=dict)
    topics_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    relayed_bytes: Counter[RelayForm] = attrs.field(factory=Counter)
    report_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    has_read_servers: bool = False
    stop: PlannedStop | None = None
    is_ending: bool = False
    request_limits: set[asyncio.Timeout] = attrs.field(factory=set)
    uploads: dict[asyncio.Timeout, Callable[[], bool]] = attrs.field(
        factory=dict
    )
    response_durations: ResponseDurations = attrs.field(
        factory=ResponseDurations
    )
    busy_connections: set[web.RequestHandler] = attrs.field(factory=set)
    own_pauses: OwnPauses = attrs.field(factory=OwnPauses)
    fleet_queues: FleetQueues = attrs.field(factory=FleetQueues)
    returns: ExpectedReturns = attrs.field(factory=ExpectedReturns)
    quarantine: SegmentQuarantine = attrs.field(factory=SegmentQuarantine)
    prefix_placements: Counter[tuple[bool, bool]] = attrs.field(factory=Counter)
    saved_prefixes: SavedPrefixes = attrs.field(factory=SavedPrefixes)
    store_health: StoreHealth = attrs.field(factory=StoreHealth)
    speeds: ServerSpeeds = attrs.field(factory=ServerSpeeds)
    pacer: DatagramPacer = attrs.field(factory=build_pacer)
    stored_revisions: dict[SegmentKey, set[int]] = attrs.field(factory=dict)
    skipped_records: dict[str, str] = attrs.field(factory=dict)
    has_read_verdicts: bool = False
    has_asked_others: bool = False
    started_s: float = attrs.field(factory=now_s)

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is shutting down, and thus not ready."""
        return self.stop is not None

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, None before the first."""
        return self.catalog.configuration

    @property
    def client_limits(self) -> ClientLimits:
        """Return the active limits, the defaults before the first."""
        configuration = self.configuration
        return configuration.limits if configuration else ClientLimits()

    def is_fresh(self) -> bool:
        """Return whether the local copy is recent enough to check API keys.

        Its age must be below the revocation bound, less a safety margin, so
        that no key is accepted for longer than the bound after it is revoked.
        """
        limit_s = self.settings.bounds.key_revocation_s - _REVOCATION_MARGIN_S
        return is_fresh_enough(self.freshness.age_s(), limit_s)

    def is_ready(self) -> bool:
        """Return whether the process accepts new connections."""
        return not self.is_stopping and self._has_read_all() and self.is_fresh()

    def knows_verdicts(self) -> bool:
        """Return whether this VM has read which segments are quarantined.

        A VM whose store does not respond starts without them after a while.
        """
        uptime_s = now_s() - self.started_s
        return self.has_read_verdicts or uptime_s > _MAX_WAIT_FOR_VERDICTS_S

    def observe_store_era(self, number: int) -> None:
        """Record the era that a response of the store named.

        Registrations of running servers may be missing from a restored
        store until the servers write them again.
        """
        if self.store_era.observe(number):
            self.freshness.record_restored_store()
            self.stored_revisions.clear()
            _LOG.warning('store was restored', fields={'era': number})

    def lacks_past(self) -> bool:
        """Return whether others may hold records that the store lost.

        It was restored from a copy before this process first read it.
        """
        era = self.store_era.first_read
        if era is None or era.is_restored or self.has_asked_others:
            return False
        return self.store_era.number > _FIRST_ERA

    def configuration_age_ms(self) -> int | None:
        """Return the age of the configuration in milliseconds.

        None means that no configuration has been read yet.
        """
        return milliseconds(self.freshness.age_s())

    def views_of_service(self, service: str) -> list[EngineView]:
        """Return the engines of ``service``."""
        return [
            view
            for view in self.engine_views.values()
            if view.service == service
        ]

    def retry_budget_of(self, service: str) -> RetryBudget:
        """Return this VM's retry budget for ``service``.

        Each VM gets an equal share of the fleet's retry slack, half of it as
        burst and half as refill over the retry window. The share changes with
        the number of VMs.
        """
        bounds = self.settings.bounds
        vms = self.members.share_count() or _MAX_VMS
        half_share = bounds.retry_slack / vms / 2
        burst = max(1.0, half_share)
        refill_tokens_per_s = half_share / bounds.retry_window_s
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=bounds.retry_ratio,
                burst=burst,
                refill_tokens_per_s=refill_tokens_per_s,
                last_refill_s=now_s(),
            )
            self.retry_budgets[service] = budget
        elif budget.refill_tokens_per_s != refill_tokens_per_s:
            budget.resize(burst=burst, refill_tokens_per_s=refill_tokens_per_s)
        return budget

    def short_prompt_share(self) -> float:
        """Return the fraction of the fleet's recent work with short prompts."""
        return short_prompt_share(
            [
                self.recent_work.current_totals(now_s()),
                *self.recent_peer_work_totals(self.peer_work_totals),
                *(
                    load.work_totals
                    for load in self.recent_zone_loads().values()
                ),
            ],
        )

    def recent_peer_work_totals(
        self, names: Collection[str]
    ) -> list[WorkTotals]:
        """Return the work of the VMs in ``names`` that reported recently."""
        recent = self.members.heard_since(now_s() - PEER_REPORT_TTL_S)
        return [
            totals
            for name, totals in self.peer_work_totals.items()
            if name in names and name in recent
        ]

    def recent_zone_loads(self) -> dict[str, ZoneLoad]:
        """Return the load of the other zones that was reported recently."""
        recent_s = now_s() - PEER_REPORT_TTL_S
        return {
            zone: reported.load
            for zone, reported in self.reported_zone_loads.items()
            if reported.received_at_s > recent_s
        }

    def notify_state_changed(self) -> None:
        """Wake tasks that wait for a change of the catalog or the engines."""
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def notify_topics_changed(self) -> None:
        """Wake relay requests that wait for new records of a topic."""
        self.topics_changed.set()
        self.topics_changed = asyncio.Event()

    def notify_report_changed(self) -> None:
        """Wake the task that reports the load of this VM to other VMs."""
        self.report_changed.set()

    def _has_read_all(self) -> bool:
        return (
            self.configuration is not None
            and self.has_read_servers
            and self.knows_verdicts()
        )
