"""Hold the state shared by the components of the control daemon."""

import time
from collections import OrderedDict

import attrs

from arbutusbay.clock import now_s
from arbutusbay.control._engine_cache_index import EngineCacheIndex
from arbutusbay.control._settings import ControlSettings
from arbutusbay.coordination import ChangeNotifier
from arbutusbay.quarantine import SharedEvidence
from arbutusbay.state import (
    ConfigState,
    DeletionLog,
    Lease,
    Resource,
    ResourceId,
)
from arbutusbay.wire import NO_OFFSET, Member

_MAX_WRITE_RESULTS = 1000


@attrs.frozen(kw_only=True)
class WriteResult:
    """Hold the outcome of one configuration write.

    ``offset`` is the log offset of its record. The write is accepted if its
    precondition held at that offset.
    """

    offset: int
    accepted: bool


@attrs.define(kw_only=True)
class TrackedMember:
    """Hold a member and the time of its last update.

    ``updated_at_s`` is in seconds on the clock of ``now_s``.
    """

    member: Member
    updated_at_s: float


@attrs.define(kw_only=True)
class ControlState:
    """Hold the configuration, members, indexes and lease of this daemon.

    ``config_known`` is false until the first complete configuration.
    ``config_changed`` notifies of a new configuration, of a change in
    ``leaving_hosts`` and of the start of draining. ``write_results`` holds the
    outcomes of recent writes by nonce. ``live_hosts_by_vm`` maps the live entry
    VMs in the platform's list to their hosts, and ``vm_list_problems`` has the
    errors of its malformed entries. ``index`` holds the cache indexes
    that this VM owns, by engine name. ``router_offset`` is the configuration
    offset that this VM's router reported at ``router_reported_at_s``.
    ``lease_first_seen_s`` is when this daemon first saw the current holder's
    fencing token, and ``own_lease_ends_at_s`` when its own lease ends. These
    times are in seconds on the clock of ``now_s``.
    """

    settings: ControlSettings
    incarnation: int
    config: ConfigState = attrs.field(factory=ConfigState)
    config_known: bool = False
    deletion_log: DeletionLog = attrs.field(factory=DeletionLog)
    log_reachable: bool = False
    config_changed: ChangeNotifier = attrs.field(factory=ChangeNotifier)
    write_results: OrderedDict[str, WriteResult] = attrs.field(
        factory=OrderedDict
    )
    members: dict[str, TrackedMember] = attrs.field(factory=dict)
    live_hosts_by_vm: dict[str, str] = attrs.field(factory=dict)
    vm_list_problems: tuple[str, ...] = ()
    leaving_hosts: frozenset[str] = frozenset()
    index: dict[str, EngineCacheIndex] = attrs.field(factory=dict)
    router_offset: int = NO_OFFSET
    router_reported_at_s: float = 0.0
    lease: Lease | None = None
    lease_first_seen_s: float = 0.0
    own_lease_ends_at_s: float = 0.0
    draining: bool = False
    quarantine: SharedEvidence = attrs.field(factory=SharedEvidence)
    quarantine_changed: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    @property
    def node_id(self) -> str:
        """Return the node id of this VM."""
        return self.settings.node.id

    @property
    def lease_holder_name(self) -> str:
        """Return the lease holder name, unique to this run of the daemon."""
        return f'{self.node_id}/{self.incarnation}'

    def live_members(self) -> list[Member]:
        """Return this VM, then the members that are not considered dead."""
        oldest_s = now_s() - self._dead_after_s()
        return [self.own_member()] + [
            tracked.member
            for tracked in self.members.values()
            if tracked.updated_at_s > oldest_s
        ]

    def active_nodes(self) -> list[str]:
        """Return the names of live members that are not leaving.

        This VM is always included.
        """
        return [
            member.node
            for member in self.live_members()
            if not member.leaving or member.node == self.node_id
        ]

    def own_member(self) -> Member:
        """Return the description of this VM to send to other members."""
        node = self.settings.node
        return Member(
            node=node.id,
            host=node.host,
            zone=node.zone,
            incarnation=self.incarnation,
            counter=time.monotonic_ns(),
            config_offset=self.config.offset,
            router_offset=self.live_router_offset(),
            leaving=self.draining,
        )

    def live_router_offset(self) -> int:
        """Return the configuration offset that this VM's router has in force.

        Returns ``NO_OFFSET`` if the router sent no request for
        ``dead_after_ms``.
        """
        if now_s() - self.router_reported_at_s > self._dead_after_s():
            return NO_OFFSET
        return self.router_offset

    def record_router_offset(self, offset: int) -> None:
        """Record the offset that this VM's router has in force."""
        self.router_offset = offset
        self.router_reported_at_s = now_s()

    def member_control_url(self, node_id: str) -> str | None:
        """Return the URL of a member's control daemon, None if unknown."""
        port = self.settings.node.control_port
        if node_id == self.node_id:
            return self.settings.node.control_url
        tracked = self.members.get(node_id)
        return f'http://{tracked.member.host}:{port}' if tracked else None

    def holds_lease(self) -> bool:
        """Return whether this daemon may act as the lease holder now."""
        return (
            self.lease is not None
            and self.lease.holder == self.lease_holder_name
            and now_s() < self.own_lease_ends_at_s
        )

    def resources_by_name(self, kind: str) -> dict[str, Resource]:
        """Return all resources of one kind by name."""
        return {
            resource_id.name: resource
            for resource_id, resource in self.config.resources.items()
            if resource_id.kind == kind
        }

    def resource(self, kind: str, name: str) -> Resource | None:
        """Return a resource of the current configuration, if present."""
        return self.config.resources.get(ResourceId(kind=kind, name=name))

    def install_config(self, state: ConfigState) -> None:
        """Install ``state`` if it is newer and notify waiting tasks.

        The first configuration counts as a change even if it is empty.
        """
        changed = state.offset > self.config.offset or not self.config_known
        if changed:
            self.deletion_log.record_deletions(self.config, state)
        if state.offset > self.config.offset:
            self.config = state
        self.config_known = True
        if changed:
            self.config_changed.notify()

    def store_write_result(self, nonce: str, write_result: WriteResult) -> None:
        """Store the outcome of a write; drop the oldest beyond the limit."""
        self.write_results[nonce] = write_result
        if len(self.write_results) > _MAX_WRITE_RESULTS:
            self.write_results.popitem(last=False)

    def _dead_after_s(self) -> float:
        return self.settings.membership.dead_after_ms / 1000
