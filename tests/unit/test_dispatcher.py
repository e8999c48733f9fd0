"""Check how queued requests get the capacity that others release."""

import asyncio
import random
from types import SimpleNamespace

import attrs
import pytest
from result import Ok

from arbutusbay.admission import ExpectedPlaces, ReturningPlaces
from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fairness import ExpectedReturns, FleetQueues
from arbutusbay.fleet import TeamSpec
from arbutusbay.node import _dispatcher
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._placement import Placement, PlacementRequest
from arbutusbay.own_pauses import OwnPauses
from arbutusbay.scheduling import Lack
from tests.fleet_fakes import FakeClock

_TURN_S = 0.02
_PATIENCE_S = 2.4
_TIME_TO_DEADLINE_S = 5.0


class SinglePlacer:
    """Place one attempt at a time, as one engine with one slot would."""

    def __init__(self) -> None:
        """Start with the slot free."""
        self.in_flight = 0
        self.committed: list[str] = []
        self.returning: tuple[ReturningPlaces, ...] = ()

    def find_placement(self, request):
        """Return a placement that fits if the slot is free."""
        return Placement(
            choice=SimpleNamespace(
                engine=None,
                has_capacity=self.in_flight == 0,
                lacks={Lack.PLACES: 1},
            ),
            attempt_headers=None,
            attempt=None,
            model='m',
            candidate_count=1,
        )

    def returning_places(self, service) -> tuple:
        """Return when engines are expected back."""
        return self.returning

    def held_places(self, service) -> ExpectedPlaces:
        """Return the attempts in flight, which take a second each."""
        return ExpectedPlaces(
            places=max(1, self.in_flight), within_s=1.0, is_limit=False
        )

    def has_accepting_engine(self, service) -> bool:
        """Return whether the engine is not expected back later."""
        return not self.returning

    def commit(self, request, placement) -> None:
        """Count an attempt in flight."""
        self.in_flight += 1
        self.committed.append(request.incoming.attempt_id)

    def release(self, placement) -> None:
        """Stop counting an attempt in flight."""
        self.in_flight -= 1


class ManyPlacer(SinglePlacer):
    """Place attempts as one engine with many slots would."""

    slots = 16

    def find_placement(self, request):
        """Return a placement that fits if a slot is free."""
        choice = SimpleNamespace(
            engine=None, has_capacity=self.in_flight < self.slots, lacks={}
        )
        return attrs.evolve(super().find_placement(request), choice=choice)


def build_request(
    attempt_id: str,
    *,
    received_s: float | None = None,
    priority: int = 1,
    team: TeamSpec | None = None,
    target: str = '/note/1',
) -> PlacementRequest:
    """Return a request for a model that may wait."""
    received_s = now_s() if received_s is None else received_s
    return PlacementRequest(
        incoming=SimpleNamespace(
            attempt_id=attempt_id,
            team=team,
            method='POST',
            target=target,
            is_model_request=True,
            service=SimpleNamespace(name='language'),
            route=SimpleNamespace(priority=priority, target_latency_s=1.0),
            received_s=received_s,
            deadline_s=received_s + _TIME_TO_DEADLINE_S,
            client_leaves_s=received_s + _PATIENCE_S,
            parsed_headers=SimpleNamespace(
                shared_segments=(), prompt_tokens=10, max_output_tokens=1
            ),
        ),
    )


def build_node_state() -> SimpleNamespace:
    """Return what the dispatcher reads of the state of a VM."""
    return SimpleNamespace(
        prefill_s_per_token=0.00001,
        rng=random.Random(1),
        fleet_queues=FleetQueues(),
        returns=ExpectedReturns(),
        members=SimpleNamespace(live=lambda _: {'vm-1', 'vm-2'}),
        notify_report_changed=lambda: None,
    )


@pytest.fixture
def dispatcher() -> Dispatcher:
    """Return a dispatcher in front of a single slot."""
    return Dispatcher(
        node_state=build_node_state(),
        placer=SinglePlacer(),
    )


@pytest.fixture
def clock(monkeypatch) -> FakeClock:
    """Return the clock that the dispatcher reads."""
    fake = FakeClock()
    monkeypatch.setattr(_dispatcher, 'now_s', fake)
    return fake


async def place_at(dispatcher, clock, attempt_id, **changes):
    """Return the task of a request that comes now."""
    request = build_request(attempt_id, received_s=clock.moment_s, **changes)
    task = asyncio.create_task(dispatcher.place(request))
    await asyncio.sleep(0)
    return task


async def pass_time(dispatcher, clock, *, seconds: float) -> None:
    """Let the turns of the dispatcher follow each other."""
    for _ in range(round(seconds / _TURN_S)):
        clock.moment_s += _TURN_S
        dispatcher.place_waiting()
        dispatcher.decide_on_waiting()
    await asyncio.sleep(0)


async def start_waiting(dispatcher, *attempt_ids):
    """Return the tasks of requests that wait in the queue."""
    tasks = [
        asyncio.create_task(dispatcher.place(build_request(attempt_id)))
        for attempt_id in attempt_ids
    ]
    await asyncio.sleep(0)
    return tasks


# Guards against capacity that is lost to a client that leaves at the moment
# of a release, and against the error that the releasing request got instead.
async def test_slot_does_not_go_to_a_request_that_was_just_cancelled(
    dispatcher,
):
    placed = await dispatcher.place(build_request('first'))
    gone, waiting = await start_waiting(dispatcher, 'gone', 'waiting')
    gone.cancel()
    dispatcher.release(placed.ok_value)
    assert isinstance(await waiting, Ok)
    assert dispatcher.placer.committed == ['first', 'waiting']
    assert dispatcher.placer.in_flight == 1
    with pytest.raises(asyncio.CancelledError):
        await gone


# Guards against an error in the dispatcher for a client that leaves when its
# time in the queue is over.
async def test_cancelled_request_that_has_expired_is_dropped(dispatcher):
    await dispatcher.place(build_request('first'))
    tasks = await start_waiting(dispatcher, 'gone')
    gone = tasks[0]
    queue = dispatcher.queues['language']
    queue.waiting[0].deadline_s = now_s() - 1
    gone.cancel()
    dispatcher.place_waiting()
    assert not queue
    with pytest.raises(asyncio.CancelledError):
        await gone


# Guards against capacity lost to a client that leaves after it was placed.
async def test_slot_of_a_request_cancelled_after_its_placement_is_released(
    dispatcher,
):
    placed = await dispatcher.place(build_request('first'))
    tasks = await start_waiting(dispatcher, 'gone')
    gone = tasks[0]
    dispatcher.release(placed.ok_value)
    gone.cancel()
    with pytest.raises(asyncio.CancelledError):
        await gone
    assert dispatcher.placer.in_flight == 0


# Guards against a prompt that crashes engines and waits for one of them when
# that becomes known.
async def test_queued_request_that_is_refused_does_not_wait_on(dispatcher):
    placed = await dispatcher.place(build_request('first'))
    bad, sound = await start_waiting(dispatcher, 'bad', 'sound')
    failure = Failure(kind=ErrorKind.PROMPT_QUARANTINED, detail='')
    dispatcher.reject_queued(
        lambda incoming: failure if incoming.attempt_id == 'bad' else None
    )
    assert (await bad).err_value is failure
    dispatcher.release(placed.ok_value)
    assert isinstance(await sound, Ok)


# Guards against a request that waits for a place until its client leaves, and
# against a refusal at which its client can't come back in time.
async def test_request_without_a_place_is_refused_while_its_client_waits(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    waiting = await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=0.5)
    assert not waiting.done()
    await pass_time(dispatcher, clock, seconds=1.5)
    failure = waiting.result().err_value
    assert failure.kind is ErrorKind.OVERLOADED
    assert failure.retry_after_s > 0
    assert failure.retry_after_s < _TIME_TO_DEADLINE_S / 3


# Guards against a queue that holds each of many requests for as long as its
# first: whoever is further back is refused sooner.
async def test_requests_that_many_precede_are_refused_first(dispatcher, clock):
    await place_at(dispatcher, clock, 'first')
    waiting = [
        await place_at(dispatcher, clock, f'waiting{number}')
        for number in range(12)
    ]
    await pass_time(dispatcher, clock, seconds=0.3)
    refused = [task.done() for task in waiting]
    assert refused == sorted(refused)
    assert any(refused)
    assert not refused[0]


# Guards against urgent requests that are refused because they came after less
# urgent ones.
async def test_less_urgent_requests_are_refused_first(dispatcher, clock):
    await place_at(dispatcher, clock, 'first')
    normal = [
        await place_at(dispatcher, clock, f'normal{number}')
        for number in range(12)
    ]
    urgent = await place_at(dispatcher, clock, 'urgent', priority=0)
    await pass_time(dispatcher, clock, seconds=0.3)
    assert any(task.done() for task in normal)
    assert not urgent.done()


# Guards against the refusal of requests that an engine would serve in time,
# which is back after a load of weights.
async def test_request_waits_for_an_engine_that_is_back_in_time(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    dispatcher.placer.returning = (
        ReturningPlaces(at_s=clock.moment_s + 1.6, places=2),
    )
    waiting = await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=1.58)
    assert not waiting.done()


# Guards against a refusal with a place free, of a request that was not tried
# because many before it found none.
async def test_request_that_fits_is_placed_rather_than_refused(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    waiting = [
        await place_at(dispatcher, clock, f'waiting{number}')
        for number in range(12)
    ]
    clock.moment_s += 1.0
    dispatcher.placer.in_flight = 0
    dispatcher.decide_on_waiting()
    await asyncio.sleep(0)
    outcomes = [task.result() for task in waiting if task.done()]
    assert sum(isinstance(outcome, Ok) for outcome in outcomes) == 1


# Guards against refusals because of places that no request could get while the
# VM was suspended.
async def test_suspended_vm_refuses_nobody_for_the_time_it_missed(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    waiting = await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=0.1)
    clock.moment_s += 1.2
    await pass_time(dispatcher, clock, seconds=0.1)
    assert not waiting.done()


# Guards against work for a client that leaves before its engine can begin: the
# VM was suspended while the request waited.
async def test_request_is_not_placed_after_its_client_has_left(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    waiting = await place_at(dispatcher, clock, 'waiting')
    clock.moment_s += _PATIENCE_S
    dispatcher.placer.in_flight = 0
    dispatcher.place_waiting()
    await asyncio.sleep(0)
    assert waiting.result().err_value.kind is ErrorKind.OVERLOADED
    assert dispatcher.placer.committed == ['first']


# Guards against a refusal by what was predicted before a pause of this VM: its
# client would not come back for longer than a third of the time that it has.
async def test_request_that_expired_in_a_pause_is_told_a_time_that_it_has(
    dispatcher, clock
):
    await place_at(dispatcher, clock, 'first')
    waiting = await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=1.0)
    deadline_s = clock.moment_s - 1.0 + _TIME_TO_DEADLINE_S
    clock.moment_s += 3.4
    dispatcher.place_waiting()
    await asyncio.sleep(0)
    remaining_s = deadline_s - clock.moment_s
    assert waiting.result().err_value.retry_after_s <= remaining_s / 3


# Guards against a refusal whose log doesn't tell what the engines lacked.
async def test_end_of_a_wait_is_logged_with_what_engines_lacked(
    dispatcher, clock, monkeypatch
):
    lines = []
    log = SimpleNamespace(info=lambda _, fields: lines.append(fields))
    monkeypatch.setattr(_dispatcher, '_LOG', log)
    await place_at(dispatcher, clock, 'first')
    await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=_PATIENCE_S)
    assert lines[-1]['outcome'] == 'refused'
    assert lines[-1]['lacks'] == {'places': 1}


# Guards against the refusal of the last of a few requests that come together,
# as the one place that came free before went to a request that was on time.
@pytest.mark.parametrize('holding_s', [0.5, 0.6, 0.7])
async def test_few_requests_that_come_together_are_served_in_turn(
    dispatcher, clock, holding_s
):
    tasks = [
        await place_at(dispatcher, clock, f'together{number}')
        for number in range(3)
    ]
    for task in tasks:
        assert isinstance(task.result(), Ok)
        await pass_time(dispatcher, clock, seconds=holding_s)
        dispatcher.release(task.result().ok_value)
        await asyncio.sleep(0)


# Guards against refusals that go on after places come free again.
async def test_requests_are_admitted_again_once_places_come_free(
    dispatcher, clock
):
    placed = await place_at(dispatcher, clock, 'first')
    await place_at(dispatcher, clock, 'refused')
    await pass_time(dispatcher, clock, seconds=2.4)
    dispatcher.release(placed.result().ok_value)
    for number in range(20):
        holding = await place_at(dispatcher, clock, f'holding{number}')
        waiting = await place_at(dispatcher, clock, f'waiting{number}')
        await pass_time(dispatcher, clock, seconds=0.1)
        dispatcher.release(holding.result().ok_value)
        await asyncio.sleep(0)
        assert isinstance(waiting.result(), Ok)
        dispatcher.release(waiting.result().ok_value)


def reject_by_quarantine(dispatcher, waiting):
    """Reject all that wait."""
    failure = Failure(kind=ErrorKind.OVERLOADED, detail='quarantined')
    dispatcher.reject_queued(lambda incoming: failure)


def leave_as_client(dispatcher, waiting):
    """Let the client of the request leave."""
    waiting.cancel()


def is_refused(task: asyncio.Task) -> bool:
    """Return whether a request was refused."""
    return task.done() and not isinstance(task.result(), Ok)


async def serve_steadily(dispatcher, clock, number: int):
    """Serve so many requests, each of which waits, at 20 places/s.

    Return the task that has the slot.
    """
    holding = await place_at(dispatcher, clock, 'steady')
    for _ in range(number):
        waiting = await place_at(dispatcher, clock, 'steady')
        await pass_time(dispatcher, clock, seconds=0.04)
        clock.moment_s += 0.01
        dispatcher.release(holding.result().ok_value)
        await asyncio.sleep(0)
        holding = waiting
    return holding


# Guards against the refusal of the first request that has to wait after an idle
# time: the last one before it was not placed, and the idle time counted as a
# time without places.
@pytest.mark.parametrize('end', [leave_as_client, reject_by_quarantine])
async def test_idle_time_after_a_request_that_left_is_no_lack_of_places(
    dispatcher, clock, end
):
    holding = await place_at(dispatcher, clock, 'first')
    last = await place_at(dispatcher, clock, 'last')
    await pass_time(dispatcher, clock, seconds=0.1)
    end(dispatcher, last)
    await asyncio.wait((last,))
    dispatcher.release(holding.result().ok_value)
    await pass_time(dispatcher, clock, seconds=30)
    dispatcher.placer.in_flight = 1
    waiting = await place_at(dispatcher, clock, 'waiting')
    await pass_time(dispatcher, clock, seconds=0.04)
    assert not waiting.done()


# Guards against refusals after a pause of this VM: no place that came free in
# it was seen, and it says nothing about the engines.
async def test_pause_of_the_vm_is_no_lack_of_places(dispatcher, clock):
    pauses = OwnPauses()
    dispatcher.node_state.own_pauses = pauses
    pauses.record_check(clock.moment_s)
    holding = await serve_steadily(dispatcher, clock, 20)
    await place_at(dispatcher, clock, 'paused')
    pauses.record_check(clock.moment_s)
    clock.moment_s += 3.0
    pauses.record_check(clock.moment_s)
    dispatcher.release(holding.result().ok_value)
    await place_at(dispatcher, clock, 'holding')
    waiting = [
        await place_at(dispatcher, clock, f'waiting{number}')
        for number in range(3)
    ]
    assert not any(task.done() for task in waiting)


# Guards against refusals once engines are back from a load of weights, which
# had been expected: places come free at the rate of before.
async def test_expected_load_of_weights_is_no_lack_of_places(dispatcher, clock):
    holding = await serve_steadily(dispatcher, clock, 20)
    load_s = 1.2
    dispatcher.placer.returning = (
        ReturningPlaces(at_s=clock.moment_s + load_s, places=1),
    )
    waiting = [await place_at(dispatcher, clock, 'loading')]
    await pass_time(dispatcher, clock, seconds=load_s)
    dispatcher.placer.returning = ()
    waiting += [
        await place_at(dispatcher, clock, f'waiting{number}')
        for number in range(8)
    ]
    while waiting:
        dispatcher.release(holding.result().ok_value)
        await asyncio.sleep(0)
        assert not any(is_refused(task) for task in waiting)
        holding = next(task for task in waiting if task.done())
        waiting.remove(holding)
        await pass_time(dispatcher, clock, seconds=0.04)
        clock.moment_s += 0.01


# Guards against refusals in a burst that fills all places at once: these come
# free together, after the time that a request takes.
async def test_places_that_were_filled_together_come_free_together(
    dispatcher, clock
):
    placer = ManyPlacer()
    dispatcher.placer = placer
    placed = [
        await place_at(dispatcher, clock, f'placed{number}')
        for number in range(placer.slots)
    ]
    waiting = [
        await place_at(dispatcher, clock, f'waiting{number}')
        for number in range(placer.slots)
    ]
    await pass_time(dispatcher, clock, seconds=0.6)
    for task in placed:
        dispatcher.release(task.result().ok_value)
    await asyncio.sleep(0)
    assert all(isinstance(task.result(), Ok) for task in waiting)


# Guards against the refusal of a request with little time left that an engine
# would answer within it: the slot comes free a moment later.
async def test_request_with_little_time_left_may_wait_a_moment(
    dispatcher, clock
):
    holding = await place_at(dispatcher, clock, 'first')
    request = build_request('brief', received_s=clock.moment_s)
    request.incoming.deadline_s = clock.moment_s + 0.5
    request.incoming.client_leaves_s = request.incoming.deadline_s
    waiting = asyncio.create_task(dispatcher.place(request))
    await asyncio.sleep(0)
    await pass_time(dispatcher, clock, seconds=0.04)
    dispatcher.release(holding.result().ok_value)
    await asyncio.sleep(0)
    assert isinstance(waiting.result(), Ok)
