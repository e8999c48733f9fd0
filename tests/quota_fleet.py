"""Run the decisions on rate limits for the VMs of a fleet, without a network.

A message either arrives at once or not at all. Nothing tells a VM which
others are there, except that they don't answer.
"""

import functools
import heapq
import random
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping

import attrs

from arbutusbay.quota import (
    AskedGrant,
    Decision,
    Granted,
    LeaveOwner,
    LimitShares,
    ProbeVM,
    QuotaBounds,
    QuotaOwner,
    QuotaPartition,
    QuotaRequest,
    QuotaTerms,
    Refused,
    RenewalStep,
    RenewLease,
    ShareLender,
    partition_of,
    plan_renewal,
    rank_owners,
)

TEAM = 'pharmacy'
BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1, slack=110_000.0)
TERMS = QuotaTerms(version=1, rate_per_s=300_000.0, burst=300_000.0)
SMALL_TERMS = QuotaTerms(version=1, rate_per_s=29_000.0, burst=29_000.0)
STEP_S = 0.05
LONG_UP_S = -100.0
_NOTHING = QuotaRequest(cost=0)
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
    shares: LimitShares
    is_up: bool = True
    suspended_s: float | None = None
    island: int = 0
    inbox: list[AskedGrant] = attrs.field(factory=list)

    @property
    def partition(self) -> QuotaPartition:
        """Return the partition of the team."""
        return self.shares.of_team(TEAM)

    @property
    def owner(self) -> QuotaOwner:
        """Return what this VM may decide for the team."""
        return self.partition.owner

    @property
    def lender(self) -> ShareLender:
        """Return whom this VM lends to."""
        return self.partition.lender


@attrs.define(kw_only=True, eq=False)
class FakeFleet:
    """Hold the VMs of a fleet, and what was granted to the team when.

    Other teams have ``other_limits`` and ask for ``other_demands`` a second.
    ``refused`` has by team what those asked for who gave up.
    """

    vm_count: int
    terms: QuotaTerms = TERMS
    other_limits: dict[str, QuotaTerms] = attrs.field(factory=dict)
    other_demands: dict[str, float] = attrs.field(factory=dict)
    refused: dict[str, float] = attrs.field(
        factory=functools.partial(defaultdict, float)
    )
    bounds: QuotaBounds = BOUNDS
    loss: float = 0.0
    now_s: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    names: tuple[str, ...] = attrs.field(init=False)
    vms: dict[str, FakeVM] = attrs.field(init=False)
    grants: list[tuple[float, float]] = attrs.field(factory=list)
    asked: float = 0.0
    returning: list[tuple[float, int, str, QuotaRequest]] = attrs.field(
        factory=list
    )
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
        return rank_owners(partition_of(TEAM), self.names)[0]

    def run(self, duration_s: float, *, demand_per_s: float = 0.0) -> None:
        """Let the VMs lend, and callers ask for ``demand_per_s`` tokens."""
        end_s = self.now_s + duration_s
        demands = {TEAM: demand_per_s, **self.other_demands}
        due = dict.fromkeys(demands, 0.0)
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._renew_leases()
            self._let_callers_return()
            for team, demand in demands.items():
                due[team] = self._ask_for(team, due[team] + demand * STEP_S)

    def ask(
        self,
        vm: FakeVM,
        request: QuotaRequest,
        *,
        team: str = TEAM,
        is_first: bool = True,
    ) -> None:
        """Ask for a request; a refused caller returns once, as it was told."""
        decision = self.decide(vm, request, team)
        if not is_first:
            self.returned += 1
        match decision:
            case Granted():
                self.served_on_return += not is_first
                if team == TEAM:
                    self.grants.append((self.now_s, request.cost))
            case Refused(retry_after_s=wait_s):
                if is_first and wait_s <= _PATIENCE_S:
                    heapq.heappush(
                        self.returning,
                        (self.now_s + wait_s, request.key, team, request),
                    )
                else:
                    self.refused[team] += request.cost

    def decide(
        self, vm: FakeVM, request: QuotaRequest, team: str = TEAM
    ) -> Decision:
        """Ask owner after owner until one answers."""
        for _ in range(_MAX_OWNERS_ASKED):
            decision = self._ask_owner(vm, team, request)
            if decision is not None:
                return decision
        return Refused(retry_after_s=1.0)

    def apply(self, terms: QuotaTerms, names: Iterable[str]) -> None:
        """Bring a configuration to some of the VMs."""
        for name in names:
            self.vms[name].shares.apply_limits(
                {TEAM: terms, **self.other_limits}, terms.version, self.now_s
            )

    def restart(self, name: str) -> None:
        """Start a VM anew: it forgets what it lent and granted."""
        self.vms[name] = self._new_vm(name, started_s=self.now_s)

    def wake(self, name: str) -> None:
        """Let a suspended VM go on, which reads first what has arrived."""
        vm = self.vms[name]
        suspended_s = vm.suspended_s
        vm.suspended_s = None
        for asked in vm.inbox:
            self._receive(vm, asked, suspended_s)
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
        shares = LimitShares(own_vm=name, bounds=self.bounds, now_s=started_s)
        shares.apply_vms(self.names, self.vm_count, self.now_s)
        limits = {TEAM: self.terms, **self.other_limits}
        shares.apply_limits(limits, self.terms.version, self.now_s)
        return FakeVM(name=name, shares=shares)

    def _ask_for(self, team: str, due: float) -> float:
        """Let callers ask for what is due; return what is due after that."""
        while due > 0:
            cost = float(self.rng.randint(_MIN_COST, _MAX_COST))
            due -= cost
            if team == TEAM:
                self.asked += cost
            self.next_key += 1
            request = QuotaRequest(
                cost=cost, key=self.next_key, patience_s=_PATIENCE_S
            )
            self.ask(self._any_vm(), request, team=team)
        return due

    def _any_vm(self) -> FakeVM:
        return self.rng.choice(running_vms(self.vms))

    def _let_callers_return(self) -> None:
        while self.returning and self.returning[0][0] <= self.now_s:
            _, _, team, request = heapq.heappop(self.returning)
            self.ask(self._any_vm(), request, team=team, is_first=False)

    def _renew_leases(self) -> None:
        for vm in running_vms(self.vms):
            for step in plan_renewal(vm.shares, vm.partition, self.now_s):
                self._take_step(vm, step)

    def _take_step(self, vm: FakeVM, step: RenewalStep) -> None:
        match step:
            case ProbeVM(vm=silent):
                self._send(vm, silent)
            case LeaveOwner(owner=left):
                self._leave(vm, left)
            case RenewLease():
                self._ask_owner(vm, '', _NOTHING)

    def _leave(self, vm: FakeVM, owner: str) -> None:
        is_released = self._send(vm, owner)
        if is_released:
            self.vms[owner].owner.release(vm.name, self.now_s)
        vm.lender.record_release(owner, is_released=is_released)

    def _ask_owner(
        self, vm: FakeVM, team: str, request: QuotaRequest
    ) -> Decision | None:
        """Lend to the owner, and return what it decides, None without it."""
        name = vm.shares.choose_owner(vm.partition)
        asked = AskedGrant(
            vm=vm.name,
            offered=vm.shares.offer(vm.partition, name, self.now_s),
            team=team,
            request=request,
            terms=vm.shares.limits.get(team or TEAM, self.terms),
        )
        target = self.vms[name]
        if target.suspended_s is not None and target.island == vm.island:
            target.inbox.append(attrs.evolve(asked, team=''))
        if not self._send(vm, name):
            return None
        return self._receive(target, asked, self.now_s)

    def _receive(
        self, target: FakeVM, asked: AskedGrant, received_s: float
    ) -> Decision:
        decision = target.shares.decide(
            target.partition, asked, self.now_s, received_s=received_s
        )
        return Granted() if decision is None else decision

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


def running_vms(vms: Mapping[str, FakeVM]) -> list[FakeVM]:
    """Return the VMs that are up and not suspended."""
    return [vm for vm in vms.values() if vm.is_up and vm.suspended_s is None]


def highest_allowed(terms: QuotaTerms = TERMS) -> float:
    """Return the bound on what is granted in a window."""
    limit = terms.rate_per_s * BOUNDS.window_s + terms.burst
    return limit * (1 + BOUNDS.overshoot) + BOUNDS.slack
