"""Lend this VM's shares of the limits to the owners, and renew the leases."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node.quota._client import QuotaClient
from arbutusbay.node.quota._messages import Ask, Release
from arbutusbay.quota import (
    ChangeOwner,
    LeaveOwner,
    ProbeVM,
    QuotaPartition,
    RenewalStep,
    RenewLease,
    plan_renewal,
)

_LOG = get_logger('quota')
_TICK_S = 0.1


class ShareRenewals:
    """Renew the lease of each partition unless requests have done so."""

    def __init__(self, *, client: QuotaClient) -> None:
        """Send the renewals through ``client``."""
        self.client = client
        self.shares = client.shares

    async def run(self) -> None:
        """Renew the leases until cancelled."""
        while True:
            self.client.fleet.refresh()
            for partition in self.shares.used:
                for step in plan_renewal(self.shares, partition, now_s()):
                    self._take(step, partition)
            await asyncio.sleep(_TICK_S)

    def _take(self, step: RenewalStep, partition: QuotaPartition) -> None:
        client = self.client
        match step:
            case ChangeOwner(owner=owner, before=before):
                self._record_owner(partition, owner, before)
            case ProbeVM(vm=vm):
                client.start(client.call(partition, vm, self._probe(partition)))
            case LeaveOwner(owner=owner):
                client.start(self._leave(partition, owner))
            case RenewLease():
                client.start(
                    client.ask_owner(partition, self._probe(partition))
                )

    def _probe(self, partition: QuotaPartition) -> Ask:
        """Return an ask for nothing, which lends nothing yet."""
        return Ask(
            number=self.client.calls.next_number(),
            vm=self.shares.own_vm,
            partition=partition.number,
            lease_s=0,
            adds_start_credit=False,
        )

    async def _leave(self, partition: QuotaPartition, owner: str) -> None:
        released = await self.client.call(
            partition,
            owner,
            Release(
                number=self.client.calls.next_number(),
                vm=self.shares.own_vm,
                partition=partition.number,
            ),
        )
        partition.lender.record_release(owner, is_released=released is not None)

    def _record_owner(
        self, partition: QuotaPartition, owner: str, before: str
    ) -> None:
        """Count and log a change of the owner."""
        self.client.metrics.owner_changes.inc({})
        _LOG.info(
            'owner of limits changed',
            fields={
                'owner': owner,
                'before': before,
                'partition': partition.number,
                'teams': sorted(partition.owner.terms_by_team),
                'vms': self.shares.vm_count,
            },
        )
