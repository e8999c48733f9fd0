"""Check that a refusal is only believed if it belongs to the attempt.

A faulty engine writes an earlier refusal again on a connection that is used for
another attempt, and runs that attempt. No request that may run only once runs
twice, and none that ran is answered as not run.
"""

import asyncio
import functools

import aiohttp
import attrs
import pytest

from emulator._engine_connections import CopiedId
from emulator.fleet import Fleet, FleetNode
from emulator.fleet_engine import EngineFault, FleetEngine
from tests.fleet_builders import (
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    count_runs,
    request_service,
    request_stream,
)

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_LATER_REQUESTS = 10
_AFTER_REFUSAL_S = 0.5
_REQUESTED_PAUSE_S = 60.0


@attrs.frozen(kw_only=True)
class Call:
    """Describe a kind of request and how often it may run.

    One that may be repeated runs at two servers, and at one of them again.
    """

    path: str
    method: str = 'POST'
    is_stream: bool = True
    max_runs: int = 1

    async def send(
        self, http: aiohttp.ClientSession, node: FleetNode, attempt_id: str
    ) -> int:
        """Send a request; return its status, 0 if the connection closed."""
        send = functools.partial(request_stream, path=self.path)
        if not self.is_stream:
            send = functools.partial(
                request_service, path=self.path, method=self.method
            )
        try:
            return (await send(http, node, attempt_id))[0]
        except aiohttp.ClientError:
            return 0

    def server_of(self, fleet: Fleet) -> FleetEngine:
        """Return the first server for this kind of request."""
        return next(
            server
            for server in fleet.engines
            if bool(server.options.model) is self.is_stream
        )


_ONCE = Call(path='/ask/1')
_RESUMABLE = Call(path='/note/1', max_runs=3)
_ORDER = Call(path='/order/1', is_stream=False)
_LOOKUP = Call(path='/look/1', method='GET', is_stream=False, max_runs=3)
_CALLS = (_ONCE, _RESUMABLE, _ORDER, _LOOKUP)


async def start_node(fleet: Fleet, http, **options) -> FleetNode:
    """Start one VM and wait until it is ready."""
    node = await start_single_node(fleet, **options)
    await wait_until_ready([node], http)
    return node


async def refuse_once(
    call: Call, fleet: Fleet, http, node: FleetNode, attempt_id: str
) -> None:
    """Let the server refuse one request on a connection that stays open."""
    server = call.server_of(fleet)
    server.inject_fault(EngineFault.SHED, 1)
    await call.send(http, node, attempt_id)
    server.inject_fault(EngineFault.NONE, 0)
    # The server is avoided for a moment after a refusal.
    await asyncio.sleep(_AFTER_REFUSAL_S)


def assert_truly_answered(
    call: Call, fleet: Fleet, attempt_id: str, status: int
) -> None:
    """Check that the request did not run too often, or run if refused."""
    runs = count_runs(fleet, attempt_id)
    assert runs <= call.max_runs
    assert not (runs and status in _NOT_RUN_STATUSES)


# Guards against a refusal that is written once more as the second attempt of
# the same request arrives on the connection on which the first was refused: a
# stream that may run once ran twice.
@pytest.mark.parametrize('call', _CALLS)
@pytest.mark.parametrize('copied_id', list(CopiedId))
async def test_copy_of_the_refusal_of_the_same_request(
    fleet, http, call, copied_id
):
    node = await start_node(fleet, http, engines=1, plain=1)
    assert await call.send(http, node, 'before') == 200
    server = call.server_of(fleet)
    server.connections.copied_id = copied_id
    server.inject_fault(EngineFault.MISDIRECT, 1)
    status = await call.send(http, node, 'twice')
    assert_truly_answered(call, fleet, 'twice', status)
    assert count_runs(fleet, 'twice') == 1
    assert status == 200


# Guards against a refusal of another request that is written once more: the
# client was answered 'not run' for a request that ran.
@pytest.mark.parametrize('call', _CALLS)
@pytest.mark.parametrize('copied_id', list(CopiedId))
async def test_copy_of_the_refusal_of_another_request(
    fleet, http, call, copied_id
):
    node = await start_node(fleet, http, engines=1, plain=1)
    server = call.server_of(fleet)
    server.connections.copied_id = copied_id
    await refuse_once(call, fleet, http, node, 'refused')
    status = await call.send(http, node, 'next')
    assert server.connections.copies_written == 1
    assert_truly_answered(call, fleet, 'next', status)
    assert count_runs(fleet, 'refused') == 0
    assert await call.send(http, node, 'after') == 200


# Guards against the same copy where another server could take the request: one
# that may run once must not be sent there.
@pytest.mark.parametrize('call', _CALLS)
@pytest.mark.parametrize('copied_id', list(CopiedId))
async def test_copy_of_a_refusal_beside_another_server(
    fleet, http, call, copied_id
):
    node = await start_node(fleet, http, engines=2, plain=2)
    for server in fleet.engines:
        server.connections.copied_id = copied_id
        server.inject_fault(EngineFault.SHED, 1)
    await call.send(http, node, 'refused')
    for server in fleet.engines:
        server.inject_fault(EngineFault.NONE, 0)
    await asyncio.sleep(_AFTER_REFUSAL_S)
    for number in range(_LATER_REQUESTS):
        attempt_id = f'n{number}'
        status = await call.send(http, node, attempt_id)
        assert_truly_answered(call, fleet, attempt_id, status)
    assert sum(server.connections.copies_written for server in fleet.engines)


# Guards against true refusals that are lost: one without an id on the first
# request of a connection, and those with their own id on any connection.
@pytest.mark.parametrize('call', _CALLS)
@pytest.mark.parametrize(
    ('is_id_hidden', 'is_connection_new'),
    [(True, True), (False, True), (False, False)],
)
async def test_true_refusal_is_passed_on(
    fleet, http, call, is_id_hidden, is_connection_new
):
    node = await start_node(fleet, http, engines=1, plain=1)
    server = call.server_of(fleet)
    server.options.hides_id_in_refusals = is_id_hidden
    if not is_connection_new:
        assert await call.send(http, node, 'before') == 200
    server.inject_fault(EngineFault.SHED, 1)
    assert await call.send(http, node, 'refused') == 503
    assert count_runs(fleet, 'refused') == 0


# Guards against an unknown outcome that is reported as not run: a refusal
# without an id on a connection in use again may be that of another request.
async def test_refusal_without_an_id_on_a_used_connection_proves_nothing(
    fleet, http
):
    node = await start_node(fleet, http, engines=1, plain=1)
    assert await _ORDER.send(http, node, 'before') == 200
    server = _ORDER.server_of(fleet)
    server.options.hides_id_in_refusals = True
    server.inject_fault(EngineFault.SHED, 1)
    assert await _ORDER.send(http, node, 'unproved') == 502


# Guards against a mend that gives up the reuse of connections, which are
# priced: refusals with their own id leave them open.
async def test_connections_are_used_again_after_refusals(fleet, http):
    node = await start_node(fleet, http, engines=1, plain=1)
    server = _ORDER.server_of(fleet)
    for number in range(_LATER_REQUESTS):
        await refuse_once(_ORDER, fleet, http, node, f'refused{number}')
        assert await _ORDER.send(http, node, f'n{number}') == 200
    assert len(server.connections.paths_by_caller) == 1


# Guards against a server that is not left alone although it asked for that,
# because its refusal does not prove which request it belongs to.
async def test_pause_that_an_unproved_refusal_asks_for_is_kept(fleet, http):
    node = await start_node(fleet, http, engines=1, plain=1)
    assert await _ORDER.send(http, node, 'before') == 200
    server = _ORDER.server_of(fleet)
    server.options.hides_id_in_refusals = True
    server.requested_pause_s = _REQUESTED_PAUSE_S
    server.inject_fault(EngineFault.SHED, 1)
    assert await _ORDER.send(http, node, 'unproved') == 502
    status, _, headers = await request_service(http, node, 'later')
    assert status in {429, 503}
    assert 50 < float(headers['Retry-After']) <= _REQUESTED_PAUSE_S
    assert len(server.rejected_at_s) == 1
