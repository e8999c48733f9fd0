"""Check that logs and metrics explain failed requests and leak no API key.

An operator has to find the cause of a failure from the request ID alone.
Broken streams and lost clients are normal and must not be logged as errors,
or they would hide real errors.
"""

import asyncio
import functools
import json

import aiohttp
import pytest

from arbutusbay.cli import main
from emulator.fleet import wait_for_condition
from emulator.fleet_engine import EngineFault
from emulator.store import StoreFault
from tests.fleet_builders import (
    API_KEY,
    build_raw_request,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    REQUEST_BODY,
    rejects_stale_configuration,
    request_service,
    request_stream,
)

from tests.raw_clients import reset_at_close


async def test_logs_give_the_cause_for_a_request_id(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for engine in fleet.engines:
        engine.inject_fault(EngineFault.RESET, 1)
    await request_service(http, node, 'x1')
    lines = [
        json.loads(line) for line in node.log_path.read_text().splitlines()
    ]
    request_lines = [line for line in lines if line.get('request_id') == 'x1']
    messages = [line['message'] for line in request_lines]
    assert messages == ['placed', 'attempt failed', 'request refused']
    assert request_lines[1]['outcome'] == 'unknown'
    assert request_lines[2]['ran'] == 'outcome_unknown'
    assert API_KEY not in node.log_path.read_text()


def run_explain(capsys, request_id, nodes) -> str:
    with pytest.raises(SystemExit) as exit_info:
        main(['explain', request_id, *(str(node.log_path) for node in nodes)])
    assert exit_info.value.code == 0
    return capsys.readouterr().out


async def test_explain_command_names_the_cause_of_failures(fleet, http, capsys):
    fleet.revocation_ms = 1500
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    for engine in fleet.engines:
        engine.inject_fault(EngineFault.RESET, 1)
    await request_service(http, node, 'broken-off')
    await request_stream(http, node, 'wrong-key', key='nobodys')
    fleet.store.faults[''] = StoreFault.BUSY
    await wait_for_condition(
        functools.partial(rejects_stale_configuration, http, node),
        'stale configuration rejected',
    )
    broken_connection = run_explain(capsys, 'broken-off', [node])
    assert 'broke off after the request was sent' in broken_connection
    assert 'server avoided' in broken_connection
    assert 'key is not' in run_explain(capsys, 'wrong-key', [node])
    stale_configuration = run_explain(capsys, 'f1', [node])
    assert 'keys were last confirmed' in stale_configuration
    assert 'store does not answer' in stale_configuration


async def test_state_dump_and_metrics_contain_no_api_key(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    await request_stream(http, node, 'm1')
    for path in ('/debug/state', '/metrics'):
        async with http.get(f'{node.control_url}{path}') as response:
            text = await response.text()
            assert response.status == 200
            assert API_KEY not in text
    assert 'arbutusbay_request_duration_seconds' in text


async def test_broken_stream_is_logged_below_error_level(fleet, http):
    node = await start_single_node(fleet, engines=1)
    await wait_until_ready([node], http)
    fleet.engines[0].inject_fault(EngineFault.CUT, 1)
    with pytest.raises(aiohttp.ClientError):
        await request_stream(http, node, 'c2')
    lines = [
        json.loads(line) for line in node.log_path.read_text().splitlines()
    ]
    request_lines = [line for line in lines if line.get('request_id') == 'c2']
    assert request_lines[-1]['outcome'] == 'stream cut'
    assert not [line for line in lines if line['level'] == 'ERROR']


async def test_client_reset_is_logged_below_error_level(fleet, http):
    node = await start_single_node(fleet, engines=1, event_s=0, events=2000)
    await wait_until_ready([node], http)
    for number in range(20):
        reader, writer = await asyncio.open_connection(node.ip, node.port)
        writer.write(build_raw_request('/ask/1', f'r{number}', REQUEST_BODY))
        await reader.readuntil(b'data: w1\n')
        writer.transport.abort()
    await wait_for_condition(
        lambda: not fleet.engines[0].running, 'engine stopped'
    )
    lines = [
        json.loads(line) for line in node.log_path.read_text().splitlines()
    ]
    assert not [line for line in lines if line['level'] == 'ERROR']
    ended_lines = [line for line in lines if line['message'] == 'request ended']
    assert {line['outcome'] for line in ended_lines} == {'client left'}


# Guards against logs in which a client that reset its connection looks like
# one that closed it, or only its sending side.
@pytest.mark.parametrize(
    ('is_reset', 'end', 'cause'),
    [
        (True, 'closed', 'the client closed its connection; '),
        (False, 'sending_side_shut', 'or only its sending side; '),
    ],
)
async def test_logs_name_how_a_client_left(
    fleet, http, capsys, is_reset, end, cause
):
    node = await start_single_node(fleet, engines=1, event_s=0.5, events=20)
    await wait_until_ready([node], http)
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(build_raw_request('/ask/1', 'left', REQUEST_BODY))
    await reader.readuntil(b'id: 1')
    if is_reset:
        reset_at_close(writer)
        writer.close()
    else:
        writer.write_eof()
    await wait_for_condition(
        lambda: 'client left' in node.log_path.read_text(), 'the line'
    )
    writer.close()
    lines = map(json.loads, node.log_path.read_text().splitlines())
    left = next(line for line in lines if line.get('outcome') == 'client left')
    assert (left['client_end'], left['found_by']) == (end, 'event_loop')
    assert cause in run_explain(capsys, 'left', [node])
