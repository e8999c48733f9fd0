"""Send requests through the daemon of the users' platform."""

import asyncio
import signal
from types import MappingProxyType

import aiohttp
import pytest

from emulator.fleet import wait_until
from emulator.fleet_engine import EngineFault
from tests.fleet_builders import (
    OTHER_KEY,
    build_request_headers,
    start_one,
    wait_ready,
)
from tests.fleet_clients import BODY, all_runs, ask, desk, runs, whole_stream

FORGED_HEADERS = MappingProxyType(
    {
        'Tenant': 'forged',
        'Hold': 'forged',
        'Cache-Salt': 'forged',
        'Expect-Instance': 'forged',
    }
)


async def test_stream_is_relayed_with_the_systems_headers(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    status, text, headers = await ask(
        http,
        node,
        'a1',
        **FORGED_HEADERS,
    )
    assert (status, text) == (200, whole_stream())
    assert headers['Response-Stamp'].startswith('stamp-engine')
    assert headers['Attempt-Id'] == 'a1'
    run = all_runs(fleet)[0]
    assert run.headers['Tenant'] == 'till-rolls'
    assert run.headers['Cache-Salt'] == 'shared-1'
    assert run.headers['Expect-Version'] == '1'
    assert run.path == '/ask/1'
    assert run.body == BODY
    assert 'Hold' not in run.headers
    assert 'Authorization' not in run.headers
    assert 0 < int(run.headers['Deadline-Ms']) <= 5000


async def test_isolated_team_shares_no_cache(fleet, http):
    node = await start_one(fleet, engines=1)
    await wait_ready([node], http)
    await ask(http, node, 'a1', key=OTHER_KEY)
    run = all_runs(fleet)[0]
    assert run.headers['Cache-Salt'] == 'team-pharmacy-1'


async def test_plain_request_and_refusals(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    status, _, headers = await desk(http, node, 'p1')
    assert status == 200
    assert headers['Response-Stamp'].startswith('stamp-desk')
    assert (await desk(http, node, 'p2', path='/nowhere/'))[0] == 404
    status, _, _ = await ask(http, node, 'p3', key='unknown')
    assert status == 401
    too_long = b'x' * 200_000
    async with http.post(
        f'{node.url}/ask/1',
        data=too_long,
        headers=build_request_headers('p4'),
    ) as response:
        assert response.status == 413
    assert runs(fleet, 'p3') + runs(fleet, 'p4') == 0


async def test_cut_stream_is_resumed_where_allowed(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    for engine in fleet.engines:
        engine.spoil(EngineFault.CUT, 1)
    for engine in fleet.engines[1:2]:
        engine.spoil(EngineFault.NONE, 0)
    for number in range(4):
        status, text, _ = await ask(http, node, f'r{number}', path='/note/1')
        assert (status, text) == (200, whole_stream())


async def test_cut_stream_never_looks_complete(fleet, http):
    node = await start_one(fleet, engines=1)
    await wait_ready([node], http)
    fleet.engines[0].spoil(EngineFault.CUT, 1)
    with pytest.raises(aiohttp.ClientError):
        await ask(http, node, 'c1')
    assert runs(fleet, 'c1') == 1


@pytest.mark.parametrize('fault', [EngineFault.RESET, EngineFault.FOREIGN])
async def test_order_that_may_have_run_is_never_repeated(fleet, http, fault):
    node = await start_one(fleet)
    await wait_ready([node], http)
    for engine in fleet.engines:
        engine.spoil(fault, 1)
    status, _, _ = await desk(http, node, 'o1')
    assert status == 502
    assert runs(fleet, 'o1') == 1


async def test_lookup_goes_elsewhere_when_a_server_is_mute(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    desks = [engine for engine in fleet.engines if not engine.options.model]
    desks[0].spoil(EngineFault.MUTE, 99)
    for number in range(4):
        status, _, _ = await desk(
            http,
            node,
            f'l{number}',
            path='/look/1',
            method='GET',
        )
        assert status == 200


async def test_order_goes_elsewhere_when_a_server_is_gone(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    await fleet.crash(fleet.engines[2])
    for number in range(4):
        status, _, _ = await desk(http, node, f'g{number}')
        assert status == 200


async def test_refusal_says_when_to_come_back(fleet, http):
    node = await start_one(fleet, engines=1)
    await wait_ready([node], http)
    fleet.engines[0].spoil(EngineFault.SHED, 1)
    status, text, headers = await ask(http, node, 's1')
    assert status == 503
    assert 'no_backend_server' in text
    assert float(headers['Retry-After']) > 0
    assert runs(fleet, 's1') == 0


async def test_sigterm_finishes_streams_and_refuses_late_requests(
    fleet,
    http,
):
    node = await start_one(fleet, engines=1, event_s=0.7)
    await wait_ready([node], http)
    stream = asyncio.create_task(ask(http, node, 't1'))
    await wait_until(lambda: runs(fleet, 't1'), 'stream runs')
    node.process.send_signal(signal.SIGTERM)
    status, text, _ = await stream
    assert (status, text) == (200, whole_stream())
    assert await node.process.wait() == 0


async def test_client_that_leaves_stops_the_engine(fleet, http):
    node = await start_one(fleet, engines=1, event_s=0.5, events=20)
    await wait_ready([node], http)
    stream = asyncio.create_task(ask(http, node, 'e1'))
    await wait_until(lambda: fleet.engines[0].running, 'stream runs')
    stream.cancel()
    await wait_until(
        lambda: not fleet.engines[0].running,
        'engine stopped',
        limit_s=1.0,
    )


async def test_long_prompt_finds_an_engine_among_short_ones(fleet, http):
    node = await start_one(fleet, event_s=0.1, events=30)
    await wait_ready([node], http)
    short = [
        asyncio.create_task(ask(http, node, f's{number}'))
        for number in range(8)
    ]
    await wait_until(
        lambda: all(engine.running for engine in fleet.engines[:2]),
        'short streams on both engines',
    )
    headers = {'Token-Counts': '6000,20', 'Prompt-Prefix': 'aa01:400'}
    long = asyncio.create_task(ask(http, node, 'long', **headers))
    await wait_until(lambda: runs(fleet, 'long'), 'it runs', limit_s=1.0)
    assert (await long)[0] == 200
    await asyncio.gather(*short)
