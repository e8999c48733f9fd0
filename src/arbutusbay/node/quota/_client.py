"""Ask for the requests of this VM, and decide for others as an owner.

Any VM may be asked. One that takes another one for the owner passes the ask
on, so that a lost link between two VMs makes no second owner.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.node.quota._fleet_view import FleetView
from arbutusbay.node.quota._messages import (
    Ask,
    Forwarded,
    GiveBack,
    QuotaMessage,
    Release,
    Reply,
    asked_grant,
    messages_from_bytes,
)
from arbutusbay.node.quota._metrics import QuotaMetrics
from arbutusbay.node.quota._outbox import Address, Outbox
from arbutusbay.node.quota._peer_calls import PeerCalls
from arbutusbay.node.quota._recent_entries import RecentEntries
from arbutusbay.quota import (
    Granted,
    QuotaPartition,
    QuotaRequest,
    QuotaTerms,
    Refused,
)

_LOG = get_logger('quota')
_MAX_VMS_ASKED = 2
_RETRY_AFTER_SILENCE_S = 0.5
# An ask held for less is passed on as it came.
_SAME_TURN_S = 0.05
# Longer than an ask is repeated for: ``PeerCalls``.
_REPLY_LIFE_S = 1.5


class QuotaClient:
    """Ask the owner of a partition, which may be this VM itself.

    ``replies`` holds the latest replies by the asking address and number, so
    that a repeated ask is charged once, ``Forwarded`` while it is passed on.
    """

    def __init__(
        self,
        *,
        node_state: NodeState,
        own_vm: VMRegistration,
        outbox: Outbox,
        metrics: QuotaMetrics,
    ) -> None:
        """Send messages to other VMs through ``outbox``."""
        self.node_state = node_state
        self.own_vm = own_vm
        self.outbox = outbox
        self.metrics = metrics
        self.fleet = FleetView(node_state=node_state, own_vm=own_vm)
        self.shares = self.fleet.shares
        self.calls = PeerCalls(
            outbox=outbox,
            rng=node_state.rng,
            return_unused=self._return_unused,
        )
        self.replies: RecentEntries[tuple[Address, int], Reply | Forwarded] = (
            RecentEntries(life_s=_REPLY_LIFE_S)
        )
        self.tasks: set[asyncio.Task[Any]] = set()

    async def ask(
        self, team: str, terms: QuotaTerms, request: QuotaRequest
    ) -> Reply:
        """Return the decision on a request; it is refused without any reply."""
        self.fleet.refresh()
        partition = self.shares.of_team(team)
        return await self.ask_owner(
            partition,
            Ask(
                number=0,
                vm=self.own_vm.name,
                partition=partition.number,
                lease_s=0,
                adds_start_credit=False,
                team=team,
                cost=request.cost,
                key=request.key,
                patience_s=request.patience_s,
                version=terms.version,
                rate_per_s=terms.rate_per_s,
                burst=terms.burst,
            ),
        )

    def give_back(self, team: str, cost: float, owner: str) -> None:
        """Return the tokens of a request that certainly was not executed."""
        partition = self.shares.of_team(team)
        self.metrics.given_back.inc({'team': team})
        if owner == self.own_vm.name:
            partition.owner.give_back(team, cost, now_s())
            return
        address = self.fleet.address_of(owner)
        if address is not None:
            self.outbox.add(
                address,
                GiveBack(partition=partition.number, team=team, cost=cost),
            )

    def receive(self, datagram: bytes, address: Address) -> None:
        """Handle the messages of another VM; log and drop malformed ones."""
        match messages_from_bytes(datagram):
            case Err(failure):
                _LOG.warning(
                    'malformed datagram dropped: {}',
                    failure.detail,
                    fields={'sender': str(address)},
                )
            case Ok(messages):
                self.fleet.refresh()
                for message in messages:
                    self._receive_message(message, address)

    def update_metrics(self) -> None:
        """Update the gauges, which are computed when they are read."""
        for partition, share in self.shares.lent_shares(now_s()).items():
            self.metrics.lent_share.set({'partition': partition}, share)

    def dump(self) -> list[dict[str, Any]]:
        """Return the state of the used partitions as JSON values."""
        return self.shares.describe(now_s())

    async def ask_owner(self, partition: QuotaPartition, ask: Ask) -> Reply:
        """Ask the VMs that may be the owner until one of them replies."""
        is_own = ask.vm == self.own_vm.name
        began_s = now_s()
        for _ in range(_MAX_VMS_ASKED):
            chosen = self.shares.choose_owner(partition)
            if is_own:
                offered = self._offer(partition, chosen, ask)
            else:
                offered = _pass_on(ask, now_s() - began_s)
            if chosen == self.own_vm.name:
                return self._decide(partition, offered)
            sent = attrs.evolve(
                offered,
                number=self.calls.next_number(),
                is_relayed=not is_own,
            )
            reply = await self.call(partition, chosen, sent)
            if reply is not None:
                return reply
        return self._reply(
            ask.number, 0.0, retry_after_s=_RETRY_AFTER_SILENCE_S
        )

    async def call(
        self, partition: QuotaPartition, vm: str, call: Ask | Release
    ) -> Reply | None:
        """Call another VM, and record whether it replied."""
        address = self.fleet.address_of(vm)
        reply = address and await self.calls.call(address, call)
        if reply:
            partition.lender.record_answer(vm)
            return reply
        partition.lender.record_silence(vm, now_s())
        self.metrics.unanswered.inc({})
        _LOG.info(
            'owner of limits silent',
            fields={
                'owner': vm,
                'partition': partition.number,
                'next': self.shares.choose_owner(partition),
            },
        )
        return None

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run ``work`` in a task of its own."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _receive_message(self, message: QuotaMessage, address: Address) -> None:
        match message:
            case Ask():
                self._receive_ask(message, address)
            case Reply():
                self.calls.receive_reply(message)
            case Forwarded(number=number):
                self.calls.receive_forwarded(number)
            case Release(number=number, vm=vm, partition=partition):
                owner = self.shares.partitions[partition].owner
                owner.release(vm, now_s())
                self.outbox.add(address, self._reply(number, owner.share))
            case GiveBack(partition=partition, team=team, cost=cost):
                owner = self.shares.partitions[partition].owner
                owner.give_back(team, cost, now_s())

    def _receive_ask(self, ask: Ask, address: Address) -> None:
        """Reply to an ask, or pass it on to the VM taken for the owner."""
        key = (address, ask.number)
        known = self.replies.get(key, now_s())
        if known is not None:
            self.outbox.add(address, known)
            return
        partition = self.shares.partitions[ask.partition]
        chosen = self.shares.choose_owner(partition)
        if ask.is_relayed or chosen in {self.own_vm.name, ask.vm}:
            self._answer(address, self._decide(partition, ask))
            return
        self._answer(address, Forwarded(number=ask.number))
        self.start(self._relay(partition, ask, address))

    async def _relay(
        self, partition: QuotaPartition, ask: Ask, address: Address
    ) -> None:
        reply = await self.ask_owner(partition, ask)
        self._answer(address, attrs.evolve(reply, number=ask.number))

    def _answer(self, address: Address, answer: Reply | Forwarded) -> None:
        """Send an answer to an ask, and again if that is repeated."""
        self.replies.put((address, answer.number), answer, now_s())
        self.outbox.add(address, answer)

    def _return_unused(self, call: Ask | Release, reply: Reply) -> None:
        """Return the tokens of a grant that nobody waits for any more."""
        is_granted = reply.retry_after_s is None
        if isinstance(call, Ask) and call.team and is_granted:
            self.give_back(call.team, call.cost, reply.owner)

    def _offer(self, partition: QuotaPartition, owner: str, ask: Ask) -> Ask:
        offered = self.shares.offer(partition, owner, now_s())
        return attrs.evolve(
            ask,
            lease_s=offered.lease_s,
            adds_start_credit=offered.adds_start_credit,
        )

    def _decide(self, partition: QuotaPartition, ask: Ask) -> Reply:
        """Decide on an ask here, with the share that it lends."""
        moment_s = now_s()
        # What arrived while this VM was suspended may be no longer lent.
        received_s = self.node_state.own_pauses.earliest_start_s(moment_s)
        decision = self.shares.decide(
            partition, asked_grant(ask), moment_s, received_s=received_s
        )
        share = partition.owner.share
        if decision is None:
            return self._reply(ask.number, share)
        self.metrics.record_decision(ask.team, decision, ask.cost)
        match decision:
            case Granted():
                return self._reply(ask.number, share)
            case Refused(retry_after_s=wait_s):
                return self._reply(ask.number, share, retry_after_s=wait_s)

    def _reply(
        self, number: int, share: float, *, retry_after_s: float | None = None
    ) -> Reply:
        return Reply(
            number=number,
            owner=self.own_vm.name,
            retry_after_s=retry_after_s,
            share=share,
        )


def _pass_on(ask: Ask, held_s: float) -> Ask:
    """Return the ask of another VM after it was held here for a while.

    Its lease began as it was sent. Its credit was in the first message that
    was passed on, which an owner may have received without a reply.
    """
    if held_s < _SAME_TURN_S:
        return ask
    return attrs.evolve(
        ask, lease_s=max(0.0, ask.lease_s - held_s), adds_start_credit=False
    )
