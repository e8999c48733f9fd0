"""Run the decisions on rate limits for the VMs of a fleet, without a network.

A message either arrives at once or not at all. Nothing tells a VM which
others are there, except that they don't answer.
"""

import heapq
import random
from collections import deque
from collections.abc import Iterable

import attrs

from arbutusbay.quota import (
    Granted,
    Loan,
    QuotaBounds,
    QuotaOwner,
    QuotaRequest,
    QuotaTerms,
    Refused,
    ShareLender,
    lease_times,
    rank_owners,
)

TEAM = 'pharmacy'
BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1, slack=110_000.0)
TERMS = QuotaTerms(version=1, rate_per_s=300_000.0, burst=300_000.0)
SMALL_TERMS = QuotaTerms(version=1, rate_per_s=29_000.0, burst=29_000.0)
STEP_S = 0.05
LONG_UP_S = -100.0
_PARTITION = 0
_MAX_OWNERS_ASKED = 3
_MIN_COST = 2_000
_MAX_COST = 16_400
_PATIENCE_S = 1.7


@attrs.define(kw_only=True, eq=False)
class FakeVM:
    """Hold the decisions of one VM and what keeps it from others.

    Only VMs of the same ``island`` reach each other. ``inbox`` holds the
    messages that arrived while the VM was suspended.
    """

    name: str
    owner: QuotaOwner
    lender: ShareLender
    terms: QuotaTerms
    is_up: bool = True
    suspended_s: float | None = None
    island: int = 0
    inbox: list[tuple[str, Loan, float]] = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class FakeFleet:
    """Hold the VMs of a fleet, and what was granted to the team when."""

    vm_count: int
    terms: QuotaTerms = TERMS
    bounds: QuotaBounds = BOUNDS
    loss: float = 0.0
    now_s: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    names: tuple[str, ...] = attrs.field(init=False)
    vms: dict[str, FakeVM] = attrs.field(init=False)
    grants: list[tuple[float, float]] = attrs.field(factory=list)
    asked: float = 0.0
    returning: list[tuple[float, int, QuotaRequest]] = attrs.field(factory=list)
    returned: int = 0
    served_on_return: int = 0
    next_key: int = 0

    def __attrs_post_init__(self) -> None:
        """Create VMs that have been up for long."""
        self.names = tuple(f'vm-{number}' for number in range(self.vm_count))
        self.vms = {
            name: self._new_vm(name, started_s=LONG_UP_S) for name in self.names
        }

    def owner_name(self) -> str:
        """Return the VM that should own the partition of the team."""
        return rank_owners(_PARTITION, self.names)[0]

    def run(self, duration_s: float, *, demand_per_s: float = 0.0) -> None:
        """Let the VMs lend, and callers ask for ``demand_per_s`` tokens."""
        end_s = self.now_s + duration_s
        due = 0.0
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._renew_leases()
            self._let_callers_return()
            due += demand_per_s * STEP_S
            while due > 0:
                cost = float(self.rng.randint(_MIN_COST, _MAX_COST))
                due -= cost
                self.asked += cost
                self.next_key += 1
                self.ask(
                    self._any_vm(),
                    QuotaRequest(
                        cost=cost, key=self.next_key, patience_s=_PATIENCE_S
                    ),
                )

    def ask(
        self, vm: FakeVM, request: QuotaRequest, *, is_first: bool = True
    ) -> None:
        """Ask for a request; a refused caller returns once, as it was told."""
        decision = self.decide(vm, request)
        if not is_first:
            self.returned += 1
        match decision:
            case Granted():
                self.grants.append((self.now_s, request.cost))
                self.served_on_return += not is_first
            case Refused(retry_after_s=wait_s):
                if is_first and wait_s <= _PATIENCE_S:
                    heapq.heappush(
                        self.returning,
                        (self.now_s + wait_s, request.key, request),
                    )

    def decide(self, vm: FakeVM, request: QuotaRequest) -> Granted | Refused:
        """Ask owner after owner until one answers."""
        times = lease_times(self.vm_count)
        for _ in range(_MAX_OWNERS_ASKED):
            name = vm.lender.choose_owner(self.names)
            loan = vm.lender.offer(name, self.now_s, times)
            if self._send_loan(vm, name, loan):
                return self.vms[name].owner.decide(
                    TEAM, vm.terms, request, self.now_s
                )
        return Refused(retry_after_s=1.0)

    def apply(self, terms: QuotaTerms, names: Iterable[str]) -> None:
        """Bring a configuration to some of the VMs."""
        for name in names:
            vm = self.vms[name]
            vm.terms = terms
            vm.owner.apply_limits({TEAM: terms}, self.now_s)

    def restart(self, name: str) -> None:
        """Start a VM anew: it forgets what it lent and granted."""
        self.vms[name] = self._new_vm(name, started_s=self.now_s)

    def wake(self, name: str) -> None:
        """Let a suspended VM go on, which reads first what has arrived."""
        vm = self.vms[name]
        suspended_s = vm.suspended_s
        vm.suspended_s = None
        for sender, loan, lease_s in vm.inbox:
            self._receive(vm, sender, loan, suspended_s + lease_s)
        vm.inbox.clear()

    def granted_since(self, start_s: float) -> float:
        """Return the sum of what was granted after a moment."""
        return sum(cost for at_s, cost in self.grants if at_s > start_s)

    def highest_window(self, since_s: float = LONG_UP_S) -> float:
        """Return the most that was granted in any window after a moment."""
        window: deque[tuple[float, float]] = deque()
        total = 0.0
        highest = 0.0
        for at_s, cost in self.grants:
            if at_s < since_s:
                continue
            window.append((at_s, cost))
            total += cost
            while window[0][0] < at_s - self.bounds.window_s:
                total -= window.popleft()[1]
            highest = max(highest, total)
        return highest

    def _new_vm(self, name: str, *, started_s: float) -> FakeVM:
        owner = QuotaOwner(bounds=self.bounds, vm_count=self.vm_count)
        owner.apply_limits({TEAM: self.terms}, self.now_s)
        return FakeVM(
            name=name,
            owner=owner,
            lender=ShareLender(
                own_vm=name,
                partition=_PARTITION,
                window_s=self.bounds.window_s,
                last_credit_s=started_s,
            ),
            terms=self.terms,
        )

    def _running(self) -> list[FakeVM]:
        return [
            vm
            for vm in self.vms.values()
            if vm.is_up and vm.suspended_s is None
        ]

    def _any_vm(self) -> FakeVM:
        return self.rng.choice(self._running())

    def _let_callers_return(self) -> None:
        while self.returning and self.returning[0][0] <= self.now_s:
            request = heapq.heappop(self.returning)[2]
            self.ask(self._any_vm(), request, is_first=False)

    def _renew_leases(self) -> None:
        times = lease_times(self.vm_count)
        for vm in self._running():
            silent = vm.lender.vm_to_probe(self.names, self.now_s)
            if silent is not None:
                self._send(vm, silent)
            chosen = vm.lender.choose_owner(self.names)
            left = vm.lender.owner_to_leave(chosen, self.now_s)
            if left is not None and self._send(vm, left):
                self.vms[left].owner.release(vm.name, self.now_s)
                vm.lender.begin_release()
                vm.lender.record_release(left, is_released=True)
            if vm.lender.is_renewal_due(self.now_s, times):
                loan = vm.lender.offer(chosen, self.now_s, times)
                self._send_loan(vm, chosen, loan)

    def _send_loan(self, vm: FakeVM, name: str, loan: Loan) -> bool:
        target = self.vms[name]
        lease_s = lease_times(self.vm_count).lease_s
        if target.suspended_s is not None and target.island == vm.island:
            target.inbox.append((vm.name, loan, lease_s))
        if not self._send(vm, name):
            return False
        self._receive(target, vm.name, loan, self.now_s + lease_s)
        return True

    def _receive(
        self, target: FakeVM, sender: str, loan: Loan, until_s: float
    ) -> None:
        if loan.adds_start_credit:
            target.owner.add_start_credit(self.now_s)
        if loan.lends:
            target.owner.lend(sender, self.now_s, until_s=until_s)

    def _send(self, vm: FakeVM, name: str) -> bool:
        """Return whether a message and its answer arrive."""
        target = self.vms[name]
        is_there = (
            target.is_up
            and target.suspended_s is None
            and target.island == vm.island
        )
        is_lost = target is not vm and self.rng.random() < self.loss
        if is_there and not is_lost:
            vm.lender.record_answer(name)
            return True
        vm.lender.record_silence(name, self.now_s)
        return False


def highest_allowed(terms: QuotaTerms = TERMS) -> float:
    """Return the bound on what is granted in a window."""
    limit = terms.rate_per_s * BOUNDS.window_s + terms.burst
    return limit * (1 + BOUNDS.overshoot) + BOUNDS.slack
