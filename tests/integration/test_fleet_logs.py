"""Explain requests on the users' platform from logs and metrics."""

import asyncio
import functools
import json

import aiohttp
import pytest

from arbutusbay.cli import main
from emulator.fleet import wait_until
from emulator.fleet_engine import EngineFault
from emulator.store import StoreFault
from tests.fleet_builders import KEY, build_raw_request, start_one, wait_ready
from tests.fleet_clients import BODY, ask, desk, refuses_as_stale


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
        writer.write(build_raw_request('/ask/1', f'r{number}', BODY))
        await reader.readuntil(b'data: w1\n')
        writer.transport.abort()
    await wait_until(lambda: not fleet.engines[0].running, 'engine stopped')
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    assert not [line for line in lines if line['level'] == 'ERROR']
    ended = [line for line in lines if line['message'] == 'request ended']
    assert {line['outcome'] for line in ended} == {'client left'}
