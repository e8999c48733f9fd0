"""Check that no status says 'not run' of a request that a server has run.

The server runs the request and answers with such a status, but without the
header that would prove it.
"""

import asyncio
import functools
import itertools
from collections.abc import Collection

import pytest

from emulator.fleet import Fleet, FleetNode
from emulator.fleet_engine import EngineFault, FleetEngine
from emulator.scripted_response import ScriptedResponse
from tests.background_tasks import running
from tests.engine_faults import fail_one_then
from tests.fleet_builders import (
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    count_runs,
    request_service,
    request_stream,
)

_ATTEMPT = 'unproved'
_STATUSES = (408, 429, 503)
_PAUSE_S = 1.0
_LOOKUPS = 6
_each_status = pytest.mark.parametrize('status', _STATUSES)


async def start_servers(fleet: Fleet, http, **counts: int) -> FleetNode:
    """Return a VM before as many engines and plain servers."""
    node = await start_single_node(fleet, **counts)
    await wait_until_ready([node], http)
    return node


def answer_with(
    engine: FleetEngine,
    status: int,
    *,
    times: int = 1,
    pause_s: float | None = None,
) -> None:
    """Let a server run its next requests and answer them with ``status``."""
    response = ScriptedResponse(
        status=status,
        content_type='text/plain',
        body=b'no',
        has_length=True,
        pause_s=pause_s,
    )
    engine.scripted_responses.extend(itertools.repeat(response, times))


def forget_answers(engines: Collection[FleetEngine]) -> None:
    """Let these servers answer soundly, as another one has run a request."""
    for engine in engines:
        engine.scripted_responses.clear()


def has_stamp(headers) -> bool:
    """Return whether the answer is that of a server."""
    return 'Response-Stamp' in headers


# Guards against an order that has run and is answered 408, 429 or 503, as its
# client would place it again, and against the same for a stream that has not
# begun and must not be resumed.
@_each_status
@pytest.mark.parametrize(
    ('counts', 'send'),
    [
        ({'engines': 0, 'plain': 2}, request_service),
        ({'engines': 2, 'plain': 0}, request_stream),
    ],
    ids=['order', 'stream'],
)
async def test_request_that_has_run_is_not_refused(
    fleet, http, counts, send, status
):
    node = await start_servers(fleet, http, **counts)
    for engine in fleet.engines:
        answer_with(engine, status)
    answered, _, headers = await send(http, node, _ATTEMPT)
    assert (answered, has_stamp(headers)) == (502, False)
    assert count_runs(fleet, _ATTEMPT) == 1


# Guards against a lookup that gets such a status, or that is not repeated
# though another server would answer it.
@_each_status
async def test_lookup_is_repeated_elsewhere(fleet, http, status):
    node = await start_servers(fleet, http, engines=0, plain=2)
    for engine in fleet.engines:
        answer_with(engine, status)
        engine.observer.record_fault = functools.partial(
            forget_answers, set(fleet.engines) - {engine}
        )
        engine.inject_fault(EngineFault.NONE, 1)
    answered, _, headers = await request_service(
        http, node, _ATTEMPT, '/look/1', 'GET'
    )
    assert (answered, has_stamp(headers)) == (200, True)
    assert count_runs(fleet, _ATTEMPT) == 2
    assert not any(engine.scripted_responses for engine in fleet.engines)


# Guards against such a status as the answer in hand of a lookup, or of a stream
# that may be resumed, whose repetition is refused.
@pytest.mark.parametrize(
    ('later', 'expected'), [(EngineFault.SHED, 504), (EngineFault.NONE, 502)]
)
async def test_unproved_refusal_is_no_answer_in_hand(
    fleet, http, later, expected
):
    node = await start_servers(fleet, http, engines=0, plain=2)
    for engine in fleet.engines:
        answer_with(engine, 503)
    async with running(fail_one_then(fleet.engines, EngineFault.NONE, later)):
        answered, _, headers = await request_service(
            http, node, _ATTEMPT, '/look/1', 'GET'
        )
    assert (answered, has_stamp(headers)) == (expected, False)


# Guards against the same for a stream that may be resumed at one engine only.
async def test_resumable_stream_without_another_engine_fails(fleet, http):
    node = await start_servers(fleet, http, engines=1, plain=0)
    answer_with(fleet.engines[0], 503, times=9)
    answered, _, headers = await request_stream(http, node, _ATTEMPT, '/note/1')
    assert (answered, has_stamp(headers)) == (502, False)


# Guards against requests that reach a server which has answered 503 with
# Retry-After, as nothing proves that it did not run the first one.
async def test_requested_pause_holds_without_a_proof(fleet, http):
    node = await start_servers(fleet, http, engines=0, plain=1)
    server = fleet.engines[0]
    answer_with(server, 503, pause_s=_PAUSE_S)
    await request_service(http, node, _ATTEMPT)
    for number in range(_LOOKUPS):
        await request_service(http, node, f'look-{number}', '/look/1', 'GET')
    assert len(server.executions) == 1
    await asyncio.sleep(_PAUSE_S)
    answered, _, _ = await request_service(
        http, node, 'later', '/look/1', 'GET'
    )
    assert answered == 200
