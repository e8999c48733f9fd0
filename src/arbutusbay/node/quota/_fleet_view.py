"""Tell the rate limits which configuration and which VMs there are."""

from arbutusbay.clock import now_s
from arbutusbay.fleet import Configuration, QuotaSpec, VMRegistration
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import parse_endpoint
from arbutusbay.quota import LimitShares, QuotaBounds, QuotaTerms

_MEMBERS_TTL_S = 0.25


class FleetView:
    """Keep ``shares`` as the configuration and the members say."""

    def __init__(
        self, *, node_state: NodeState, own_vm: VMRegistration
    ) -> None:
        """Create the shares of ``own_vm``, which has just started."""
        self.node_state = node_state
        self.own_vm = own_vm
        bounds = node_state.settings.bounds
        self.shares = LimitShares(
            own_vm=own_vm.name,
            bounds=QuotaBounds(
                window_s=bounds.quota_window_s,
                overshoot=bounds.quota_overshoot,
                slack=bounds.quota_slack,
            ),
            now_s=now_s(),
        )
        self.applied: Configuration | None = None
        self.members_expire_s = float('-inf')

    def refresh(self) -> None:
        """Apply the configuration and the list of VMs if they changed."""
        configuration = self.node_state.configuration
        if configuration is not None and configuration is not self.applied:
            self._apply_limits(configuration)
        moment_s = now_s()
        if moment_s >= self.members_expire_s:
            self.members_expire_s = moment_s + _MEMBERS_TTL_S
            self._apply_members(moment_s)

    def address_of(self, vm: str) -> tuple[str, int] | None:
        """Return where a VM receives datagrams, None if it is not known."""
        member = self.node_state.members.members.get(vm)
        if member is None:
            return None
        endpoint = parse_endpoint(member.vm.address)
        return endpoint.host, endpoint.port

    def _apply_limits(self, configuration: Configuration) -> None:
        self.applied = configuration
        version = configuration.version
        limits = {
            team.name: quota_terms(team.quota, version)
            for team in configuration.teams_by_api_key.values()
            if team.quota is not None
        }
        self.shares.apply_limits(limits, version, now_s())

    def _apply_members(self, moment_s: float) -> None:
        members = self.node_state.members
        vm_count = None
        if members.records is not None:
            # The store may not have the record of a VM that reports, and
            # keeps those of VMs that are taken for gone but may be cut off.
            vm_count = len(members.vms().keys() | members.records.keys())
        live = members.live(moment_s) | {self.own_vm.name}
        if self.node_state.is_stopping and len(live) > 1:
            live.discard(self.own_vm.name)
        self.shares.apply_vms(live, vm_count, moment_s)


def quota_terms(quota: QuotaSpec, version: int) -> QuotaTerms:
    """Return the limit of a team in a version of the configuration."""
    return QuotaTerms(
        version=version, rate_per_s=quota.rate_per_s, burst=quota.burst
    )
