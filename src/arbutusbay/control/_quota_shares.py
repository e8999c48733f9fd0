"""Hold this VM's part in the limits of teams, partition by partition."""

from arbutusbay.clock import now_s
from arbutusbay.control._shared_state import ControlState
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
from arbutusbay.state import ConfigState, Resource

# Divides the limits until the platform's list of VMs is known.
_MAX_VMS = 400
# A limit of our own configuration is exceeded by nothing.
_BOUNDS = QuotaBounds()


class QuotaShares:
    """Keep the partitions as the configuration and the list of VMs say.

    ``limits`` holds the limits in force by team, ``used`` the partitions that
    have one.
    """

    def __init__(self, *, shared_state: ControlState) -> None:
        """Create the partitions of a VM that has lent nothing yet."""
        self.shared_state = shared_state
        self.partitions = create_partitions(
            shared_state.node_id, _BOUNDS, now_s()
        )
        self.limits: dict[str, QuotaTerms] = {}
        self.used: tuple[QuotaPartition, ...] = ()
        self.vm_count = _MAX_VMS
        self.applied: ConfigState | None = None

    @property
    def times(self) -> LeaseTimes:
        """Return the times of a lease among these VMs."""
        return lease_times(self.vm_count)

    def of_team(self, team: str) -> QuotaPartition:
        """Return the partition of a team."""
        return self.partitions[partition_of(team)]

    def refresh(self) -> None:
        """Apply the configuration and the number of VMs if they changed."""
        moment_s = now_s()
        if self.applied is not self.shared_state.config:
            self._apply_limits(self.shared_state.config, moment_s)
        self.vm_count = self._count_vms()
        vms = self.live_vms()
        for partition in self.partitions:
            partition.owner.resize_fleet(self.vm_count, moment_s)
            partition.lender.forget_others(vms)

    def live_vms(self) -> list[str]:
        """Return the VMs that may own a partition."""
        vms = set(self.shared_state.active_nodes())
        if self.shared_state.draining and len(vms) > 1:
            vms.discard(self.shared_state.node_id)
        return sorted(vms)

    def is_unlimited(self, team: str, version: int) -> bool:
        """Return whether a newer configuration has no limit for the team."""
        return (
            team not in self.limits
            and self.shared_state.config.offset >= version
        )

    def _apply_limits(self, config: ConfigState, moment_s: float) -> None:
        self.applied = config
        self.limits = {
            name: _terms_of(team)
            for name, team in self.shared_state.resources_by_name(
                'team'
            ).items()
            if team.spec.quota is not None and team.spec.quota.is_limiting
        }
        self.used = apply_limits(self.partitions, self.limits, moment_s)

    def _count_vms(self) -> int:
        """Return how many VMs may lend a share, also silent ones."""
        shared_state = self.shared_state
        if not shared_state.live_hosts_by_vm:
            return _MAX_VMS
        hosts = set(shared_state.live_hosts_by_vm.values())
        hosts.update(
            tracked.member.host for tracked in shared_state.members.values()
        )
        return len(hosts | {shared_state.settings.node.host})


def _terms_of(team: Resource) -> QuotaTerms:
    quota = team.spec.quota
    return QuotaTerms(
        version=team.version, rate_per_s=quota.rate_per_s, burst=quota.burst
    )
