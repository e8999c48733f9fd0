"""Tell the limits of teams which configuration and which VMs there are."""

from arbutusbay.clock import now_s
from arbutusbay.control._shared_state import ControlState
from arbutusbay.quota import LimitShares, QuotaBounds, QuotaTerms
from arbutusbay.state import ConfigState, Resource

# A limit of our own configuration is exceeded by nothing.
_BOUNDS = QuotaBounds()


class QuotaView:
    """Keep ``shares`` as the configuration and the list of VMs say."""

    def __init__(self, *, shared_state: ControlState) -> None:
        """Create the shares of a VM that has lent nothing yet."""
        self.shared_state = shared_state
        self.shares = LimitShares(
            own_vm=shared_state.node_id, bounds=_BOUNDS, now_s=now_s()
        )
        self.applied: ConfigState | None = None

    def refresh(self) -> None:
        """Apply the configuration and the list of VMs if they changed."""
        moment_s = now_s()
        if self.applied is not self.shared_state.config:
            self._apply_limits(self.shared_state.config, moment_s)
        self.shares.apply_vms(self._live_vms(), self._count_vms(), moment_s)

    def _live_vms(self) -> set[str]:
        """Return the VMs that may own a partition."""
        vms = set(self.shared_state.active_nodes())
        if self.shared_state.draining and len(vms) > 1:
            vms.discard(self.shared_state.node_id)
        return vms

    def _apply_limits(self, config: ConfigState, moment_s: float) -> None:
        self.applied = config
        limits = {
            name: _terms_of(team)
            for name, team in self.shared_state.resources_by_name(
                'team'
            ).items()
            if team.spec.quota is not None and team.spec.quota.is_limiting
        }
        self.shares.apply_limits(limits, config.offset, moment_s)

    def _count_vms(self) -> int | None:
        """Return how many VMs may lend a share, also silent ones."""
        shared_state = self.shared_state
        if not shared_state.live_hosts_by_vm:
            return None
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
