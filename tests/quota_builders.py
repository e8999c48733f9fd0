"""Build clients of rate limits that exchange datagrams in memory."""

import asyncio
import functools
import random

import attrs

from arbutusbay.fleet import (
    ClientLimits,
    Configuration,
    QuotaSpec,
    QuotaUnit,
    TeamSpec,
    VMRegistration,
)
from arbutusbay.node._node_state import NodeState
from arbutusbay.node.quota import (
    Outbox,
    QuotaClient,
    QuotaMetrics,
    ShareRenewals,
)
from tests.fleet_builders import build_vm_settings

TEAM = 'pharmacy'
KEY = 'key'
_PORT = 9


def build_quota(**changes) -> QuotaSpec:
    """Return a limit of a few requests."""
    quota = QuotaSpec(
        unit=QuotaUnit.REQUESTS, rate_per_s=1.0, burst=10.0, default_cost=0.0
    )
    return attrs.evolve(quota, **changes)


def build_quota_configuration(
    quota: QuotaSpec | None, version: int = 1
) -> Configuration:
    """Return a configuration with one team."""
    team = TeamSpec(
        name=TEAM,
        api_keys=frozenset((KEY,)),
        priority=None,
        has_isolated_cache=False,
        quota=quota,
    )
    return Configuration(
        version=version,
        routes_by_host={},
        services={},
        kv_cache_stores=(),
        teams_by_api_key={KEY: team},
        requires_api_key=True,
        limits=ClientLimits(),
    )


@attrs.define(kw_only=True, eq=False)
class QuotaNetwork:
    """Deliver datagrams between clients, except over ``cut`` links.

    ``sent`` counts the datagrams.
    """

    clients: dict[str, QuotaClient] = attrs.field(factory=dict)
    renewals: list[asyncio.Task[None]] = attrs.field(factory=list)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    loss: float = 0.0
    sent: int = 0
    metrics: QuotaMetrics = attrs.field(factory=QuotaMetrics)
    rng: random.Random = attrs.field(factory=lambda: random.Random(3))

    def add_vms(self, count: int, quota: QuotaSpec | None) -> None:
        """Add VMs that know each other and the limit of the team."""
        vms = [
            VMRegistration(
                name=f'vm-{number}',
                address=f'10.0.0.{number + 1}:{_PORT}',
                zone='plateau',
                started_ms=1,
            )
            for number in range(count)
        ]
        for vm in vms:
            node_state = NodeState(settings=build_vm_settings())
            node_state.members.own_vm = vm
            node_state.members.apply_records(
                {other.name: other for other in vms}, float('inf')
            )
            node_state.catalog.configuration = build_quota_configuration(quota)
            host = vm.address.partition(':')[0]
            client = QuotaClient(
                node_state=node_state,
                own_vm=vm,
                outbox=Outbox(
                    send=functools.partial(self._send, (host, _PORT))
                ),
                metrics=self.metrics,
            )
            self.clients[vm.name] = client

    def start(self) -> None:
        """Let all VMs renew their leases."""
        self.renewals = [
            asyncio.create_task(ShareRenewals(client=client).run())
            for client in self.clients.values()
        ]

    def stop(self, name: str) -> None:
        """Cut a VM from all others."""
        self.cut |= {frozenset((name, other)) for other in self.clients}

    def _send(
        self, source: tuple[str, int], target: tuple[str, int], datagram: bytes
    ) -> None:
        self.sent += 1
        names = [self._name_at(source), self._name_at(target)]
        is_lost = self.rng.random() < self.loss
        if is_lost or frozenset(names) in self.cut:
            return
        asyncio.get_running_loop().call_soon(
            self.clients[names[1]].receive, datagram, source
        )

    def _name_at(self, address: tuple[str, int]) -> str:
        return f'vm-{int(address[0].rpartition(".")[2]) - 1}'
