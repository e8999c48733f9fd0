"""Show that troubles which operators of similar systems met do not occur.

Each test plays the trouble against real daemons. The others of the list are
shown in test_fleet.py (lost answers), test_fleet_backends.py (bytes without
end) and test_fleet_store.py (hand-over of the rollout).
"""

import asyncio
import signal
import socket
import time
from types import MappingProxyType

import aiohttp

from emulator.fleet import wait_for_condition
from emulator.fleet_engine import EngineFault
from tests.fleet_builders import start_single_node, wait_until_ready
from tests.fleet_clients import (
    all_runs,
    count_runs,
    request_service,
    request_stream,
)
from tests.stopping import LONG_MS, start_patient_fleet

_ROUTE_TIMEOUT_S = 5.0
_SLACK_S = 0.6
_CALLERS = 12
_SLOW_EVENTS = 6
_SLOW_GAP_S = 1.1
_PATIENT = MappingProxyType({'Deadline-Ms': str(LONG_MS)})
_PEER_PORT = 8710
_GARBAGE = (
    b'',
    b'\x00\xff' * 600,
    b'{"n": 5}',
    b'[]',
    b'{"n":"a","z":"b","o":{"x":7},"m":[1]}',
    b'{"n":"a","z":"b","o":{},"m":[1,2],"g":[1],"w":{"x":3}}',
)


async def test_late_second_copy_of_a_response_reaches_no_other_caller(
    fleet, http
):
    node = await start_single_node(fleet, plain=1)
    await wait_until_ready([node], http)
    server = fleet.engines[-1]
    server.options.service_s = 0.2
    server.inject_fault(EngineFault.SECOND_COPY, 1)
    status, text, _ = await request_service(http, node, 'own-1', '/order/1')
    assert (status, text) == (200, 'desk-0 /order/1')
    # The copy arrives while this request waits on the same connection.
    status, text, headers = await request_service(
        http, node, 'own-2', '/order/2'
    )
    assert 'order/1' not in text
    assert headers['Attempt-Id'] == 'own-2'
    assert status in {200, 502}
    assert count_runs(fleet, 'own-2') == 1
    status, text, _ = await request_service(http, node, 'own-3', '/order/3')
    assert (status, text) == (200, 'desk-0 /order/3')


async def test_planned_stop_under_load_cuts_no_accepted_request(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for server in fleet.engines[2:]:
        server.options.service_s = 0.1
    answered: dict[str, int] = {}
    callers = [
        asyncio.create_task(_call_until_refused(node, number, answered))
        for number in range(_CALLERS)
    ]
    await asyncio.sleep(0.5)
    assert await node.stop(signal.SIGTERM) == 0
    await asyncio.gather(*callers)
    unanswered = {run.attempt_id for run in all_runs(fleet)} - answered.keys()
    assert not unanswered
    assert len(answered) > _CALLERS


async def _call_until_refused(node, number, answered) -> None:
    """Send requests on one kept connection until the process is gone."""
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        for count in range(1000):
            attempt_id = f'c{number}-{count}'
            try:
                status, _, _ = await request_service(session, node, attempt_id)
            except aiohttp.ClientConnectorError:
                return
            except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
                # The request crossed the close of an idle connection.
                continue
            answered[attempt_id] = status


# Guards against a stream that is cut for the gaps between its events. Its time
# is no bound here, which a test under load may reach.
async def test_slow_but_sound_stream_is_not_cut(fleet, http):
    nodes = await start_patient_fleet(
        fleet, http, events=_SLOW_EVENTS, event_s=_SLOW_GAP_S
    )
    status, text, _ = await request_stream(http, nodes[0], 'slow', **_PATIENT)
    assert status == 200
    assert text.count('id: ') == _SLOW_EVENTS
    assert count_runs(fleet, 'slow') == 1


async def test_stream_that_sends_a_byte_now_and_then_ends(fleet, http):
    node = await start_single_node(fleet, events=200)
    await wait_until_ready([node], http)
    for engine in fleet.engines[:2]:
        engine.inject_fault(EngineFault.TRICKLE, 1)
    started_s = time.monotonic()
    is_cut = False
    try:
        await request_stream(http, node, 'stalled')
    except aiohttp.ClientPayloadError:
        is_cut = True
    assert is_cut
    assert time.monotonic() - started_s < _ROUTE_TIMEOUT_S + _SLACK_S


async def test_malformed_messages_end_no_process(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in _GARBAGE:
            sender.sendto(datagram, (node.ip, _PEER_PORT))
    for raw in _GARBAGE:
        await _send_raw(node.ip, _PEER_PORT, raw)
        await _send_raw(node.ip, node.port, raw)
    assert (await request_stream(http, node, 'after'))[0] == 200
    assert node.process.returncode is None


async def _send_raw(host, port, raw) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(raw)
    writer.write(b'\r\n\r\n')
    try:
        async with asyncio.timeout(0.3):
            await reader.read()
    except (TimeoutError, ConnectionError):
        return
    finally:
        writer.close()


async def test_request_that_says_it_has_no_time_left_is_not_run(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    no_time = {'Deadline-Ms': '0'}
    status, _, _ = await request_stream(http, node, 'late', **no_time)
    assert status in {503, 504}
    assert not count_runs(fleet, 'late')


async def test_upload_that_stalls_is_answered_at_the_deadline(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    head_lines = (
        'POST /order/1 HTTP/1.1',
        'Host: desk.example',
        'Attempt-Id: up',
        'Authorization: Bearer key-of-till-rolls',
        'Deadline-Ms: 700',
        'Content-Length: 100',
        '',
        'abc',
    )
    raw = '\r\n'.join(head_lines).encode()
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(raw)
    async with asyncio.timeout(2):
        head = await reader.readline()
    writer.close()
    assert b' 408 ' in head
    assert not count_runs(fleet, 'up')
    await wait_for_condition(
        lambda: 'upload_timeout' in node.log_path.read_text(), 'logged'
    )
