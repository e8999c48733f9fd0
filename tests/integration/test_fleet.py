"""Drive the daemon of the users' platform as its own process."""

import asyncio
import functools
import json
import signal
from types import MappingProxyType

import aiohttp
import pytest

from arbutusbay.cli import main
from emulator.fleet import Fleet, running_fleet, wait_until
from emulator.fleet_engine import EngineFault, EngineRun
from emulator.store import StoreFault
from tests.fleet_builders import (
    KEY,
    MODEL,
    OTHER_KEY,
    PLAIN_HOST,
    build_configuration,
    build_raw_request,
    build_request_headers,
    build_teams,
    start_fleet,
    start_one,
    wait_ready,
)

_BODY = b'{"prompt": "x"}'
FORGED_HEADERS = MappingProxyType(
    {
        'Tenant': 'forged',
        'Hold': 'forged',
        'Cache-Salt': 'forged',
        'Expect-Instance': 'forged',
    }
)


@pytest.fixture
async def fleet(tmp_path):
    async with running_fleet(tmp_path) as opened:
        yield opened


@pytest.fixture
async def http():
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


async def ask(http, node, attempt_id, path='/ask/1', **changes):
    headers = build_request_headers(attempt_id, **changes)
    async with http.post(
        f'{node.url}{path}',
        data=_BODY,
        headers=headers,
    ) as response:
        return response.status, await response.text(), response.headers


async def desk(http, node, attempt_id, path='/order/1', method='POST'):
    headers = build_request_headers(attempt_id, host=PLAIN_HOST)
    async with http.request(
        method,
        f'{node.url}{path}',
        headers=headers,
    ) as response:
        return response.status, await response.text(), response.headers


def all_runs(fleet: Fleet) -> list[EngineRun]:
    return [run for engine in fleet.engines for run in engine.runs]


def runs(fleet: Fleet, attempt_id: str) -> int:
    return sum(engine.run_counts()[attempt_id] for engine in fleet.engines)


async def all_refuse(http, nodes) -> bool:
    answers = [await ask(http, node, f'k-{node.name}') for node in nodes]
    return {status for status, _, _ in answers} == {401}


async def refuses_as_stale(http, node) -> bool:
    status, text, _ = await ask(http, node, 'f1')
    return status == 503 and 'configuration_too_old' in text


async def serves(http, node, attempt_id) -> bool:
    status, _, _ = await ask(http, node, attempt_id)
    return status == 200


def whole_stream(events: int = 5) -> str:
    return ''.join(
        f'id: {number}\ndata: w{number}\n\n' for number in range(1, events + 1)
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
    assert run.body == _BODY
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


async def test_key_taken_away_is_refused_everywhere(fleet, http):
    nodes = await start_fleet(fleet, nodes=3)
    await wait_ready(nodes, http)
    fleet.configure(
        build_configuration(2, tenants=build_teams(keys=('another',))),
    )

    await wait_until(
        functools.partial(all_refuse, http, nodes),
        'key refused',
        limit_s=2.0,
    )


async def test_stale_configuration_refuses_keyed_requests(fleet, http):
    fleet.revocation_ms = 2500
    node = await start_one(fleet)
    await wait_ready([node], http)
    fleet.store.faults[''] = StoreFault.SILENT

    await wait_until(
        functools.partial(refuses_as_stale, http, node),
        'stale refused',
        limit_s=5.0,
    )
    assert not await node.is_ready(http)
    fleet.store.faults.clear()
    await wait_ready([node], http)
    assert (await ask(http, node, 'f2'))[0] == 200


async def test_vm_that_the_store_turns_away_follows_another(fleet, http):
    fleet.revocation_ms = 2500
    nodes = await start_fleet(fleet, nodes=2)
    await wait_ready(nodes, http)
    for node in nodes:
        fleet.store.faults = {node.ip: StoreFault.BUSY}
        await asyncio.sleep(3.0)
        for asked in nodes:
            assert (await ask(http, asked, f'v-{asked.name}'))[0] == 200


async def test_few_vms_read_the_store(fleet, http):
    nodes = await start_fleet(fleet, nodes=4)
    await wait_ready(nodes, http)
    await asyncio.sleep(2.0)
    before = fleet.store.reads
    await asyncio.sleep(3.0)
    assert fleet.store.reads - before < 15


async def test_weights_are_rolled_out_by_one_holder(fleet, http):
    nodes = await start_fleet(fleet, engines=3, nodes=2)
    await wait_ready(nodes, http)
    fleet.name_weights(MODEL, 2)
    engines = fleet.engines[:3]
    await wait_until(
        lambda: all(engine.version == 2 for engine in engines),
        'weights loaded',
    )
    holders = {holder for engine in engines for holder, _ in engine.holders}
    assert len(holders) == 1

    await wait_until(
        functools.partial(serves, http, nodes[0], 'w1'),
        'served on new weights',
    )
    newest = next(run for run in all_runs(fleet) if run.attempt_id == 'w1')
    assert newest.version == 2
    assert newest.headers['Cache-Salt'] == 'shared-2'


async def test_another_vm_takes_the_rollout_over(fleet, http):
    nodes = await start_fleet(fleet, engines=2, nodes=2)
    await wait_ready(nodes, http)
    fleet.name_weights(MODEL, 2)
    engines = fleet.engines[:2]
    await wait_until(
        lambda: all(engine.version == 2 for engine in engines),
        'first rollout',
    )
    first = engines[0].holders[0]
    holder = next(node for node in nodes if node.name == first[0])
    await holder.stop(signal.SIGKILL)
    fleet.name_weights(MODEL, 3)
    await wait_until(
        lambda: all(engine.version == 3 for engine in engines),
        'second rollout',
    )
    last = engines[0].holders[-1]
    assert last[0] != first[0]
    assert last[1] > first[1]


async def test_draining_server_gets_no_new_work(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    leaving = fleet.engines[0]
    leaving.is_draining = True
    fleet.register(leaving)
    await asyncio.sleep(1.5)
    before = len(leaving.runs)
    for number in range(6):
        assert (await ask(http, node, f'd{number}'))[0] == 200
    assert len(leaving.runs) == before


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


async def test_unreadable_records_change_nothing(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    fleet.store.topic('keyed.op').append('config', b'\xff{')
    fleet.store.put('keyed.op', 'config', {'version': 'x'})
    fleet.store.put('keyed.servers', 'ghost', {'service': 5})
    await asyncio.sleep(1.2)
    assert (await ask(http, node, 'u1'))[0] == 200
    assert node.process.returncode is None


async def test_logs_lead_from_the_id_to_the_cause(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    for engine in fleet.engines:
        engine.spoil(EngineFault.RESET, 1)
    await desk(http, node, 'x1')
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    told = [line for line in lines if line.get('request_id') == 'x1']
    messages = [line['message'] for line in told]
    assert messages == ['placed', 'attempt failed', 'request refused']
    assert told[1]['outcome'] == 'unknown'
    assert told[2]['ran'] == 'outcome_unknown'
    assert KEY not in node.log.read_text()


def explained(capsys, request_id, nodes) -> str:
    with pytest.raises(SystemExit) as ended:
        main(['explain', request_id, *(str(node.log) for node in nodes)])
    assert ended.value.code == 0
    return capsys.readouterr().out


async def test_command_explains_three_failures(fleet, http, capsys):
    fleet.revocation_ms = 1500
    node = await start_one(fleet)
    await wait_ready([node], http)
    for engine in fleet.engines:
        engine.spoil(EngineFault.RESET, 1)
    await desk(http, node, 'broken-off')
    await ask(http, node, 'wrong-key', key='nobodys')
    fleet.store.faults[''] = StoreFault.BUSY
    await wait_until(
        functools.partial(refuses_as_stale, http, node),
        'refused as stale',
    )
    broken_off = explained(capsys, 'broken-off', [node])
    assert 'broke off after the request was sent' in broken_off
    assert 'server avoided' in broken_off
    assert 'key is not' in explained(capsys, 'wrong-key', [node])
    stale = explained(capsys, 'f1', [node])
    assert 'keys were last confirmed' in stale
    assert 'store does not answer' in stale


async def test_dump_and_metrics_tell_no_key(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    await ask(http, node, 'm1')
    for path in ('/debug/state', '/metrics'):
        async with http.get(f'{node.control_url}{path}') as response:
            text = await response.text()
            assert response.status == 200
            assert KEY not in text
    assert 'arbutusbay_request_duration_seconds' in text


async def test_cut_stream_is_logged_and_is_no_error(fleet, http):
    node = await start_one(fleet, engines=1)
    await wait_ready([node], http)
    fleet.engines[0].spoil(EngineFault.CUT, 1)
    with pytest.raises(aiohttp.ClientError):
        await ask(http, node, 'c2')
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    told = [line for line in lines if line.get('request_id') == 'c2']
    assert told[-1]['outcome'] == 'stream cut'
    assert not [line for line in lines if line['level'] == 'ERROR']


async def test_client_that_resets_a_stream_is_no_error(fleet, http):
    node = await start_one(fleet, engines=1, event_s=0, events=2000)
    await wait_ready([node], http)
    for number in range(20):
        reader, writer = await asyncio.open_connection(node.ip, node.port)
        writer.write(build_raw_request('/ask/1', f'r{number}', _BODY))
        await reader.readuntil(b'data: w1\n')
        writer.transport.abort()
    await wait_until(lambda: not fleet.engines[0].running, 'engine stopped')
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    assert not [line for line in lines if line['level'] == 'ERROR']
    ended = [line for line in lines if line['message'] == 'request ended']
    assert {line['outcome'] for line in ended} == {'client left'}


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
