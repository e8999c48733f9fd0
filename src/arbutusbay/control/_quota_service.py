"""Decide on the limits of teams with the control daemons of other VMs.

Each VM lends its share of the limits to one owner at a time, which decides.
"""

from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._quota_view import QuotaView
from arbutusbay.control._shared_state import ControlState
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import call_peer
from arbutusbay.logs import get_logger
from arbutusbay.own_pauses import OwnPauses
from arbutusbay.quota import (
    PARTITION_COUNT,
    AskedGrant,
    Granted,
    OfferedShare,
    QuotaPartition,
    QuotaRequest,
    QuotaTerms,
    Refused,
)
from arbutusbay.wire import QuotaAsk, QuotaLoan, QuotaReply, QuotaReturn

_LOG = get_logger('quota')
# Shorter than a lease is promised for beyond its use: ``LeaseTimes``.
_CALL_TIMEOUT_S = 0.5
_MAX_OWNERS_ASKED = 2
_RETRY_AFTER_SILENCE_MS = 500
_MAX_LEASE_MS = 60_000
_MAX_COST = 1_000_000_000_000


class QuotaService:
    """Ask the owners of the limits, and decide as one.

    ``own_pauses`` holds when this daemon last did not run.
    """

    def __init__(
        self,
        *,
        shared_state: ControlState,
        session: aiohttp.ClientSession,
        metrics: ControlMetrics,
    ) -> None:
        """Call other control daemons in ``session``."""
        self.shared_state = shared_state
        self.session = session
        self.metrics = metrics
        self.view = QuotaView(shared_state=shared_state)
        self.shares = self.view.shares
        self.own_pauses = OwnPauses()

    async def ask(self, ask: QuotaAsk) -> Result[QuotaReply, Failure]:
        """Return the decision on a request of a router.

        It is refused if no owner replies. Fails with ``BAD_MESSAGE``.
        """
        if not _is_amount(ask.cost):
            return _malformed(f'cost {ask.cost}')
        self.view.refresh()
        terms = self.shares.limits.get(ask.team)
        if terms is None:
            return Ok(QuotaReply(is_granted=True))
        partition = self.shares.of_team(ask.team)
        return Ok(
            await self.ask_owner(
                partition,
                QuotaLoan(
                    node=self.shares.own_vm,
                    partition=partition.number,
                    team=ask.team,
                    cost=ask.cost,
                    key=ask.key,
                    patience_ms=ask.patience_ms,
                    version=terms.version,
                    rate_per_s=terms.rate_per_s,
                    burst=terms.burst,
                ),
            )
        )

    def receive(self, loan: QuotaLoan) -> Result[QuotaReply, Failure]:
        """Take the loan of another VM, and decide on what it asks for."""
        amounts = (loan.cost, loan.rate_per_s, loan.burst)
        is_sound = all(map(_is_amount, amounts))
        if loan.partition >= PARTITION_COUNT or not is_sound:
            return _malformed(f'partition {loan.partition}, {amounts}')
        self.view.refresh()
        partition = self.shares.partitions[loan.partition]
        if loan.is_released:
            partition.owner.release(loan.node, now_s())
            return Ok(self._reply(partition, is_granted=True))
        return Ok(self._decide(partition, loan))

    async def give_back(self, returned: QuotaReturn) -> None:
        """Return what a request cost to the owner that granted it."""
        if not _is_amount(returned.cost):
            return
        if returned.owner == self.shares.own_vm:
            partition = self.shares.of_team(returned.team)
            partition.owner.give_back(returned.team, returned.cost, now_s())
            self.metrics.quota_returns.inc({'team': returned.team})
            return
        url = self.shared_state.member_control_url(returned.owner)
        if url is not None:
            await call_peer(
                self.session,
                f'{url}/peer/quota/return',
                returned,
                QuotaReply,
                timeout_s=_CALL_TIMEOUT_S,
            )

    def describe(self) -> list[dict[str, Any]]:
        """Return the state of the used partitions as JSON values."""
        return self.shares.describe(now_s())

    def lent_shares(self) -> dict[str, float]:
        """Return the part of the fleet that lends to this VM, by partition."""
        return self.shares.lent_shares(now_s())

    async def ask_owner(
        self, partition: QuotaPartition, loan: QuotaLoan
    ) -> QuotaReply:
        """Lend to the owner, or to the next one if it does not reply."""
        for _ in range(_MAX_OWNERS_ASKED):
            chosen = self.shares.choose_owner(partition)
            offered = self._offer(partition, chosen, loan)
            if chosen == self.shares.own_vm:
                return self._decide(partition, offered)
            reply = await self.call(partition, chosen, offered)
            if reply is not None:
                return reply
        return QuotaReply(
            is_granted=False, retry_after_ms=_RETRY_AFTER_SILENCE_MS
        )

    async def call(
        self, partition: QuotaPartition, vm: str, loan: QuotaLoan
    ) -> QuotaReply | None:
        """Call another VM, and record whether it replied."""
        url = self.shared_state.member_control_url(vm)
        if url is not None:
            reply = await call_peer(
                self.session,
                f'{url}/peer/quota/loan',
                loan,
                QuotaReply,
                timeout_s=_CALL_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                partition.lender.record_answer(vm)
                return reply.ok()
        partition.lender.record_silence(vm, now_s())
        self.metrics.quota_silences.inc({})
        _LOG.info(
            'owner of limits silent',
            fields={
                'owner': vm,
                'partition': partition.number,
                'next': self.shares.choose_owner(partition),
            },
        )
        return None

    def _offer(
        self, partition: QuotaPartition, owner: str, loan: QuotaLoan
    ) -> QuotaLoan:
        offered = self.shares.offer(partition, owner, now_s())
        return attrs.evolve(loan, lease_ms=milliseconds(offered.lease_s))

    def _decide(self, partition: QuotaPartition, loan: QuotaLoan) -> QuotaReply:
        """Decide on a loan here, with the share that it lends."""
        moment_s = now_s()
        # What arrived while this VM was suspended may be no longer lent.
        received_s = self.own_pauses.earliest_start_s(moment_s)
        decision = self.shares.decide(
            partition, _asked_grant(loan), moment_s, received_s=received_s
        )
        if decision is None:
            return self._reply(partition, is_granted=True)
        self.metrics.record_decision(loan.team, decision)
        match decision:
            case Granted():
                return self._reply(partition, is_granted=True)
            case Refused(is_final=True):
                return self._reply(partition, is_final=True)
            case Refused(retry_after_s=wait_s):
                return self._reply(
                    partition, retry_after_ms=milliseconds(wait_s)
                )

    def _reply(
        self,
        partition: QuotaPartition,
        *,
        is_granted: bool = False,
        is_final: bool = False,
        retry_after_ms: int = 0,
    ) -> QuotaReply:
        return QuotaReply(
            is_granted=is_granted,
            is_final=is_final,
            retry_after_ms=retry_after_ms,
            owner=self.shares.own_vm,
            share=partition.owner.share,
        )


def _asked_grant(loan: QuotaLoan) -> AskedGrant:
    """Return what a loan offers and asks for."""
    return AskedGrant(
        vm=loan.node,
        offered=OfferedShare(
            lease_s=min(loan.lease_ms, _MAX_LEASE_MS) / 1000,
            adds_start_credit=False,
        ),
        team=loan.team,
        request=QuotaRequest(
            cost=loan.cost, key=loan.key, patience_s=loan.patience_ms / 1000
        ),
        terms=QuotaTerms(
            version=loan.version,
            rate_per_s=loan.rate_per_s,
            burst=loan.burst,
        ),
    )


def _is_amount(number: float) -> bool:
    return 0 <= number <= _MAX_COST


def _malformed(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'quota: {detail}'))
