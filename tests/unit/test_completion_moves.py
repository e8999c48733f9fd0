"""Check when a completion may leave a silent engine, and what waits for it."""

import asyncio
import time

import attrs
import pytest

from arbutusbay.policy import EngineState, InFlightAttempt, Job
from arbutusbay.router._dispatcher import Dispatcher, JobContext
from arbutusbay.router._event_reader import EventReader
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import Urgency

_POOL = 'language'
_SILENT = 'engine-0'
_OTHER = 'engine-1'
_SLOTS = 2
_WINDOW = 3
_FAR_S = 60.0
_PAUSE_S = 0.7


def build_job(name: str = 'moved') -> Job:
    """Return a short job that has a minute left."""
    moment_s = time.monotonic()
    return Job(
        id=name,
        team='t',
        route='m',
        pool=_POOL,
        urgency=Urgency.NORMAL,
        hashes=(),
        block_tokens=16,
        prompt_tokens=10,
        max_tokens=10,
        arrived_s=moment_s,
        deadline_s=moment_s + _FAR_S,
    )


def build_context(weights_version: str = 'v1') -> JobContext:
    """Return the context of a job that runs at the silent engine."""
    return JobContext(
        depths={},
        affinity_key='key',
        excluded=frozenset((_SILENT,)),
        weights_version=weights_version,
    )


@pytest.fixture
def shared_state() -> RouterState:
    """Return a router with two sound engines."""
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='zone-a')
    state = RouterState(settings=RouterSettings(node=node))
    for name in (_SILENT, _OTHER):
        state.engines[name] = EngineState(
            name=name,
            url=f'http://{name}',
            zone='zone-a',
            pool=_POOL,
            slots=_SLOTS,
            weights_version='v1',
        )
    return state


@pytest.fixture
def dispatcher(shared_state) -> Dispatcher:
    """Return a dispatcher for these engines."""
    return Dispatcher(shared_state=shared_state)


def find_place(dispatcher, context=None, *, may_move: bool = True) -> str:
    """Return the engine that is certain for a job now, or an empty name."""
    moving = dispatcher.request_move(
        build_job(), context or build_context(), may_move=may_move
    )
    placement = dispatcher.withdraw_move(moving)
    if placement is None:
        return ''
    dispatcher.release(placement)
    return placement.engine.name


def occupy(engine, **fields) -> None:
    """Fill the window of an engine with attempts."""
    for number in range(_WINDOW):
        engine.in_flight[f'{number}'] = InFlightAttempt(
            uncached_tokens=1, sent_at_s=time.time(), **fields
        )


# Guards against a move to an engine that can't continue the response.
@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, _OTHER),
        ({'weights_version': 'v2'}, ''),
        ({'weights_version': ''}, ''),
        ({'draining': True}, ''),
        ({'leaving': True}, ''),
        ({'ready': False}, ''),
    ],
)
async def test_job_moves_only_to_engine_that_can_continue_it(
    dispatcher, shared_state, fields, expected
):
    shared_state.engines[_OTHER] = attrs.evolve(
        shared_state.engines[_OTHER], **fields
    )
    assert find_place(dispatcher) == expected


# Guards against a move that ends an attempt and then waits for a place.
async def test_job_moves_only_to_engine_with_a_free_place(
    dispatcher, shared_state
):
    occupy(shared_state.engines[_OTHER])
    assert not find_place(dispatcher)


# Guards against a move from one silent engine to another.
async def test_job_does_not_move_to_engine_that_is_quiet_or_failed(
    dispatcher, shared_state
):
    other = shared_state.engines[_OTHER]
    other.in_flight['quiet'] = InFlightAttempt(
        uncached_tokens=1,
        sent_at_s=time.time(),
        first_token_seen=True,
        awaited_since_s=time.monotonic() - _PAUSE_S,
    )
    assert not find_place(dispatcher)
    other.in_flight['quiet'].awaited_since_s = time.monotonic()
    assert find_place(dispatcher) == _OTHER
    other.record_failure()
    assert not find_place(dispatcher)


# Guards against a completion that stays at a dead engine because a hung stream
# makes the only other engine look silent.
@pytest.mark.parametrize('waited_s', [_PAUSE_S, _FAR_S])
async def test_hung_stream_makes_no_engine_quiet(
    dispatcher, shared_state, waited_s
):
    other = shared_state.engines[_OTHER]
    hung, lively = (
        InFlightAttempt(
            uncached_tokens=1,
            sent_at_s=time.time(),
            first_token_seen=True,
            awaited_since_s=time.monotonic() - awaited_s,
        )
        for awaited_s in (waited_s, 0)
    )
    other.in_flight['hung'] = hung
    assert bool(find_place(dispatcher)) is (waited_s == _FAR_S)
    other.in_flight['lively'] = lively
    assert find_place(dispatcher) == _OTHER


# Guards against an attempt that is ended though the budget is used up. Output
# that is to be continued may do without, as after a broken connection.
async def test_job_without_output_moves_only_with_a_token(
    dispatcher, shared_state
):
    shared_state.retry_budget.tokens = 1
    assert find_place(dispatcher, build_context('')) == _OTHER
    assert not find_place(dispatcher, build_context(''))
    assert find_place(dispatcher) == _OTHER


# Guards against requests that may run once only and are moved all the same.
async def test_job_that_may_not_move_gets_no_place(dispatcher):
    assert not find_place(dispatcher, may_move=False)


# Guards against a place or a search that outlives its request.
async def test_withdrawn_move_leaves_nothing_behind(dispatcher, shared_state):
    other = shared_state.engines[_OTHER]
    occupy(other)
    assert not find_place(dispatcher)
    assert not shared_state.pool_state(_POOL).moving
    other.in_flight.clear()
    assert find_place(dispatcher) == _OTHER
    assert not other.in_flight


# Guards against jobs at lost engines that wait behind all queued ones, and
# against the search for one of them that keeps the others from their places.
async def test_places_go_to_moving_jobs_before_queued_ones(
    dispatcher, shared_state
):
    engines = shared_state.engines
    for engine in engines.values():
        occupy(engine)
    queued = asyncio.create_task(
        dispatcher.place(build_job('queued'), build_context(''))
    )
    await asyncio.sleep(0)
    moving = [
        dispatcher.request_move(
            build_job(version), build_context(version), may_move=True
        )
        for version in ('v2', 'v2', 'v2', 'v2', 'v2', 'v2', 'v1')
    ]
    last = moving[-1].caller_data.placed
    engines[_OTHER].in_flight.pop('0')
    await asyncio.wait_for(last, 1)
    assert last.result().engine.name == _OTHER
    assert not queued.done()
    engines[_OTHER].in_flight.pop('1')
    placed = await asyncio.wait_for(queued, 1)
    assert placed.unwrap().engine.name == _OTHER
    for job in moving:
        dispatcher.withdraw_move(job)


# Guards against refusals of one engine that use up the retry budget, or take
# long, as all completions of a silent engine ask there at once.
async def test_engine_that_has_not_accepted_is_asked_once_at_a_time(
    dispatcher, shared_state
):
    other = shared_state.engines[_OTHER]
    moving = [
        dispatcher.request_move(
            build_job(f'{number}'), build_context(''), may_move=True
        )
        for number in range(_WINDOW)
    ]
    placed = [job.caller_data.placed for job in moving]
    assert [future.done() for future in placed] == [True, False, False]
    other.record_refusal()
    dispatcher.release(placed[0].result())
    assert not placed[1].done()
    other.refuses_until_s = 0.0
    dispatcher.place_waiting(_POOL)
    assert [future.done() for future in placed] == [True, True, False]
    other.record_acceptance(placed[1].result().attempt)
    dispatcher.place_waiting(_POOL)
    assert placed[2].done()
    dispatcher.release(placed[1].result())
    dispatcher.release(placed[2].result())
    assert not other.asked


async def generate(events: asyncio.Queue):
    """Yield the events that are put in a queue, until None."""
    event = await events.get()
    while event is not None:
        yield event
        event = await events.get()


async def generate_nothing(ended: list[bool]):
    """Yield no event; record in ``ended`` when closed."""
    try:
        await asyncio.sleep(_FAR_S)
        yield 'never'
    finally:
        ended.append(True)


# Guards against a wait that ends the response it waits for.
async def test_event_that_is_late_is_not_lost():
    events: asyncio.Queue = asyncio.Queue()
    reader = EventReader(events=generate(events))
    never = asyncio.get_running_loop().create_future()
    assert not await reader.wait(0.05)
    assert not await reader.wait_unless(never, 0.05)
    events.put_nowait('late')
    assert await reader.wait_unless(never, 1)
    assert reader.take() == 'late'
    events.put_nowait(None)
    assert await reader.wait(1)
    assert reader.take() is None
    await reader.aclose()


# Guards against a request that runs on after its attempt was ended.
async def test_closed_reader_has_ended_the_attempt():
    ended: list[bool] = []
    reader = EventReader(events=generate_nothing(ended))
    assert not await reader.wait(0.05)
    await reader.aclose()
    assert ended == [True]


# Guards against a pause of this VM that counts as the silence of an engine.
async def test_own_pause_is_no_silence():
    events: asyncio.Queue = asyncio.Queue()
    reader = EventReader(events=generate(events))
    waiting = asyncio.create_task(reader.wait(_PAUSE_S))
    await asyncio.sleep(0.01)
    time.sleep(2 * _PAUSE_S)
    asyncio.get_running_loop().call_later(0.05, events.put_nowait, 'sent')
    assert await waiting
    await reader.aclose()
