"""Check that queued requests are refused only if they can't be served."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest
from result import Ok

from arbutusbay.admission import ExpectedPlaces, StartEstimate, retry_after_s
from arbutusbay.node import _dispatcher
from arbutusbay.node._dispatcher import Dispatcher
from tests.fleet_fakes import FakeClock
from tests.unit.test_dispatcher import (
    ManyPlacer,
    build_node_state,
    build_request,
    is_refused,
    pass_time,
    place_at,
)

_TURN_S = 0.02
_SILENCE_S = 1.0
_LONG_PROMPT_TOKENS = 30_000
_MAX_PREFILL_S_PER_TOKEN = 0.0001
_TRIED_PER_TURN = 16


class FewPlacer(ManyPlacer):
    """Place two attempts at a time, as one VM of many does."""

    slots = 2
    holding_s = 1.0

    def held_places(self, service) -> ExpectedPlaces:
        """Return the attempts in flight and how long they take."""
        return ExpectedPlaces(
            places=max(1, self.in_flight),
            within_s=self.holding_s,
            is_limit=False,
        )


class ShortPlacer(ManyPlacer):
    """Have places for short prompts only."""

    def find_placement(self, request):
        """Return a placement that fits short prompts."""
        is_short = request.incoming.parsed_headers.prompt_tokens < 100
        placement = super().find_placement(request)
        choice = SimpleNamespace(
            engine=None,
            has_capacity=placement.has_capacity and is_short,
            lacks={},
        )
        return attrs.evolve(placement, choice=choice)


class PausedPlacer(ManyPlacer):
    """Have servers that all asked for a pause."""

    accepted_s = 0.0

    def find_placement(self, request):
        """Return that no server accepts."""

    def next_acceptance_s(self, request) -> float:
        """Return when the first server accepts again."""
        return self.accepted_s


@pytest.fixture
def dispatcher() -> Dispatcher:
    """Return a dispatcher in front of an engine."""
    return Dispatcher(
        node_state=build_node_state(),
        placer=ManyPlacer(),
    )


@pytest.fixture
def clock(monkeypatch) -> FakeClock:
    """Return the clock that the dispatcher reads."""
    fake = FakeClock()
    monkeypatch.setattr(_dispatcher, 'now_s', fake)
    return fake


async def place_sized(
    dispatcher, clock, *, tokens: int = 10, target_latency_s: float = 1.0
) -> asyncio.Task:
    """Return the task of a request with such a prompt and target."""
    request = build_request('sized', received_s=clock.moment_s)
    request.incoming.parsed_headers.prompt_tokens = tokens
    request.incoming.route.target_latency_s = target_latency_s
    task = asyncio.create_task(dispatcher.place(request))
    await asyncio.sleep(0)
    return task


async def free_places(
    dispatcher, clock, *, turns: int, each_s: float, number: int = 1
) -> None:
    """Let ``number`` places come free at the end of each such time."""
    for _ in range(turns):
        await pass_time(dispatcher, clock, seconds=each_s)
        dispatcher.placer.in_flight -= number
        dispatcher.place_waiting()
        await asyncio.sleep(0)


# Guards against a burst of which some are refused as they come or soon after,
# though places for all come free within half of the time that they have: they
# are judged by the places that late requests got, each fourth.
@pytest.mark.parametrize(
    ('late', 'burst', 'each_s'), [(1, 4, 0.24), (1, 6, 0.24), (2, 6, 0.16)]
)
async def test_burst_behind_late_requests_is_served(
    dispatcher, clock, late, burst, each_s
):
    placer = FewPlacer()
    placer.in_flight = placer.slots
    dispatcher.placer = placer
    for _ in range(late):
        await place_sized(dispatcher, clock, target_latency_s=0.4)
    for _ in range(16):
        await place_sized(dispatcher, clock, target_latency_s=0.4)
        await free_places(dispatcher, clock, turns=1, each_s=each_s)
    waiting = len(dispatcher.queues['language'])
    tasks = [
        await place_sized(dispatcher, clock, target_latency_s=0.4)
        for _ in range(burst)
    ]
    await free_places(dispatcher, clock, turns=waiting + burst, each_s=each_s)
    assert not [task for task in tasks if is_refused(task)]


# Guards against refusals as sound engines fall silent for a second, which is no
# trouble: they go on, and all that wait start in time.
@pytest.mark.parametrize('number', [3, 4, 6])
async def test_silence_of_a_second_refuses_nobody(dispatcher, clock, number):
    placer = FewPlacer()
    placer.holding_s = 0.3
    dispatcher.placer = placer
    for index in range(placer.slots):
        await place_at(dispatcher, clock, f'placed{index}')
    tasks = [
        await place_at(dispatcher, clock, f'waiting{index}')
        for index in range(number)
    ]
    await pass_time(dispatcher, clock, seconds=_SILENCE_S)
    await free_places(dispatcher, clock, turns=3, each_s=0.1, number=2)
    assert not [task for task in tasks if is_refused(task)]


# Guards against a long prompt that is refused without a look at the engines,
# which are idle, as its prefill may take as long as its client waits.
async def test_long_prompt_is_placed_at_an_idle_engine(dispatcher, clock):
    dispatcher.node_state.prefill_s_per_token = _MAX_PREFILL_S_PER_TOKEN
    task = await place_sized(dispatcher, clock, tokens=_LONG_PROMPT_TOKENS)
    assert isinstance(task.result(), Ok)


# Guards against a free place that nobody gets, as the first sixteen requests of
# the queue do not fit it.
async def test_free_place_goes_to_a_request_behind_many_that_do_not_fit(
    dispatcher, clock
):
    dispatcher.placer = ShortPlacer()
    for _ in range(_TRIED_PER_TURN):
        await place_sized(dispatcher, clock, tokens=2_000)
    await pass_time(dispatcher, clock, seconds=_TURN_S)
    short = await place_at(dispatcher, clock, 'short')
    await pass_time(dispatcher, clock, seconds=0.1)
    assert short.done()


# Guards against a Retry-After beyond the third of the time that is left, up to
# which clients honour it.
@pytest.mark.parametrize('remaining_s', [0.1, 0.3, 0.5, 3.0])
def test_retry_after_is_honoured(remaining_s):
    estimate = StartEstimate(
        predicted_s=0,
        delay_s=1,
        optimistic_delay_s=1,
        ahead=1,
        places_per_s=1,
        age_s=0,
    )
    after_s = retry_after_s(estimate, remaining_s=remaining_s, spread=0.99)
    assert after_s <= remaining_s / 3


# Guards against a Retry-After before the end of a pause that all servers asked
# for: clients that honour it would only be refused again.
async def test_retry_after_a_pause_of_all_servers_is_its_end(dispatcher, clock):
    placer = PausedPlacer()
    placer.accepted_s = clock.moment_s + 3.0
    dispatcher.placer = placer
    task = await place_at(dispatcher, clock, 'waiting')
    assert task.result().err_value.retry_after_s == pytest.approx(3.0)
