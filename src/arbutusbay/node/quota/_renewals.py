"""Lend this VM's shares of the limits to the owners, and renew the leases."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node.quota._client import QuotaClient
from arbutusbay.node.quota._messages import Ask, Release
from arbutusbay.quota import QuotaPartition

_LOG = get_logger('quota')
_TICK_S = 0.1


class ShareRenewals:
    """Renew the lease of each partition unless requests have done so.

    ``known_owners`` holds the last chosen owner by the number of a partition.
    """

    def __init__(self, *, client: QuotaClient) -> None:
        """Send the renewals through ``client``."""
        self.client = client
        self.partitions = client.partitions
        self.known_owners: dict[int, str] = {}

    async def run(self) -> None:
        """Renew the leases until cancelled."""
        while True:
            self.partitions.refresh()
            for partition in self.partitions.used:
                self._renew(partition)
            await asyncio.sleep(_TICK_S)

    def _renew(self, partition: QuotaPartition) -> None:
        """Renew the lease of this VM's share, and look for a better owner."""
        client = self.client
        lender = partition.lender
        moment_s = now_s()
        vms = self.partitions.vms
        chosen = lender.choose_owner(vms)
        self._record_owner(partition, chosen)
        silent = lender.vm_to_probe(vms, moment_s)
        if silent is not None:
            client.start(client.call(partition, silent, self._probe(partition)))
        left = lender.owner_to_leave(chosen, moment_s)
        if left is not None:
            lender.begin_release()
            client.start(self._leave(partition, left))
        elif lender.is_renewal_due(moment_s, self.partitions.times):
            client.start(client.ask_owner(partition, self._probe(partition)))

    def _probe(self, partition: QuotaPartition) -> Ask:
        """Return an ask for nothing, which lends nothing yet."""
        return Ask(
            number=self.client.calls.next_number(),
            vm=self.client.own_vm.name,
            partition=partition.number,
            lease_s=0,
            adds_start_credit=False,
        )

    async def _leave(self, partition: QuotaPartition, owner: str) -> None:
        is_released = True
        if owner == self.client.own_vm.name:
            partition.owner.release(owner, now_s())
        else:
            released = await self.client.call(
                partition,
                owner,
                Release(
                    number=self.client.calls.next_number(),
                    vm=self.client.own_vm.name,
                    partition=partition.number,
                ),
            )
            is_released = released is not None
        partition.lender.record_release(owner, is_released=is_released)

    def _record_owner(self, partition: QuotaPartition, chosen: str) -> None:
        """Count and log a change of the owner."""
        known = self.known_owners.get(partition.number)
        if known == chosen:
            return
        self.known_owners[partition.number] = chosen
        self.client.metrics.owner_changes.inc({})
        _LOG.info(
            'owner of limits changed',
            fields={
                'owner': chosen,
                'before': known or '',
                'partition': partition.number,
                'teams': sorted(partition.owner.terms_by_team),
                'vms': self.partitions.vm_count,
            },
        )
