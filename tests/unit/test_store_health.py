"""Check that a fleet notices dead stores of KV cache, without network.

Load: 141 VMs that send 80 long prompts/s together, each with a fetch from one
of three stores; reports of VMs arrive after 0.2 s. A dead store delays a fetch
by 0.4 s and answers no call, for which a VM waits 0.25 s.
"""

import collections
import functools
import random

import attrs
import pytest

from arbutusbay.prefixes import StoreHealth

STORES = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')
VMS = 141
REQUESTS_PER_S = 80
STEP_S = 0.05
REPORT_S = 0.2
CALL_TIMEOUT_S = 0.25
DEAD_DELAY_S = 0.4
TOKENS = 2900
READ_S = 0.06


def record_fetch(
    health: StoreHealth, address: str, now_s: float, *, delay_s: float
) -> None:
    """Record a first event that came late by ``delay_s``."""
    health.record_fetch(
        address, tokens=TOKENS, took_s=READ_S + delay_s, now_s=now_s
    )


@attrs.define(kw_only=True)
class Fleet:
    """Send fetches to stores, of which those in ``dead`` answer nothing."""

    vms: list[StoreHealth] = attrs.field(
        factory=lambda: [StoreHealth() for _ in range(VMS)]
    )
    rng: random.Random = attrs.field(factory=lambda: random.Random(3))
    dead: frozenset[str] = frozenset()
    reporters: frozenset[int] = frozenset(range(VMS))
    wait_s: float = 0.0
    now_s: float = 0.0
    delayed: int = 0
    calls: int = 0
    fetches: collections.Counter = attrs.field(factory=collections.Counter)
    events: list = attrs.field(factory=list)

    def play(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            due = [event for event in self.events if event[0] <= self.now_s]
            self.events = [
                event for event in self.events if event[0] > self.now_s
            ]
            for _, act in due:
                act()
            for _ in range(round(REQUESTS_PER_S * STEP_S)):
                self.send(self.rng.choice(self.vms))
            for number, vm in enumerate(self.vms):
                vm.follow(STORES)
                self.check(vm)
                if number in self.reporters:
                    self.report(str(number), vm.found_dead())

    def send(self, vm: StoreHealth) -> None:
        left_out = vm.left_out(self.now_s)
        address = self.rng.choice(STORES)
        if address in left_out:
            return
        self.fetches[address] += 1
        delay_s = self.wait_s * self.rng.random()
        if address in self.dead:
            self.delayed += 1
            delay_s += DEAD_DELAY_S
        self.later(
            delay_s,
            lambda: record_fetch(vm, address, self.now_s, delay_s=delay_s),
        )

    def check(self, vm: StoreHealth) -> None:
        for address in vm.due_checks(self.now_s):
            self.calls += 1
            is_dead = address in self.dead
            self.later(
                CALL_TIMEOUT_S if is_dead else 0,
                functools.partial(
                    vm.record_check, address, has_answered=not is_dead
                ),
            )

    def report(self, sender: str, addresses: tuple[str, ...]) -> None:
        if addresses:
            self.later(REPORT_S, lambda: self.merge(sender, addresses))

    def merge(self, sender: str, addresses: tuple[str, ...]) -> None:
        for vm in self.vms:
            vm.merge(sender, addresses, self.now_s)

    def later(self, delay_s: float, act) -> None:
        self.events.append((self.now_s + delay_s, act))


@pytest.mark.parametrize('dead', [STORES[:1], STORES])
def test_dead_stores_are_left_out_within_two_seconds(dead):
    fleet = Fleet()
    fleet.play(3)
    fleet.dead = frozenset(dead)
    fleet.play(2)
    fleet.delayed = 0
    fleet.play(8)
    assert fleet.delayed == 0
    assert all(vm.left_out(fleet.now_s) == set(dead) for vm in fleet.vms)


def test_store_that_is_back_serves_again_within_three_seconds():
    fleet = Fleet(dead=frozenset(STORES))
    fleet.play(5)
    fleet.dead = frozenset()
    fleet.play(3)
    assert not any(vm.left_out(fleet.now_s) for vm in fleet.vms)
    fleet.fetches.clear()
    fleet.play(1)
    assert fleet.fetches.total() > 0.9 * REQUESTS_PER_S


def test_dead_stores_are_noticed_behind_an_overload():
    fleet = Fleet(wait_s=2.0)
    fleet.play(10)
    fleet.wait_s = 0.2
    fleet.dead = frozenset(STORES)
    fleet.play(2)
    fleet.delayed = 0
    fleet.play(3)
    assert fleet.delayed == 0


# An overload, in which first events come up to 2 s late.
def test_late_first_events_leave_no_store_out_and_cost_few_calls():
    fleet = Fleet(wait_s=2.0)
    fleet.play(10)
    assert fleet.fetches.total() == 10 * REQUESTS_PER_S
    # A call a VM and second, of which all three stores together are one.
    assert fleet.calls < 10 * VMS


def test_few_vms_call_a_dead_store():
    fleet = Fleet(dead=frozenset(STORES[:1]))
    fleet.play(3)
    fleet.calls = 0
    fleet.play(1)
    assert fleet.calls < VMS


def test_vms_find_a_dead_store_also_when_no_report_arrives():
    fleet = Fleet(reporters=frozenset())
    fleet.play(10)
    fleet.dead = frozenset(STORES[:1])
    # Seven fetches a VM from each store.
    fleet.play(7 * VMS * len(STORES) / REQUESTS_PER_S)
    fleet.delayed = 0
    fleet.play(1)
    assert fleet.delayed < 0.1 * REQUESTS_PER_S / len(STORES)


def test_store_is_tried_again_when_its_reporters_are_gone():
    health = StoreHealth()
    health.follow(STORES)
    health.merge('a', STORES[:1], 10.0)
    health.merge('b', STORES[:1], 10.0)
    assert health.left_out(10.5) == {STORES[0]}
    assert not health.left_out(13.0)


def test_one_lost_call_leaves_no_store_out():
    health = StoreHealth()
    health.follow(STORES)
    record_fetch(health, STORES[0], 8.0, delay_s=0)
    record_fetch(health, STORES[0], 10.0, delay_s=1)
    assert health.due_checks(10.0) == [STORES[0]]
    health.record_check(STORES[0], has_answered=False)
    assert not health.left_out(10.3)
    assert health.due_checks(10.3) == [STORES[0]]
    health.record_check(STORES[0], has_answered=True)
    assert not health.left_out(10.4)
    assert not health.found_dead()


def test_report_each_second_of_which_one_is_lost_keeps_a_store_left_out():
    health = StoreHealth()
    health.follow(STORES)
    for step in range(120):
        moment_s = 10 + step / 10
        if step % 20 == 0:
            for sender in 'ab':
                health.merge(sender, STORES, moment_s)
        assert health.left_out(moment_s) == set(STORES)


def test_report_of_others_is_not_passed_on():
    health = StoreHealth()
    health.follow(STORES)
    for sender in 'abc':
        health.merge(sender, STORES, 10.0)
    assert health.left_out(10.1) == set(STORES)
    assert not health.found_dead()


def test_vm_that_is_cut_off_alone_convinces_no_other():
    health = StoreHealth()
    health.follow(STORES)
    for step in range(9):
        health.merge('a', STORES, 10 + step / 10)
        assert not health.left_out(10 + step / 10)


def test_call_that_a_pause_cut_short_says_nothing():
    health = StoreHealth()
    health.follow(STORES)
    record_fetch(health, STORES[0], 8.0, delay_s=0)
    record_fetch(health, STORES[0], 10.0, delay_s=1)
    for moment_s in (10.0, 12.0, 14.0):
        assert health.due_checks(moment_s) == [STORES[0]]
        health.drop_check(STORES[0])
    assert not health.found_dead()


def test_only_configured_stores_are_remembered():
    health = StoreHealth()
    health.follow(STORES)
    for number in range(1000):
        health.merge(f'vm-{number}', [f'10.9.9.{number}:1', STORES[0]], 1.0)
    assert len(health.stores[STORES[0]].reporters) <= 8
    record_fetch(health, '10.9.9.9:1', 1.0, delay_s=9)
    health.record_check('10.9.9.9:1', has_answered=False)
    assert set(health.stores) == set(STORES)
    health.follow(STORES[:1])
    assert set(health.stores) == {STORES[0]}
