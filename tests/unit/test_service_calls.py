"""Check what calls to services that are not engines report of their run."""

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import AsyncIterator, Iterator

import attrs
import pytest

from arbutusbay.backend import (
    EngineClient,
    ServiceCall,
    call_service,
)
from arbutusbay.errors import ErrorKind, RunState
from arbutusbay.http import new_client_session
from arbutusbay.router._service_calls import ServiceCaller
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState, ServiceState
from arbutusbay.settings import NodeSettings
from tests.builders import build_generation

_EXTRA_CONNECTIONS = 8
_POOL = 'stock'
_CALL_S = 1.0
_MAX_LATE_S = 0.25
_BREAK_AFTER_S = 0.7


@pytest.fixture
def full_listener_url() -> Iterator[str]:
    """Yield the URL of a listener whose queue of connections is full."""
    with contextlib.ExitStack() as opened:
        listener = opened.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(_EXTRA_CONNECTIONS):
            client = opened.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        host, port = listener.getsockname()
        yield f'http://{host}:{port}'


# Guards against an order that is answered 'outcome unknown', and not sent to
# another server, though its connection was never made.
async def test_connection_that_times_out_did_not_run_the_call(
    full_listener_url,
):
    call = ServiceCall(
        method='POST',
        path='/orders',
        headers={},
        body=b'{}',
        timeout_s=5,
    )
    async with new_client_session(reuse_connections=False) as session:
        answer = await call_service(session, full_listener_url, call)
    failure = answer.unwrap_err()
    assert failure.kind is ErrorKind.NO_BACKEND_SERVER
    assert failure.effective_run_state is RunState.NOT_RUN


def build_lookup() -> ServiceCall:
    """Return a call that may be repeated."""
    return ServiceCall(
        method='GET', path='/', headers={}, body=b'', timeout_s=_CALL_S
    )


def build_caller(session, urls) -> ServiceCaller:
    """Return a caller for a pool of servers that it tries in this order."""
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='zone-a')
    state = RouterState(settings=RouterSettings(node=node))
    for number, url in enumerate(urls):
        state.services[url] = ServiceState(
            name=url, url=url, zone='zone-a', pool=_POOL, in_flight=number
        )
    return ServiceCaller(shared_state=state, session=session)


async def break_off(after_s: float, received, reader, writer) -> None:
    """Read a request and abort its connection after a while."""
    received.append(await reader.readline())
    try:
        await asyncio.sleep(after_s)
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def running_server(
    break_after_s: float, received: list[bytes]
) -> AsyncIterator[str]:
    """Yield the URL of a server that breaks connections off after a while.

    The first line of each request is appended to ``received``.
    """
    server = await asyncio.start_server(
        functools.partial(break_off, break_after_s, received), '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'http://{host}:{port}'


@pytest.fixture
def refusing_url() -> str:
    """Return a URL at which nobody listens."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        host, port = unused.getsockname()
        return f'http://{host}:{port}'


# Guards against 'not run' for a call that one server got, because the next one
# could not be reached.
async def test_call_that_one_server_got_is_not_reported_as_not_run(
    refusing_url,
):
    async with (
        running_server(0, []) as broken_url,
        new_client_session(reuse_connections=False) as session,
    ):
        caller = build_caller(session, [broken_url, refusing_url])
        answer = await caller.send_idempotent(_POOL, build_lookup())
    failure = answer.unwrap_err()
    assert failure.effective_run_state is RunState.UNKNOWN


# Guards against a call that may run once only, and that the HTTP client sends
# again by itself when the connection breaks.
@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE', 'GET'])
async def test_call_whose_connection_breaks_is_sent_once(method):
    received: list[bytes] = []
    call = attrs.evolve(build_lookup(), method=method)
    async with (
        running_server(0, received) as broken_url,
        new_client_session(reuse_connections=False) as session,
    ):
        await call_service(session, broken_url, call)
    assert len(received) == 1


# Guards against a second attempt that gets the time of the whole call again.
async def test_repeated_call_ends_at_its_deadline():
    started_s = time.monotonic()
    async with (
        running_server(_BREAK_AFTER_S, []) as first_url,
        running_server(_BREAK_AFTER_S, []) as second_url,
        new_client_session(reuse_connections=False) as session,
    ):
        caller = build_caller(session, [first_url, second_url])
        answer = await caller.send_idempotent(_POOL, build_lookup())
    duration_s = time.monotonic() - started_s
    assert answer.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
    assert _CALL_S - _MAX_LATE_S < duration_s < _CALL_S + _MAX_LATE_S


# Guards against a completion that is answered 'outcome unknown', and not sent
# to another engine, though its connection was never made.
async def test_connection_that_times_out_did_not_run_the_completion(
    full_listener_url,
):
    async with new_client_session() as session:
        client = EngineClient(session=session, url=full_listener_url)
        events = [event async for event in client.generate(build_generation())]
    run_states = [event.unwrap_err().effective_run_state for event in events]
    assert run_states == [RunState.NOT_RUN]
