"""Check the fair order of a fleet whose VMs share too few places.

Each VM orders its own requests and knows what waits at others by reports that
come late or are lost.
"""

import random
from collections import Counter, deque

import attrs
import pytest

from arbutusbay.fairness import FleetQueues, PlaceOffer
from arbutusbay.scheduling import AdmissionQueue, QueuedRequest

_TURN_S = 0.02
_REPORT_INTERVAL_S = 0.1
_ZONES = 4
_HOLDING_S = 0.8
_TARGET_S = 0.6
_PATIENCE_S = 2.4
_WORK_TOKENS = 1000.0
_SERVICE = 'language'
_ALLOWANCE = 1.1


@attrs.frozen(kw_only=True)
class Kind:
    """Describe the requests that one source sends."""

    team: str
    rate_per_s: float
    priority_level: int = 1
    target_s: float = _TARGET_S
    work_tokens: float = _WORK_TOKENS
    since_s: float = 0.0
    until_s: float = float('inf')


@attrs.define(kw_only=True, eq=False)
class Slot:
    """Hold one place, when it came free and which VM had it last."""

    owner: int
    free_since_s: float = 0.0
    busy_until_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Vm:
    """Hold the queue of one VM and what it knows of others."""

    name: str
    zone: str
    known: FleetQueues
    queue: AdmissionQueue

    def send_place(self, offer: PlaceOffer, now_s: float, draw: float) -> bool:
        """Return whether the VM leaves a place to others."""
        left = self.known.of_service(_SERVICE).left_places
        return left.leaves_place(offer, now_s, draw)


def build_vm(number: int) -> Vm:
    """Return a VM that knows of no other."""
    known = FleetQueues()
    service = known.of_service(_SERVICE)
    queue = AdmissionQueue(
        service=_SERVICE, team_work=service.team_work, allowance=_ALLOWANCE
    )
    service.queue = queue
    return Vm(
        name=f'vm-{number}',
        zone=f'zone-{number % _ZONES}',
        known=known,
        queue=queue,
    )


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """Play VMs that share slots; each sees its own free ones first.

    A report of a VM arrives ``report_delay_s`` later and is lost with the
    probability ``loss``. A free slot is seen by other VMs after that delay.
    """

    vms: list[Vm]
    slots: list[Slot]
    kinds: list[Kind]
    rng: random.Random
    report_delay_s: float = 0.1
    loss: float = 0.0
    skew: float = 1.0
    now_s: float = 0.0
    sent: Counter = attrs.field(factory=Counter)
    served: Counter = attrs.field(factory=Counter)
    on_time: Counter = attrs.field(factory=Counter)
    idle_s: float = 0.0
    mail: deque = attrs.field(factory=deque)

    def run(self, seconds: float) -> None:
        """Play all turns."""
        next_report_s = 0.0
        while self.now_s < seconds:
            self.now_s += _TURN_S
            self._send_requests()
            self._deliver()
            for number in self.rng.sample(range(len(self.vms)), len(self.vms)):
                self._take_turn(number)
            self._count_idle()
            if self.now_s >= next_report_s:
                next_report_s = self.now_s + _REPORT_INTERVAL_S
                self._report()

    def share(self, kind: Kind) -> float:
        """Return which share of the requests of a kind was served."""
        return self.served[kind] / max(1, self.sent[kind])

    def _send_requests(self) -> None:
        for kind in self.kinds:
            if not kind.since_s <= self.now_s < kind.until_s:
                continue
            for _ in range(_draw(self.rng, kind.rate_per_s)):
                self._vm_for(kind).queue.push(
                    build_request(kind, self.now_s, self.rng)
                )
                self.sent[kind] += 1

    def _vm_for(self, kind: Kind) -> Vm:
        """Return the VM that a client chooses, all alike at a skew of 1."""
        share = self.rng.random() ** self.skew
        return self.vms[int(share * len(self.vms))]

    def _take_turn(self, number: int) -> None:
        vm = self.vms[number]
        queue = vm.queue
        if not queue:
            return
        queue.begin_turn(self.now_s)
        for slot in self._free_slots(number):
            if not queue or not self._place(vm, slot, number):
                break
        for request, estimate in queue.estimates(self.now_s):
            if not estimate.is_in_time(request.latest_start_s):
                queue.remove(request, was_placed=False)
        queue.record_waiting(self.now_s)

    def _free_slots(self, number: int) -> list[Slot]:
        return [
            slot
            for slot in self.slots
            if slot.busy_until_s <= self.now_s
            and (
                slot.owner == number
                or slot.busy_until_s + self.report_delay_s <= self.now_s
            )
        ]

    def _place(self, vm: Vm, slot: Slot, number: int) -> bool:
        first = next(vm.queue.in_service_order(self.now_s))
        known = vm.known.of_service(_SERVICE)
        if known.has_waiting_elsewhere(self.now_s):
            offer = PlaceOffer(
                rank=vm.queue.rank_of(first, self.now_s),
                vms=len(self.vms),
            )
            is_floor = vm.queue.is_on_floor(first, self.now_s)
            if not is_floor and vm.send_place(
                offer, self.now_s, self.rng.random()
            ):
                return False
        vm.queue.record_place(first, self.now_s)
        vm.queue.remove(first, was_placed=True)
        known.left_places.record_start(self.now_s)
        self.served[first.kind] += 1
        self.on_time[first.kind] += first.can_meet_target(self.now_s)
        slot.owner = number
        holding_s = self.rng.uniform(0.5, 1.5) * _HOLDING_S
        slot.busy_until_s = self.now_s + holding_s
        return True

    def _count_idle(self) -> None:
        """Count the time for which slots are free though requests wait."""
        waiting = sum(len(vm.queue) for vm in self.vms)
        free = sum(slot.busy_until_s <= self.now_s for slot in self.slots)
        self.idle_s += min(waiting, free) * _TURN_S

    def _report(self) -> None:
        """Send the report of each VM to its zone, and zones' totals to all."""
        by_zone: dict[str, list[Vm]] = {}
        for vm in self.vms:
            by_zone.setdefault(vm.zone, []).append(vm)
        for vm in self.vms:
            report = vm.known.report(self.now_s)
            self._send(vm.name, report, by_zone[vm.zone])
        for zone, members in by_zone.items():
            names = {vm.name for vm in members}
            report = members[0].known.zone_report(names, self.now_s)
            others = [vm for vm in self.vms if vm.zone != zone]
            self._send(zone, report, others)

    def _send(self, sender: str, report, receivers: list[Vm]) -> None:
        arrives_s = self.now_s + self.report_delay_s
        for vm in receivers:
            if vm.name != sender and self.rng.random() >= self.loss:
                self.mail.append((arrives_s, vm, sender, report))

    def _deliver(self) -> None:
        while self.mail and self.mail[0][0] <= self.now_s:
            _, vm, sender, report = self.mail.popleft()
            vm.known.record(sender, report, self.now_s)


@attrs.define(kw_only=True, eq=False)
class SentRequest(QueuedRequest):
    """Hold a request and its kind."""

    kind: Kind


def build_request(kind: Kind, now_s: float, rng) -> SentRequest:
    """Return a request that comes now."""
    return SentRequest(
        kind=kind,
        team=kind.team,
        priority_level=kind.priority_level,
        weighted_work=kind.work_tokens * rng.uniform(0.5, 1.5),
        arrived_s=now_s,
        first_event_due_s=now_s + kind.target_s,
        deadline_s=now_s + 2 * _PATIENCE_S,
        latest_start_s=now_s + _PATIENCE_S - 0.3,
        service_s=0.05,
    )


def _draw(rng: random.Random, rate: float) -> int:
    """Return how many events of a Poisson process lie in one turn."""
    count = 0
    elapsed_s = rng.expovariate(rate)
    while elapsed_s < _TURN_S:
        count += 1
        elapsed_s += rng.expovariate(rate)
    return count


def build_fleet(
    vms: int, places_per_s: float, kinds: list[Kind], **options
) -> Fleet:
    """Return a fleet whose slots start ``places_per_s`` requests."""
    number = round(places_per_s * _HOLDING_S)
    return Fleet(
        vms=[build_vm(index) for index in range(vms)],
        slots=[Slot(owner=index % vms) for index in range(number)],
        kinds=kinds,
        rng=random.Random(f'{vms} {options}'),
        **options,
    )


def play_flood(vms: int, factor: float, **options) -> Fleet:
    """Play sixteen teams, of which one sends ``factor`` times its usual."""
    rate_per_s = 10 * vms**0.6 + 50
    teams = [
        Kind(team=f'team-{number}', rate_per_s=rate_per_s / 16)
        for number in range(16)
    ]
    flood = Kind(
        team='team-0',
        rate_per_s=rate_per_s / 16 * max(0.001, factor - 1),
        since_s=2,
        until_s=9,
    )
    fleet = build_fleet(vms, 0.8 * rate_per_s, [*teams, flood], **options)
    fleet.run(10)
    return fleet


def others_share(fleet: Fleet) -> float:
    """Return which share of the other teams' requests was served."""
    others = [kind for kind in fleet.kinds if kind.team != 'team-0']
    return sum(fleet.served[kind] for kind in others) / sum(
        fleet.sent[kind] for kind in others
    )


# Load: one team sends five times its usual for 7 s, sixteen teams, places for
# 0.8 of the usual demand. The others are served as without it.
@pytest.mark.parametrize(
    ('vms', 'options'),
    [
        (1, {}),
        (13, {}),
        (13, {'report_delay_s': 2.0}),
        (13, {'report_delay_s': 0.5, 'loss': 0.5}),
        (141, {}),
    ],
)
def test_flood_of_one_team_takes_nothing_from_others(vms, options):
    usual = play_flood(vms, 1, **options)
    flooded = play_flood(vms, 5, **options)
    assert others_share(flooded) >= others_share(usual) - 0.05
    # Who sends more is not starved either.
    team = [kind for kind in flooded.kinds if kind.team == 'team-0']
    served = sum(flooded.served[kind] for kind in team)
    sent = sum(flooded.sent[kind] for kind in team)
    total = sum(flooded.served.values()) / sum(flooded.sent.values())
    assert served / sent >= total / 4


def play_urgent(
    vms: int, *, urgent_share: float, places: float, **options
) -> tuple[Fleet, Kind, Kind]:
    """Play an urgent kind of request beside a less urgent one."""
    rate_per_s = 10 * vms**0.6 + 50
    urgent = Kind(
        team='team-0',
        rate_per_s=rate_per_s * urgent_share,
        priority_level=0,
        target_s=0.25,
    )
    normal = Kind(team='team-0', rate_per_s=rate_per_s * (1 - urgent_share))
    fleet = build_fleet(vms, places * rate_per_s, [urgent, normal], **options)
    fleet.run(10)
    return fleet, urgent, normal


# Load: places for 0.6 of the demand, of which a fifth is urgent with a short
# target. The urgent are served, also where they wait at other VMs than those
# with a free place, and reports come late.
@pytest.mark.parametrize(
    ('vms', 'options', 'least'),
    [
        (1, {}, 0.95),
        (13, {}, 0.9),
        (13, {'report_delay_s': 1.0, 'loss': 0.3}, 0.85),
        (141, {}, 0.7),
    ],
)
def test_urgent_requests_go_before_less_urgent_ones(vms, options, least):
    fleet, urgent, normal = play_urgent(
        vms, urgent_share=0.2, places=0.6, **options
    )
    assert fleet.share(urgent) >= least
    assert fleet.share(urgent) >= fleet.share(normal) + 0.1


# Load: urgent requests alone want all places. The less urgent get a floor.
@pytest.mark.parametrize('vms', [1, 13])
def test_less_urgent_requests_are_not_starved(vms):
    fleet, urgent, normal = play_urgent(vms, urgent_share=0.6, places=0.55)
    total = sum(fleet.served.values()) / sum(fleet.sent.values())
    assert fleet.share(normal) >= total / 4
    assert fleet.share(urgent) >= fleet.share(normal) - 0.05


# Load: places for 0.8 of the demand. Each team sends a tenth of large prompts,
# and one team sends only such. Neither are starved.
@pytest.mark.parametrize('vms', [1, 13])
def test_large_prompts_and_their_team_are_not_starved(vms):
    rate_per_s = 10 * vms**0.6 + 50
    small = [
        Kind(team=f'team-{number}', rate_per_s=rate_per_s / 16 * 0.9)
        for number in range(15)
    ]
    large = [
        attrs.evolve(
            kind, rate_per_s=rate_per_s / 160, work_tokens=8 * _WORK_TOKENS
        )
        for kind in small
    ]
    heavy = Kind(
        team='heavy', rate_per_s=rate_per_s / 16, work_tokens=4 * _WORK_TOKENS
    )
    fleet = build_fleet(vms, 0.8 * rate_per_s, [*small, *large, heavy])
    fleet.run(10)
    total = sum(fleet.served.values()) / sum(fleet.sent.values())
    share = sum(fleet.served[kind] for kind in large) / sum(
        fleet.sent[kind] for kind in large
    )
    assert share >= total / 2
    assert fleet.share(heavy) >= total / 4
