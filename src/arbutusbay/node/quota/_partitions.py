"""Hold this VM's part in the rate limits, partition by partition."""

from arbutusbay.clock import now_s
from arbutusbay.fleet import Configuration, QuotaSpec, VMRegistration
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import parse_endpoint
from arbutusbay.quota import (
    LeaseTimes,
    QuotaBounds,
    QuotaPartition,
    QuotaTerms,
    apply_limits,
    create_partitions,
    lease_times,
    partition_of,
)

_MEMBERS_TTL_S = 0.25
# Divides the limits while the number of VMs is not known.
_MAX_VMS = 400


class QuotaPartitions:
    """Keep the partitions as the configuration and the list of VMs say.

    ``used`` holds those that have a team with a limit. ``vms`` holds the VMs
    that may own a partition, in a fixed order.
    """

    def __init__(
        self, *, node_state: NodeState, own_vm: VMRegistration
    ) -> None:
        """Create the partitions of ``own_vm``, which has just started."""
        self.node_state = node_state
        self.own_vm = own_vm
        bounds = node_state.settings.bounds
        self.partitions = create_partitions(
            own_vm.name,
            QuotaBounds(
                window_s=bounds.quota_window_s,
                overshoot=bounds.quota_overshoot,
                slack=bounds.quota_slack,
            ),
            now_s(),
        )
        self.used: tuple[QuotaPartition, ...] = ()
        self.limits: dict[str, QuotaSpec] = {}
        self.vms: tuple[str, ...] = (own_vm.name,)
        self.vm_count = 1
        self.applied: Configuration | None = None
        self.members_expire_s = float('-inf')

    @property
    def version(self) -> int:
        """Return the version of the configuration whose limits are applied."""
        return self.applied.version if self.applied else 0

    @property
    def times(self) -> LeaseTimes:
        """Return the times of a lease in this fleet."""
        return lease_times(self.vm_count)

    def of_team(self, team: str) -> QuotaPartition:
        """Return the partition of a team."""
        return self.partitions[partition_of(team)]

    def refresh(self) -> None:
        """Apply the configuration and the list of VMs if they changed."""
        configuration = self.node_state.configuration
        if configuration is not None and configuration is not self.applied:
            self._apply_limits(configuration)
        moment_s = now_s()
        if moment_s >= self.members_expire_s:
            self.members_expire_s = moment_s + _MEMBERS_TTL_S
            self._apply_members(moment_s)

    def choose_owner(self, partition: QuotaPartition) -> str:
        """Return the VM that this VM takes for the owner of a partition."""
        return partition.lender.choose_owner(self.vms)

    def address_of(self, vm: str) -> tuple[str, int] | None:
        """Return where a VM receives datagrams, None if it is not known."""
        member = self.node_state.members.members.get(vm)
        if member is None:
            return None
        endpoint = parse_endpoint(member.vm.address)
        return endpoint.host, endpoint.port

    def _apply_limits(self, configuration: Configuration) -> None:
        self.applied = configuration
        self.limits = {
            team.name: team.quota
            for team in configuration.teams_by_api_key.values()
            if team.quota is not None
        }
        terms = {
            team: quota_terms(quota, configuration.version)
            for team, quota in self.limits.items()
        }
        self.used = apply_limits(self.partitions, terms, now_s())

    def _apply_members(self, moment_s: float) -> None:
        members = self.node_state.members
        self.vm_count = _MAX_VMS
        if members.records is not None:
            # The store may not have the record of a VM that reports, and
            # keeps those of VMs that are taken for gone but may be cut off.
            known = members.vms().keys() | members.records.keys()
            self.vm_count = len(known)
        live = members.live(moment_s) | {self.own_vm.name}
        if self.node_state.is_stopping and len(live) > 1:
            live.discard(self.own_vm.name)
        self.vms = tuple(sorted(live))
        for partition in self.partitions:
            partition.owner.resize_fleet(self.vm_count, moment_s)
            partition.lender.forget_others(self.vms)


def quota_terms(quota: QuotaSpec, version: int) -> QuotaTerms:
    """Return the limit of a team in a version of the configuration."""
    return QuotaTerms(
        version=version, rate_per_s=quota.rate_per_s, burst=quota.burst
    )
