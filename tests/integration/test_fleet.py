"""Check how the daemon of the users' platform relays requests.

The tests guard against forged or missing headers, orders that run twice after
a broken connection, broken streams that look complete, engines that keep
running for lost clients, and long prompts that wait behind short ones.
"""

import asyncio
import signal
from types import MappingProxyType

import aiohttp
import pytest

from emulator.fleet import wait_for_condition
from emulator.fleet_engine import EngineFault
from tests.fleet_builders import (
    SHARED_CACHE_SCOPE,
    ISOLATED_TEAM_API_KEY,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    REQUEST_BODY,
    all_runs,
    complete_stream_text,
    count_runs,
    request_service,
    request_stream,
)

FORGED_HEADERS = MappingProxyType(
    {
        'Tenant': 'forged',
        'Hold': 'forged',
        'Cache-Salt': 'forged',
        'Expect-Instance': 'forged',
    }
)


async def test_stream_is_relayed_with_headers_set_by_the_daemon(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    status, text, headers = await request_stream(
        http,
        node,
        'a1',
        **FORGED_HEADERS,
    )
    assert (status, text) == (200, complete_stream_text())
    assert headers['Response-Stamp'].startswith('stamp-engine')
    assert headers['Attempt-Id'] == 'a1'
    run = all_runs(fleet)[0]
    assert run.headers['Tenant'] == 'till-rolls'
    assert run.headers['Cache-Salt'] == f'{SHARED_CACHE_SCOPE}-1'
    assert run.headers['Expect-Version'] == '1'
    assert run.path == '/ask/1'
    assert run.body == REQUEST_BODY
    assert 'Hold' not in run.headers
    assert 'Authorization' not in run.headers
    assert 0 < int(run.headers['Deadline-Ms']) <= 5000


async def test_isolated_team_gets_its_own_cache_salt(fleet, http):
    node = await start_single_node(fleet, engines=1)
    await wait_until_ready([node], http)
    await request_stream(http, node, 'a1', key=ISOLATED_TEAM_API_KEY)
    run = all_runs(fleet)[0]
    assert run.headers['Cache-Salt'] == 'team-pharmacy-1'


async def test_plain_request_succeeds_and_invalid_ones_are_rejected(
    fleet, http
):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    status, _, headers = await request_service(http, node, 'p1')
    assert status == 200
    assert headers['Response-Stamp'].startswith('stamp-desk')
    assert (await request_service(http, node, 'p2', path='/nowhere/'))[0] == 404
    status, _, _ = await request_stream(http, node, 'p3', key='unknown')
    assert status == 401
    oversized_body = b'x' * 200_000
    async with http.post(
        f'{node.url}/ask/1',
        data=oversized_body,
        headers=build_request_headers('p4'),
    ) as response:
        assert response.status == 413
    assert count_runs(fleet, 'p3') + count_runs(fleet, 'p4') == 0


async def test_broken_stream_of_a_resumable_route_is_resumed(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for engine in fleet.engines:
        engine.inject_fault(EngineFault.CUT, 1)
    for engine in fleet.engines[1:2]:
        engine.inject_fault(EngineFault.NONE, 0)
    for number in range(4):
        status, text, _ = await request_stream(
            http, node, f'r{number}', path='/note/1'
        )
        assert (status, text) == (200, complete_stream_text())


async def test_broken_stream_does_not_look_complete(fleet, http):
    node = await start_single_node(fleet, engines=1)
    await wait_until_ready([node], http)
    fleet.engines[0].inject_fault(EngineFault.CUT, 1)
    with pytest.raises(aiohttp.ClientError):
        await request_stream(http, node, 'c1')
    assert count_runs(fleet, 'c1') == 1


@pytest.mark.parametrize('fault', [EngineFault.RESET, EngineFault.FOREIGN])
async def test_order_that_may_have_run_is_not_retried(fleet, http, fault):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for engine in fleet.engines:
        engine.inject_fault(fault, 1)
    status, _, _ = await request_service(http, node, 'o1')
    assert status == 502
    assert count_runs(fleet, 'o1') == 1


async def test_lookup_is_retried_when_a_server_does_not_respond(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    plain_servers = [
        engine for engine in fleet.engines if not engine.options.model
    ]
    plain_servers[0].inject_fault(EngineFault.MUTE, 99)
    for number in range(4):
        status, _, _ = await request_service(
            http,
            node,
            f'l{number}',
            path='/look/1',
            method='GET',
        )
        assert status == 200


async def test_order_is_sent_elsewhere_when_a_server_is_down(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    await fleet.stop_engine(fleet.engines[2])
    for number in range(4):
        status, _, _ = await request_service(http, node, f'g{number}')
        assert status == 200


async def test_rejection_has_a_retry_after_header(fleet, http):
    node = await start_single_node(fleet, engines=1)
    await wait_until_ready([node], http)
    fleet.engines[0].inject_fault(EngineFault.SHED, 1)
    status, text, headers = await request_stream(http, node, 's1')
    assert status == 503
    assert 'no_backend_server' in text
    assert float(headers['Retry-After']) > 0
    assert count_runs(fleet, 's1') == 0


async def test_sigterm_lets_running_streams_finish(fleet, http):
    node = await start_single_node(fleet, engines=1, event_s=0.7)
    await wait_until_ready([node], http)
    stream = asyncio.create_task(request_stream(http, node, 't1'))
    await wait_for_condition(lambda: count_runs(fleet, 't1'), 'stream runs')
    node.process.send_signal(signal.SIGTERM)
    status, text, _ = await stream
    assert (status, text) == (200, complete_stream_text())
    assert await node.process.wait() == 0


async def test_client_disconnect_stops_the_engine(fleet, http):
    node = await start_single_node(fleet, engines=1, event_s=0.5, events=20)
    await wait_until_ready([node], http)
    stream = asyncio.create_task(request_stream(http, node, 'e1'))
    await wait_for_condition(lambda: fleet.engines[0].running, 'stream runs')
    stream.cancel()
    await wait_for_condition(
        lambda: not fleet.engines[0].running,
        'engine stopped',
        limit_s=1.0,
    )


async def test_long_prompt_is_placed_beside_short_prompts(fleet, http):
    node = await start_single_node(fleet, event_s=0.1, events=30)
    await wait_until_ready([node], http)
    short_requests = [
        asyncio.create_task(request_stream(http, node, f's{number}'))
        for number in range(8)
    ]
    await wait_for_condition(
        lambda: all(engine.running for engine in fleet.engines[:2]),
        'short streams run on both engines',
    )
    headers = {'Token-Counts': '6000,20', 'Prompt-Prefix': 'aa01:400'}
    long_request = asyncio.create_task(
        request_stream(http, node, 'long', **headers)
    )
    await wait_for_condition(
        lambda: count_runs(fleet, 'long'), 'long request runs', limit_s=1.0
    )
    assert (await long_request)[0] == 200
    await asyncio.gather(*short_requests)
