"""Check what a router refuses while it stops."""

import asyncio
import time

import attrs
import pytest

from arbutusbay.backend import ServiceCall
from arbutusbay.errors import ErrorKind, RunState
from arbutusbay.http import new_client_session
from arbutusbay.planned_stop import plan_drain
from arbutusbay.policy import EngineState, Job
from arbutusbay.router._dispatcher import Dispatcher, JobContext
from arbutusbay.router._service_calls import ServiceCaller
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState, ServiceState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import Urgency

_POOL = 'language'
_FAR_S = 60.0
_NOTICE_S = 1.0
_LIMIT_S = 10.0


@pytest.fixture
def shared_state() -> RouterState:
    """Return a router with one engine and one service."""
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='zone-a')
    state = RouterState(settings=RouterSettings(node=node))
    state.engines['one'] = EngineState(
        name='one',
        url='http://one',
        zone='zone-a',
        pool=_POOL,
        slots=1,
        weights_version='v1',
    )
    state.services['desk'] = ServiceState(
        name='desk', url='http://127.0.0.1:1', zone='zone-a', pool='desk'
    )
    return state


def begin_stop(shared_state: RouterState, ago_s: float) -> None:
    """Let the stop of the router have begun a while ago."""
    shared_state.stop = plan_drain(
        time.monotonic() - ago_s, notice_s=_NOTICE_S, limit_s=_LIMIT_S
    )


def build_job(name: str, received_ago_s: float = 0) -> Job:
    """Return a job that has much time."""
    moment_s = time.monotonic()
    return Job(
        id=name,
        team='till-rolls',
        route='chat',
        pool=_POOL,
        urgency=Urgency.NORMAL,
        hashes=(),
        block_tokens=16,
        prompt_tokens=100,
        max_tokens=10,
        arrived_s=moment_s - received_ago_s,
        deadline_s=moment_s + _FAR_S,
        received_s=moment_s - received_ago_s,
    )


def build_context() -> JobContext:
    """Return the context of a job that has not run."""
    return JobContext(depths={}, affinity_key='key')


async def call_desk(shared_state: RouterState, timeout_s: float):
    """Return the failure of a call to a service at which nobody listens."""
    call = ServiceCall(
        method='POST', path='/', headers={}, body=b'', timeout_s=timeout_s
    )
    async with new_client_session(reuse_connections=False) as session:
        caller = ServiceCaller(shared_state=shared_state, session=session)
        answer = await caller.send_non_idempotent('desk', call)
    return answer.unwrap_err()


# Guards against a call that is sent late in a stop and cut at its end.
async def test_late_call_is_refused_as_not_run(shared_state):
    begin_stop(shared_state, ago_s=_NOTICE_S + 1)
    failure = await call_desk(shared_state, timeout_s=_FAR_S)
    assert failure.kind is ErrorKind.DRAINING
    assert failure.effective_run_state is RunState.NOT_RUN


# Guards against the refusal of calls that will be answered in time.
@pytest.mark.parametrize(
    ('ago_s', 'timeout_s'), [(0.1, _FAR_S), (_NOTICE_S + 1, 1.0)]
)
async def test_call_that_has_time_enough_is_sent(
    shared_state, ago_s, timeout_s
):
    begin_stop(shared_state, ago_s=ago_s)
    failure = await call_desk(shared_state, timeout_s=timeout_s)
    assert failure.kind is ErrorKind.NO_BACKEND_SERVER


# Guards against completions that wait in the queue until the router ends.
async def test_waiting_completion_is_refused_once_its_start_is_too_late(
    shared_state,
):
    dispatcher = Dispatcher(shared_state=shared_state)
    running = []
    while True:
        task = asyncio.create_task(
            dispatcher.place(build_job(f'{len(running)}'), build_context())
        )
        await asyncio.sleep(0.05)
        if not task.done():
            break
        running.append(task.result().unwrap())
    begin_stop(shared_state, ago_s=_NOTICE_S / 2)
    await asyncio.sleep(0.1)
    assert task.done() is False
    shared_state.stop = attrs.evolve(
        shared_state.stop, requests_end_s=time.monotonic() + 0.1
    )
    failure = (await task).unwrap_err()
    assert failure.kind is ErrorKind.DRAINING
    assert failure.effective_run_state is RunState.NOT_RUN
    assert not len(shared_state.pool_state(_POOL).queue)


# Guards against a running completion that is given up for a place elsewhere, at
# which it would not be sent any more.
async def test_completion_does_not_move_late_in_a_stop(shared_state):
    dispatcher = Dispatcher(shared_state=shared_state)
    context = attrs.evolve(build_context(), weights_version='v1')
    moving = dispatcher.request_move(build_job('early'), context, may_move=True)
    placement = dispatcher.withdraw_move(moving)
    assert placement is not None
    dispatcher.release(placement)
    begin_stop(shared_state, ago_s=_NOTICE_S + _LIMIT_S)
    moving = dispatcher.request_move(build_job('late'), context, may_move=True)
    assert dispatcher.withdraw_move(moving) is None
