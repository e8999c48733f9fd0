"""Lend this VM's shares of the limits to their owners, and renew the leases."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from arbutusbay.clock import now_s
from arbutusbay.control._quota_service import QuotaService
from arbutusbay.controller import Controller
from arbutusbay.logs import get_logger
from arbutusbay.quota import QuotaPartition
from arbutusbay.wire import QuotaLoan

_LOG = get_logger('quota')
_TICK_S = 0.1


class QuotaRenewals(Controller):
    """Renew the lease of each partition unless requests have done so.

    ``known_owners`` holds the last chosen owner by the number of a partition.
    """

    quota: QuotaService

    async def prepare(self) -> None:
        """Start without a call under way."""
        self.known_owners: dict[int, str] = {}
        self.calls: set[asyncio.Task[Any]] = set()

    async def step(self) -> None:
        """Renew the leases that are due."""
        self.quota.own_pauses.record_check(now_s())
        self.quota.shares.refresh()
        for partition in self.quota.shares.used:
            self._renew(partition)
        await asyncio.sleep(_TICK_S)

    def _renew(self, partition: QuotaPartition) -> None:
        """Renew the lease of this VM's share, and look for a better owner."""
        lender = partition.lender
        moment_s = now_s()
        vms = self.quota.shares.live_vms()
        chosen = lender.choose_owner(vms)
        self._log_owner(partition, chosen)
        silent = lender.vm_to_probe(vms, moment_s)
        if silent is not None:
            self._start(
                self.quota.call(partition, silent, self._loan(partition))
            )
        left = lender.owner_to_leave(chosen, moment_s)
        if left is not None:
            lender.begin_release()
            self._start(self._leave(partition, left))
        elif lender.is_renewal_due(moment_s, self.quota.shares.times):
            self._start(self.quota.ask_owner(partition, self._loan(partition)))

    def _loan(
        self, partition: QuotaPartition, *, is_released: bool = False
    ) -> QuotaLoan:
        """Return a message that asks for nothing, and lends nothing yet."""
        return QuotaLoan(
            node=self.quota.shared_state.node_id,
            partition=partition.number,
            is_released=is_released,
        )

    async def _leave(self, partition: QuotaPartition, owner: str) -> None:
        is_released = True
        if owner == self.quota.shared_state.node_id:
            partition.owner.release(owner, now_s())
        else:
            release = self._loan(partition, is_released=True)
            reply = await self.quota.call(partition, owner, release)
            is_released = reply is not None
        partition.lender.record_release(owner, is_released=is_released)

    def _start(self, call: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    def _log_owner(self, partition: QuotaPartition, chosen: str) -> None:
        known = self.known_owners.get(partition.number)
        if known == chosen:
            return
        self.known_owners[partition.number] = chosen
        _LOG.info(
            'owner of limits changed',
            fields={
                'owner': chosen,
                'before': known or '',
                'partition': partition.number,
                'vms': self.quota.shares.vm_count,
            },
        )
