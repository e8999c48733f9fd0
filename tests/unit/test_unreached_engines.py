"""Check completions of our own interface whose engines refuse connections."""

import asyncio

import pytest

from arbutusbay.errors import ErrorKind, RunState
from arbutusbay.http import new_client_session
from arbutusbay.router._dispatcher import Dispatcher
from tests.scripted_engines import (
    LIMIT_S,
    ScriptedEngine,
    build_router_state,
    build_run,
    finish,
)

# More than the attempts that a completion may have.
_ENDED = 5


async def build_ended_urls() -> dict[str, str]:
    """Return the URLs of engines that have ended, by name."""
    urls = {}
    for number in range(_ENDED):
        engine = ScriptedEngine()
        await engine.open()
        engine.end()
        urls[f'ended-{number}'] = engine.url
    return urls


async def run_completion(state):
    """Return the last event of one completion."""
    async with (
        new_client_session(reuse_connections=False) as session,
        asyncio.timeout(LIMIT_S),
    ):
        dispatcher = Dispatcher(shared_state=state)
        return await finish(build_run(state, dispatcher, session, 'begun'))


# Guards against a completion that is given up although an engine is there, as
# others that have just ended refused its connections.
@pytest.mark.parametrize('turn', range(4))
async def test_engines_that_have_ended_use_up_no_attempt(turn):
    sound = ScriptedEngine()
    await sound.open()
    urls = {**await build_ended_urls(), f'sound-{turn}': sound.url}
    state = build_router_state(urls)
    state.retry_budget.tokens = 0
    end = await run_completion(state)
    sound.end()
    assert end.is_ok(), end


# Guards against 'outcome unknown' for a completion that was sent to no engine.
async def test_completion_that_was_sent_nowhere_has_not_run():
    failure = (
        await run_completion(build_router_state(await build_ended_urls()))
    ).unwrap_err()
    assert failure.kind is ErrorKind.NO_BACKEND_SERVER
    assert failure.effective_run_state is RunState.NOT_RUN
