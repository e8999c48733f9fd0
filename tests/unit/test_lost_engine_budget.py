"""Check which completions of a lost engine go on within the retry budget."""

import asyncio

import logbook
import pytest

from arbutusbay.http import new_client_session
from arbutusbay.router._dispatcher import Dispatcher
from arbutusbay.router._shared_state import RouterState
from tests.scripted_engines import (
    LIMIT_S,
    ScriptedEngine,
    build_router_state,
    build_run,
    finish,
)

_LOST = 'engine-0'
_OTHER = 'engine-1'
_PIECES_BEFORE_LOSS = 2
_UNDERWAY_S = 0.5
_BEGUN = 26
_WAITING = 4


@pytest.fixture
async def engines():
    """Yield the engine that will be lost, and one that finishes."""
    lost = ScriptedEngine(pieces=_PIECES_BEFORE_LOSS, waiting_pieces=0)
    other = ScriptedEngine()
    await lost.open()
    await other.open()
    yield lost, other
    other.end()


def build_state(lost: ScriptedEngine, other: ScriptedEngine) -> RouterState:
    """Return a router that has not yet heard of the other engine."""
    state = build_router_state({_LOST: lost.url, _OTHER: other.url})
    state.engines[_OTHER].ready = False
    return state


async def lose_engine(lost, state, names: list[str]):
    """Run completions at an engine that is lost; return the last events."""
    dispatcher = Dispatcher(shared_state=state)
    async with (
        new_client_session(reuse_connections=False) as session,
        asyncio.timeout(LIMIT_S),
    ):
        tasks = [
            asyncio.create_task(
                finish(build_run(state, dispatcher, session, name))
            )
            for name in names
        ]
        await asyncio.sleep(_UNDERWAY_S)
        state.engines[_OTHER].ready = True
        lost.end()
        return await asyncio.gather(*tasks)


# Guards against a completion without a piece that is answered 'outcome unknown'
# when its engine is lost, as completions that go on without a token of the
# retry budget had used it up.
async def test_completions_that_go_on_leave_the_budget_to_those_that_wait(
    engines,
):
    lost, other = engines
    names = [f'begun {number}' for number in range(_BEGUN)]
    names += [f'waiting {number}' for number in range(_WAITING)]
    ends = await lose_engine(lost, build_state(lost, other), names)
    failed = {
        name: end.unwrap_err().kind.value
        for name, end in zip(names, ends, strict=True)
        if end.is_err()
    }
    assert not failed


# Guards against a budget that no longer limits how many completions are sent
# once more of those that need it.
async def test_completions_without_a_piece_are_repeated_within_the_budget(
    engines,
):
    lost, other = engines
    state = build_state(lost, other)
    tokens = int(state.retry_budget.tokens)
    names = [f'waiting {number}' for number in range(2 * tokens)]
    with logbook.TestHandler() as log:
        ends = await lose_engine(lost, state, names)
    assert sum(end.is_ok() for end in ends) == tokens
    reasons = [
        record.kwargs['fields']['reason']
        for record in log.records
        if record.message == 'completion not repeated'
    ]
    assert set(reasons) == {'retry_budget'}
    assert len(reasons) == tokens
