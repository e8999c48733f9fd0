"""Test that our own edge says 'not run' only of calls that did not run."""

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator

import pytest
from result import Ok

from arbutusbay.backend import (
    EngineClient,
    ServiceCall,
    ServiceResponse,
    call_service,
)
from arbutusbay.errors import (
    ERROR_RESPONSES,
    NOT_RUN_STATUSES,
    ErrorKind,
    Failure,
    RunState,
)
from arbutusbay.http import failure_response, new_client_session
from arbutusbay.router._keyed_call import KeyedCall, KeyedCallRunner
from arbutusbay.wire import LedgerReply
from tests.builders import build_generation

_TIME_S = 1.0
_each_status = pytest.mark.parametrize('status', sorted(NOT_RUN_STATUSES))


async def _respond(status: int, reader, writer) -> None:
    """Read a request, run it and answer with ``status``."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(f'HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\nno'.encode())
    await writer.drain()
    writer.close()


@contextlib.asynccontextmanager
async def running_server(status: int) -> AsyncIterator[str]:
    """Yield the URL of a server that answers all calls with ``status``."""
    server = await asyncio.start_server(
        functools.partial(_respond, status), '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'http://{host}:{port}'


def build_call() -> ServiceCall:
    """Return an order."""
    return ServiceCall(
        method='POST', path='/', headers={}, body=b'', timeout_s=_TIME_S
    )


class FinishedLedger:
    """A ledger in which each key has an answer with ``status``."""

    def __init__(self, status: int) -> None:
        """Answer all claims with that outcome."""
        self.status = status

    async def claim(self, key: str, nonce: str, fingerprint: str):
        """Return the recorded outcome."""
        return Ok(
            LedgerReply(
                verdict='finished',
                status=self.status,
                content_type='text/plain',
                body=b'no',
            )
        )


# Guards against an order that has run and whose server's 408, 421, 429 or 503
# reaches the caller, who would place it again.
@_each_status
async def test_status_of_a_service_proves_no_refusal(status):
    async with running_server(status) as url:
        async with new_client_session(reuse_connections=False) as session:
            answer = await call_service(session, url, build_call())
    failure = answer.unwrap_err()
    assert failure.effective_run_state is RunState.UNKNOWN
    assert failure_response(failure).status == 502


# Guards against the same by a stored outcome, as earlier versions recorded it.
@_each_status
async def test_stored_outcome_proves_no_refusal(status):
    runner = KeyedCallRunner(ledger=FinishedLedger(status), service_caller=None)
    answer = await runner.run(
        KeyedCall(
            key='k',
            fingerprint='f',
            pool='p',
            call=build_call(),
            may_repeat=False,
            deadline_s=time.monotonic() + _TIME_S,
        )
    )
    failure = answer.unwrap_err()
    assert failure.effective_run_state is RunState.UNKNOWN
    assert failure_response(failure).status == 502


# Guards against a completion that runs at a second engine, as the first one
# failed while it ran it and answered 500.
@pytest.mark.parametrize(
    ('status', 'run_state'),
    [
        (500, RunState.UNKNOWN),
        (408, RunState.UNKNOWN),
        (421, RunState.UNKNOWN),
        (429, RunState.NOT_RUN),
        (503, RunState.NOT_RUN),
    ],
)
async def test_engine_refuses_by_its_protocol_only(status, run_state):
    async with running_server(status) as url:
        async with new_client_session(reuse_connections=False) as session:
            client = EngineClient(session=session, url=url)
            events = [
                event async for event in client.generate(build_generation())
            ]
    failure = events[-1].unwrap_err()
    assert failure.effective_run_state is run_state


# Guards against any kind of failure that says 'not run' by its status of a
# request that may have run, as 'ledger unavailable' did with 503.
@pytest.mark.parametrize('kind', list(ErrorKind))
@pytest.mark.parametrize('run_state', [RunState.UNKNOWN, RunState.RAN, None])
def test_failure_of_a_request_that_may_have_run(kind, run_state):
    failure = Failure(kind=kind, detail='', run_state=run_state)
    is_refusal = failure_response(failure).status in NOT_RUN_STATUSES
    assert not is_refusal or (
        run_state is None
        and ERROR_RESPONSES[kind].run_state is RunState.NOT_RUN
    )
    assert failure.unless_run(may_have_run=True).status not in NOT_RUN_STATUSES


# Guards against a new path that would pass such a status of a service on.
@_each_status
def test_response_to_a_call_that_may_have_run_has_no_such_status(status):
    with pytest.raises(ValueError, match='may have run'):
        ServiceResponse(status=status, content_type='', body=b'')
