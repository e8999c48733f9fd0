"""Check that a status that is none makes no answer, at both edges."""

import aiohttp
import pytest

from arbutusbay.backend import EngineClient, ServiceCall
from arbutusbay.errors import RunState
from arbutusbay.http import new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.responses import fetch_whole
from emulator.raw_response import Framing, build_response
from tests.builders import build_generation
from tests.raw_servers import RawServer, running_raw_server
from tests.unit.test_service_calls import build_caller

_LIMIT_S = 2.0
_LIMIT_BYTES = 1000
_SOUND = build_response(Framing.LENGTH, b'sound')

each_status = pytest.mark.parametrize(
    'status',
    [
        *('000', '0', '00', '099', '99', '0200'),
        *('100', '101', '102', '103', '150', '199'),
        *('600', '700', '999', '1000', '2000'),
        *('-1', '-200', '+200', '2 00', '200x', 'abc', '', '٢٠٠'),
    ],
)


def server_with(status: str) -> RawServer:
    """Return a server that answers with ``status``."""
    return RawServer(
        response=build_response(Framing.LENGTH, b'{}', status=status)
    )


# Guards against such an answer that counts as whole, or raises an exception
# that nobody expects.
@each_status
@pytest.mark.parametrize(
    'open_session', [new_client_session, create_client_session]
)
async def test_it_is_no_response(open_session, status):
    timeout = aiohttp.ClientTimeout(total=_LIMIT_S)
    async with (
        running_raw_server(server_with(status)) as server,
        open_session() as session,
    ):
        call = session.post(server.url, data=b'{}', timeout=timeout)
        missing = (await fetch_whole(call, _LIMIT_BYTES)).unwrap_err()
    assert missing.is_sent


@pytest.mark.parametrize('status', ['200', '299', '404', '599'])
async def test_status_of_a_class_makes_an_answer(status):
    async with (
        running_raw_server(server_with(status)) as server,
        new_client_session() as session,
    ):
        call = session.post(server.url, data=b'{}')
        fetched = (await fetch_whole(call, _LIMIT_BYTES)).unwrap()
    assert fetched.status == int(status)


# Guards against an order that counts as answered or as not run, and against a
# lookup that does not go on elsewhere.
@each_status
@pytest.mark.parametrize('may_repeat', [False, True])
async def test_call_of_our_own_interface(status, may_repeat):
    odd = server_with(status)
    sound = RawServer(response=_SOUND)
    call = ServiceCall(
        method='POST', path='/', headers={}, body=b'{}', timeout_s=_LIMIT_S
    )
    async with (
        running_raw_server(odd),
        running_raw_server(sound),
        new_client_session(reuse_connections=False) as session,
    ):
        caller = build_caller(session, [odd.url, sound.url])
        send = (
            caller.send_idempotent if may_repeat else caller.send_non_idempotent
        )
        answer = await send('stock', call)
    if may_repeat:
        assert answer.unwrap().body == b'sound'
    else:
        failure = answer.unwrap_err()
        assert failure.effective_run_state is RunState.UNKNOWN


# Guards against a completion that counts as not run behind such a status.
@each_status
async def test_completion(status):
    async with (
        running_raw_server(server_with(status)) as server,
        new_client_session(reuse_connections=False) as session,
    ):
        client = EngineClient(session=session, url=server.url)
        events = [event async for event in client.generate(build_generation())]
    failure = events[-1].unwrap_err()
    assert failure.effective_run_state is RunState.UNKNOWN
