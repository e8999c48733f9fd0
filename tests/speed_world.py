"""Let VMs send work to servers of different speeds, in simulated time.

Servers and callers are as simple as can be; all decisions are the product's.
"""

import functools
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from arbutusbay.node._server_speeds import ServerSpeeds
from arbutusbay.scheduling import (
    Attempt,
    EngineView,
    ModelRequestSize,
    Occupancy,
    PlacementContext,
    choose_model_engine,
    choose_plain_server,
)
from arbutusbay.speeds import SpeedReport

SERVICE = 'desk'
MODEL = 'roll-advisor'
ROUTE = 'look'
ZONE = 'plateau'
_BASE_S = 1000.0


def _as_usual(server: 'FakeServer', moment_s: float) -> float:
    return 1.0


@attrs.define(kw_only=True, eq=False)
class FakeServer:
    """Do work in ``slots`` lanes; ``slowdown`` tells how long it takes when."""

    id: str
    speed: float
    slots: int = 6
    places: int = 6
    reported_slowdown: float = 1.0
    incarnation: int = 1
    slowdown: Callable[['FakeServer', float], float] = _as_usual
    free_at: list[float] = attrs.field(factory=list)
    ends: list[float] = attrs.field(factory=list)

    def running(self, moment_s: float) -> int:
        self.ends = [end_s for end_s in self.ends if end_s > moment_s]
        return len(self.ends)

    def execute(self, work_s: float, moment_s: float) -> float:
        """Return when work that takes ``work_s`` at speed 1 is done."""
        lanes = self.free_at or [moment_s for _ in range(self.slots)]
        start_s = max(moment_s, heapq.heappop(lanes))
        factor = self.slowdown(self, start_s) / self.speed
        end_s = start_s + work_s * factor
        heapq.heappush(lanes, end_s)
        self.free_at = lanes
        self.ends.append(end_s)
        return end_s


@attrs.define(kw_only=True, eq=False)
class FakeVM:
    """Hold the state of one VM that decisions read."""

    name: str
    rng: random.Random
    views: dict[str, EngineView]
    speeds: ServerSpeeds = attrs.field(factory=ServerSpeeds)
    peers: list['FakeVM'] = attrs.field(factory=list, repr=False)
    next_report_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class SpeedWorld:
    """Play requests; ``given`` holds the work of each server by second."""

    servers: list[FakeServer]
    vms: list[FakeVM] = attrs.field(repr=False)
    rng: random.Random
    requests_per_s: float
    mean_work_s: float = 0.03
    report_interval_s: float = 0.3
    report_delay_s: float = 0.02
    lost_reports: float = 0.0
    tokens_per_s: float = 0.0
    shares_speeds: bool = True
    moment_s: float = _BASE_S
    events: list = attrs.field(factory=list, repr=False)
    numbers: itertools.count = attrs.field(factory=itertools.count)
    given: dict[int, dict[str, float]] = attrs.field(
        factory=functools.partial(
            defaultdict, functools.partial(defaultdict, float)
        )
    )
    durations: dict[int, list[float]] = attrs.field(
        factory=functools.partial(defaultdict, list)
    )

    def at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.moment_s + delay_s, next(self.numbers), act)
        )

    def run(self, for_s: float) -> None:
        """Play ``for_s`` seconds more."""
        end_s = self.moment_s + for_s
        if not self.events:
            self.at(0, self.arrive)
            for vm in self.vms:
                self.at(
                    self.rng.uniform(0, self.report_interval_s),
                    functools.partial(self.report, vm),
                )
        while self.events[0][0] < end_s:
            due = heapq.heappop(self.events)
            self.moment_s = due[0]
            due[2]()
        self.moment_s = end_s

    def arrive(self) -> None:
        self.at(self.rng.expovariate(self.requests_per_s), self.arrive)
        self.send(self.rng.choice(self.vms))

    def send(self, vm: FakeVM) -> None:
        work_s = self.mean_work_s * self.rng.uniform(0.5, 1.5)
        tokens = int(work_s * self.tokens_per_s)
        view = self.choose(vm, tokens)
        attempt = Attempt(
            sent_s=self.moment_s,
            uncached_tokens=tokens,
            queued_ahead_tokens=view.occupancy.total(
                self.moment_s
            ).uncached_tokens,
        )
        view.occupancy.open_attempt(attempt)
        server = self.server(view.id)
        second = int(self.moment_s - _BASE_S)
        self.given[second][view.id] += work_s
        end_s = server.execute(work_s, self.moment_s)
        self.durations[second].append(end_s - self.moment_s)
        finish = functools.partial(
            self.finish, vm, view, attempt, server.running(self.moment_s)
        )
        self.at(end_s - self.moment_s, finish)

    def finish(
        self, vm: FakeVM, view: EngineView, attempt: Attempt, running: int
    ) -> None:
        view.occupancy.close_attempt(attempt)
        view.record_load(
            running_requests=running,
            slowdown=self.server(view.id).reported_slowdown,
            now_s=self.moment_s,
        )
        vm.speeds.record_load(view)
        if self.tokens_per_s:
            vm.speeds.record_first_event(view, attempt, self.moment_s)
        else:
            vm.speeds.record_call(view, ROUTE, attempt.sent_s, self.moment_s)

    def server(self, server_id: str) -> FakeServer:
        return next(each for each in self.servers if each.id == server_id)

    def choose(self, vm: FakeVM, tokens: int) -> EngineView:
        views = list(vm.views.values())
        vm.speeds.refresh(SERVICE, views, self.moment_s)
        if not tokens:
            return choose_plain_server(
                views, own_zone=ZONE, now_s=self.moment_s, rng=vm.rng
            ).engine
        return choose_model_engine(
            ModelRequestSize(
                prompt_tokens=tokens,
                output_tokens=0,
                shared_prefix_tokens=0,
                affinity_key=str(self.rng.random()),
            ),
            views,
            placement_context=PlacementContext(
                own_zone=ZONE,
                cache_capacity_tokens=0,
                short_prompt_fractions={view.id: 0.5 for view in views},
                prefix_hit_saving=1.0,
                max_queued_tokens=1e9,
                now_s=self.moment_s,
            ),
            rng=vm.rng,
        ).engine

    def report(self, vm: FakeVM) -> None:
        """Send what ``vm`` knows to its peers, of which some miss it."""
        self.at(self.report_interval_s, functools.partial(self.report, vm))
        self.at(
            self.report_delay_s,
            functools.partial(
                self.deliver,
                vm,
                vm.speeds.report(vm.views, self.moment_s),
                {
                    view.id: view.occupancy.local_total()
                    for view in vm.views.values()
                },
            ),
        )

    def deliver(
        self, vm: FakeVM, report: SpeedReport, occupied: dict[str, Occupancy]
    ) -> None:
        for peer in vm.peers:
            if self.rng.random() < self.lost_reports:
                continue
            _apply_occupancy(peer, vm.name, occupied, self.moment_s)
            if self.shares_speeds:
                peer.speeds.merge_report(
                    vm.name, report, peer.views, self.moment_s
                )

    def shares(self, first: int, last: int) -> dict[str, float]:
        """Return the share of the work that each server got in some seconds."""
        totals = {
            server.id: sum(
                self.given[second][server.id] for second in range(first, last)
            )
            for server in self.servers
        }
        return {
            name: total / sum(totals.values()) for name, total in totals.items()
        }

    def fair_shares(self) -> dict[str, float]:
        total = sum(server.speed for server in self.servers)
        return {server.id: server.speed / total for server in self.servers}

    def speeds_at(self, vm: FakeVM) -> dict[str, float]:
        """Return the speeds that ``vm`` assumes now."""
        vm.speeds.refresh(SERVICE, vm.views.values(), self.moment_s)
        return {
            name: view.speed.current_speed for name, view in vm.views.items()
        }


def _apply_occupancy(
    peer: FakeVM, sender: str, occupied: dict[str, Occupancy], moment_s: float
) -> None:
    for name, occupancy in occupied.items():
        view = peer.views[name]
        reported = occupancy if occupancy.attempts else None
        if reported or sender in view.occupancy.reports_by_sender:
            view.occupancy.record_report(sender, reported, moment_s)


def build_speed_world(
    speeds: list[float],
    *,
    vms: int,
    load: float = 0.6,
    group: int = 24,
    slots: int = 6,
    places: int = 6,
    **changes,
) -> SpeedWorld:
    """Return VMs that use ``load`` of what the servers can do.

    VMs report to those of their group only.
    """
    servers = [
        FakeServer(id=f'desk-{number}', speed=speed, slots=slots, places=places)
        for number, speed in enumerate(speeds)
    ]
    fleet = [
        FakeVM(
            name=f'vm-{number}',
            rng=random.Random(number),
            views={server.id: build_speed_view(server) for server in servers},
        )
        for number in range(vms)
    ]
    for number, vm in enumerate(fleet):
        first = number - number % group
        vm.peers = [
            peer for peer in fleet[first : first + group] if peer is not vm
        ]
    world = SpeedWorld(
        servers=servers,
        vms=fleet,
        rng=random.Random(vms),
        requests_per_s=1.0,
        **changes,
    )
    world.requests_per_s = load * sum(speeds) * slots / world.mean_work_s
    if world.tokens_per_s:
        for vm in fleet:
            for view in vm.views.values():
                view.weights = {MODEL: 1}
    return world


def build_speed_view(server: FakeServer) -> EngineView:
    return EngineView(
        id=server.id,
        service=SERVICE,
        address='127.0.0.1:1',
        zone=ZONE,
        slots=server.places,
        incarnation=server.incarnation,
    )
