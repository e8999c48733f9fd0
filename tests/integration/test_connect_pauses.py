"""Check that a VM does not take its own pause for a server out of reach."""

import asyncio
import signal

import pytest

from tests.fleet_builders import start_single_node, wait_until_ready
from tests.fleet_clients import count_runs, request_service
from tests.slow_connects import full_listener, is_connecting_to
from tests.stopping import start_patient_fleet

_PAUSE_S = 2.0
_TRIALS = 10
_POLL_S = 0.01
_AVOIDED_S = 1.0
_TAIL_BYTES = 3000
_PATHS = ('/order/1', '/look/1')


async def _pause_while_connecting(http, node, server, path: str):
    """Send requests until the VM was stopped while it connects for one.

    Return its attempt id and task. The VM soon gives up a connection, which the
    test may be too late for.
    """
    for number in range(_TRIALS):
        attempt_id = f'waits-{number}'
        task = asyncio.create_task(
            request_service(http, node, attempt_id, path)
        )
        while not task.done() and not is_connecting_to(server.address):
            await asyncio.sleep(_POLL_S)
        node.process.send_signal(signal.SIGSTOP)
        if is_connecting_to(server.address):
            return attempt_id, task
        node.process.send_signal(signal.SIGCONT)
        await task
        await asyncio.sleep(_AVOIDED_S)
    raise AssertionError('never stopped in time')


# Guards against a request that is refused although its server is sound, as the
# VM did not run while its connection was made.
@pytest.mark.parametrize('path', _PATHS)
async def test_own_pause_is_no_failure_to_connect(fleet, http, path):
    nodes = await start_patient_fleet(fleet, http, engines=0, plain=1)
    node = nodes[0]
    server = fleet.engines[0]
    await fleet.stop_engine(server)
    with full_listener(server.address):
        attempt_id, task = await _pause_while_connecting(
            http, node, server, path
        )
    await fleet.resume_engine(server)
    await asyncio.sleep(_PAUSE_S)
    node.process.send_signal(signal.SIGCONT)
    status, text, _ = await task
    assert status == 200, (text, node.log_path.read_text()[-_TAIL_BYTES:])
    assert count_runs(fleet, attempt_id) == 1


# Guards against a mend that waits for a server which is out of reach.
@pytest.mark.parametrize('path', _PATHS)
async def test_server_out_of_reach_is_given_up_without_a_pause(
    fleet, http, path
):
    node = await start_single_node(fleet, engines=0, plain=1)
    await wait_until_ready([node], http)
    server = fleet.engines[0]
    await fleet.stop_engine(server)
    with full_listener(server.address):
        status, _, _ = await request_service(http, node, 'waits', path)
    assert status == 503
    assert count_runs(fleet, 'waits') == 0
