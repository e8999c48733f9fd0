"""Lend this VM's shares of the limits to their owners, and renew the leases."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from arbutusbay.clock import now_s
from arbutusbay.control._quota_service import QuotaService
from arbutusbay.controller import Controller
from arbutusbay.logs import get_logger
from arbutusbay.quota import (
    ChangeOwner,
    LeaveOwner,
    ProbeVM,
    QuotaPartition,
    RenewalStep,
    RenewLease,
    plan_renewal,
)
from arbutusbay.wire import QuotaLoan

_LOG = get_logger('quota')
_TICK_S = 0.1


class QuotaRenewals(Controller):
    """Renew the lease of each partition unless requests have done so."""

    quota: QuotaService

    async def prepare(self) -> None:
        """Start without a call under way."""
        self.calls: set[asyncio.Task[Any]] = set()

    async def step(self) -> None:
        """Renew the leases that are due."""
        self.quota.own_pauses.record_check(now_s())
        self.quota.view.refresh()
        shares = self.quota.shares
        for partition in shares.used:
            for step in plan_renewal(shares, partition, now_s()):
                self._take(step, partition)
        await asyncio.sleep(_TICK_S)

    def _take(self, step: RenewalStep, partition: QuotaPartition) -> None:
        quota = self.quota
        match step:
            case ChangeOwner(owner=owner, before=before):
                self._log_owner(partition, owner, before)
            case ProbeVM(vm=vm):
                self._start(quota.call(partition, vm, self._loan(partition)))
            case LeaveOwner(owner=owner):
                self._start(self._leave(partition, owner))
            case RenewLease():
                self._start(quota.ask_owner(partition, self._loan(partition)))

    def _loan(
        self, partition: QuotaPartition, *, is_released: bool = False
    ) -> QuotaLoan:
        """Return a message that asks for nothing, and lends nothing yet."""
        return QuotaLoan(
            node=self.quota.shares.own_vm,
            partition=partition.number,
            is_released=is_released,
        )

    async def _leave(self, partition: QuotaPartition, owner: str) -> None:
        release = self._loan(partition, is_released=True)
        reply = await self.quota.call(partition, owner, release)
        partition.lender.record_release(owner, is_released=reply is not None)

    def _start(self, call: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    def _log_owner(
        self, partition: QuotaPartition, owner: str, before: str
    ) -> None:
        _LOG.info(
            'owner of limits changed',
            fields={
                'owner': owner,
                'before': before,
                'partition': partition.number,
                'teams': sorted(partition.owner.terms_by_team),
                'vms': self.quota.shares.vm_count,
            },
        )
