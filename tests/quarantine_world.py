"""Simulate a fleet whose engines end under prompts and for other reasons.

There is no network: VMs exchange reports in memory, late and with losses.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import orjson

from arbutusbay.node._quarantine_messages import (
    quarantine_from_fields,
    quarantine_to_fields,
)
from arbutusbay.quarantine import (
    EngineEnd,
    SegmentKey,
    SegmentQuarantine,
    Suspect,
    segment_key,
)

MODEL = 'model'
FATAL_KEY = segment_key(MODEL, 'fatal')
_UNDERWAY_S = 0.3
_CHECK_S = 0.03
_REPORT_S = 0.1
_EVALUATE_S = 0.1


@attrs.define(kw_only=True)
class WorldOptions:
    """Configure a simulated fleet; rates are per second.

    ``lost_reports`` is the share of reports that are lost. The fatal segment is
    fatal from ``fatal_from_s`` on; before, it is absent or ``was_sound``. Each
    other prompt has one of ``hot_segments`` and one of ``subjects``. The VMs of
    each of ``cut_pairs`` can't reach each other.
    """

    vms: int = 5
    engines: int = 8
    sound_rate: float = 30.0
    fatal_rate: float = 3.0
    hot_segments: int = 3
    subjects: int = 40
    restart_s: float = 3.0
    lost_reports: float = 0.1
    fatal_from_s: float = 5.0
    was_sound: bool = False
    duration_s: float = 25.0
    kill_times_s: tuple[float, ...] = ()
    killed_share: float = 1.0
    cut_pairs: tuple[tuple[int, int], ...] = ()


@attrs.define(kw_only=True, eq=False)
class SimulatedRequest:
    """Represent one request; ``started_s`` is None while it waits."""

    id: str
    vm: int
    keys: tuple[SegmentKey, ...]
    is_fatal: bool
    engine: str = ''
    started_s: float | None = None
    attempts: int = 0


@attrs.define(kw_only=True, eq=False)
class SimulatedEngine:
    """Represent one engine, which has a new incarnation after each end."""

    name: str
    incarnation: int = 0
    is_up: bool = True
    requests: list[SimulatedRequest] = attrs.field(factory=list)

    @property
    def label(self) -> str:
        """Return the name of the incarnation."""
        return f'{self.name}@{self.incarnation}'


class World:
    """Run one history from a seed and record what the engines saw."""

    def __init__(self, seed: int, options: WorldOptions) -> None:
        """Prepare the history of ``seed``."""
        self.rng = random.Random(seed)
        self.options = options
        self.now_s = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.vms = [SegmentQuarantine() for _ in range(options.vms)]
        self.engines = [
            SimulatedEngine(name=f'e{number}')
            for number in range(options.engines)
        ]
        self.fatal_ends_s: list[float] = []
        self.fatal_arrivals_s: list[float] = []
        self.quarantined_sound: set[SegmentKey] = set()
        self.refused_sound = 0
        self.sound = 0

    def run(self) -> None:
        """Play the history to its end."""
        self._schedule_traffic()
        for number in range(self.options.vms):
            self._at(self.rng.random() * _REPORT_S, self._report, number)
            self._at(self.rng.random() * _EVALUATE_S, self._evaluate, number)
        for kill_s in self.options.kill_times_s:
            self._at(kill_s, self._kill)
        while self.events and self.events[0][0] < self.options.duration_s:
            event = heapq.heappop(self.events)
            self.now_s = event[0]
            event[-1]()

    def later_arrivals(self, contact_s: float) -> int:
        """Count fatal arrivals later than ``contact_s`` after the fifth end."""
        if len(self.fatal_ends_s) < 5:
            return 0
        bound_s = self.fatal_ends_s[4] + contact_s
        return sum(moment_s > bound_s for moment_s in self.fatal_arrivals_s)

    def _at(self, moment_s: float, action: Callable[..., None], *args) -> None:
        heapq.heappush(
            self.events,
            (moment_s, next(self.order), lambda: action(*args)),
        )

    def _schedule_traffic(self) -> None:
        options = self.options
        fatal_from_s = 0.0 if options.was_sound else options.fatal_from_s
        for rate, has_fatal_key, from_s in (
            (options.sound_rate, False, 0.0),
            (options.fatal_rate, True, fatal_from_s),
        ):
            moment_s = from_s
            while rate and moment_s < options.duration_s:
                moment_s += self.rng.expovariate(rate)
                self._at(moment_s, self._arrive, has_fatal_key)

    def _arrive(self, has_fatal_key: bool) -> None:
        hot = self.rng.randrange(self.options.hot_segments)
        subject = int(self.options.subjects * self.rng.random() ** 3)
        last = segment_key(MODEL, f's{subject}')
        is_fatal = has_fatal_key and self.now_s >= self.options.fatal_from_s
        request = SimulatedRequest(
            id=f'r{next(self.order)}',
            vm=self.rng.randrange(self.options.vms),
            keys=(
                segment_key(MODEL, f'hot{hot}'),
                FATAL_KEY if has_fatal_key else last,
            ),
            is_fatal=is_fatal,
        )
        self.sound += not is_fatal
        self._send(request)

    def _send(self, request: SimulatedRequest) -> None:
        quarantine = self.vms[request.vm]
        if quarantine.find_withheld(request.keys, request.id) is not None:
            self.refused_sound += not request.is_fatal
            return
        running = [engine for engine in self.engines if engine.is_up]
        if not running:
            return
        engine = self.rng.choice(running)
        request.attempts += 1
        request.engine = engine.label
        request.started_s = None
        engine.requests.append(request)
        if request.is_fatal:
            self.fatal_arrivals_s.append(self.now_s)
        wait_s = self.rng.expovariate(20)
        self._at(self.now_s + wait_s, self._start, request, engine.label)

    def _start(self, request: SimulatedRequest, label: str) -> None:
        engine = self._running_engine(label)
        if engine is None or request not in engine.requests:
            return
        request.started_s = self.now_s
        if request.is_fatal:
            self._at(self.now_s + 0.05, self._crash, label)
            return
        duration_s = self.rng.uniform(0.05, 1.0)
        self._at(self.now_s + duration_s, self._finish, request, label)

    def _finish(self, request: SimulatedRequest, label: str) -> None:
        engine = self._running_engine(label)
        if engine is None:
            return
        engine.requests.remove(request)
        self.vms[request.vm].record_answer(
            request.keys,
            request_id=request.id,
            started_s=request.started_s,
            now_s=self.now_s,
        )

    def _running_engine(self, label: str) -> SimulatedEngine | None:
        for engine in self.engines:
            if engine.is_up and engine.label == label:
                return engine
        return None

    def _crash(self, label: str) -> None:
        engine = self._running_engine(label)
        if engine is not None:
            self.fatal_ends_s.append(self.now_s)
            self._end(engine)

    def _kill(self) -> None:
        for engine in self.engines:
            if engine.is_up and self.rng.random() < self.options.killed_share:
                self._end(engine)

    def _end(self, engine: SimulatedEngine) -> None:
        engine.is_up = False
        lost = engine.requests
        engine.requests = []
        for request in lost:
            notice_s = self.now_s + self.rng.uniform(0.001, 0.01)
            self._at(
                notice_s + _CHECK_S,
                self._notice,
                request,
                engine.label,
                notice_s,
            )
        restart_s = self.options.restart_s * self.rng.uniform(0.8, 1.2)
        self._at(self.now_s + restart_s, self._restart, engine)

    def _restart(self, engine: SimulatedEngine) -> None:
        engine.incarnation += 1
        engine.is_up = True

    def _notice(
        self, request: SimulatedRequest, label: str, notice_s: float
    ) -> None:
        """Let a VM see a broken connection; repeat the request if it may."""
        started_s = request.started_s
        if started_s is not None and notice_s - started_s > _UNDERWAY_S:
            return
        quarantine = self.vms[request.vm]
        quarantine.record_end(
            label,
            EngineEnd(
                ended_s=notice_s,
                suspects={
                    key: Suspect(depth=depth, is_starting=started_s is not None)
                    for depth, key in enumerate(request.keys)
                },
            ),
        )
        if request.attempts < 2 and quarantine.may_retry(
            request.keys, self.now_s
        ):
            self._send(request)

    def _report(self, number: int) -> None:
        report = orjson.dumps(
            quarantine_to_fields(
                self.vms[number].report(self.now_s), self.now_s
            )
        )
        cut_pairs = self.options.cut_pairs
        for other in range(self.options.vms):
            is_cut = (min(number, other), max(number, other)) in cut_pairs
            is_lost = is_cut or self.rng.random() < self.options.lost_reports
            if other != number and not is_lost:
                self._at(
                    self.now_s + self.rng.uniform(0.002, 0.02),
                    self._receive,
                    other,
                    f'vm-{number}',
                    report,
                )
        self._at(self.now_s + _REPORT_S, self._report, number)

    def _receive(self, number: int, reporter: str, report: bytes) -> None:
        received = quarantine_from_fields(orjson.loads(report), self.now_s)
        self.vms[number].merge_report(reporter, received, self.now_s)

    def _evaluate(self, number: int) -> None:
        quarantine = self.vms[number]
        quarantine.evaluate(self.now_s, {})
        found = quarantine.table.quarantined - {FATAL_KEY}
        self.quarantined_sound |= found
        self._at(self.now_s + _EVALUATE_S, self._evaluate, number)
