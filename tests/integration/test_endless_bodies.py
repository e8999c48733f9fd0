"""Check that bodies without end, many at once, leave a VM its memory."""

import asyncio
import contextlib
import itertools
from collections import deque
from http import HTTPStatus

import aiohttp
import pytest

from emulator.scripted_response import ScriptedResponse
from tests.background_tasks import running
from tests.fleet_builders import (
    PLAIN_HOST,
    build_configuration,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import request_service, request_stream
from tests.integration.test_fleet_backends import resident_bytes

_REQUESTS = 48
# A process of the smallest VM is ended above this (memory_mb).
_MEMORY_BYTES = 136_000_000
_LIMIT_S = 5.0
_LOOK_S = 0.01
_UPLOADS = 24
_BODY_BYTES = 4_000_000
_FAULTY_CLIENTS = 12
_LONG_ANSWER_BYTES = 4_000_000
_ORDERS = 60
_MANY_TIMES = 1000
_ORDERS_AT_ONCE = 3
_ORDER_INTERVAL_S = 0.05
_APPLY_S = 2.0


async def _peak_while(node, task) -> int:
    peak_bytes = 0
    while not task.done():
        peak_bytes = max(peak_bytes, resident_bytes(node))
        await asyncio.sleep(_LOOK_S)
    return peak_bytes


# Guards against bodies that have a bound each but none together: a faulty
# engine answers all that it was sent, and the VM is ended for its memory.
@pytest.mark.parametrize(
    'response',
    [
        ScriptedResponse(status=HTTPStatus.INTERNAL_SERVER_ERROR, filling=b'x'),
        ScriptedResponse(filling=b'x'),
        ScriptedResponse(body=b'id: 1\ndata: w\n\n', filling=b'data: x\n'),
    ],
    ids=['whole', 'event', 'second event'],
)
async def test_many_bodies_without_end_leave_memory(fleet, http, response):
    node = await start_single_node(fleet, engines=1, plain=1, slots=_REQUESTS)
    await wait_until_ready([node], http)
    fleet.engines[0].scripted_responses = deque(
        itertools.repeat(response, _REQUESTS)
    )
    requests = [
        request_stream(http, node, f'endless-{number}')
        for number in range(_REQUESTS)
    ]
    all_ended = asyncio.gather(*requests, return_exceptions=True)
    async with asyncio.timeout(2 * _LIMIT_S):
        assert await _peak_while(node, all_ended) < _MEMORY_BYTES
    assert not fleet.engines[0].scripted_responses
    status, text, _ = await request_service(http, node, 'after')
    assert (status, text) == (HTTPStatus.OK, 'desk-0 /order/1')


# Guards against large uploads, each within the limit, that fill the memory
# together; those that find no room are refused as not run.
async def test_many_large_uploads_leave_memory(fleet, http):
    node = await start_single_node(fleet, engines=0, plain=1, slots=_UPLOADS)
    await wait_until_ready([node], http)
    limits = build_configuration()['limits']
    fleet.configure(
        build_configuration(2, limits={**limits, 'max_body_bytes': _BODY_BYTES})
    )
    fleet.engines[0].options.service_s = 0.5
    await asyncio.sleep(_APPLY_S)
    uploads = [
        _upload(http, node, f'upload-{number}') for number in range(_UPLOADS)
    ]
    all_ended = asyncio.gather(*uploads)
    assert await _peak_while(node, all_ended) < _MEMORY_BYTES
    statuses = await all_ended
    assert set(statuses) == {HTTPStatus.OK, HTTPStatus.TOO_MANY_REQUESTS}
    assert len(fleet.engines[0].executions) == statuses.count(HTTPStatus.OK)


async def _upload(http, node, attempt_id: str) -> int:
    headers = build_request_headers(attempt_id, host=PLAIN_HOST)
    async with http.post(
        f'{node.url}/order/1', data=bytes(_BODY_BYTES), headers=headers
    ) as response:
        return response.status


async def _request_again_and_again(http, node, name: str) -> None:
    for number in itertools.count():
        with contextlib.suppress(aiohttp.ClientError):
            await request_stream(http, node, f'{name}-{number}')


async def _order_beside(fleet, http, node, others) -> set[int]:
    """Return the statuses of orders with long answers beside ``others``."""
    answer = ScriptedResponse(
        body=bytes(_LONG_ANSWER_BYTES),
        content_type='text/plain',
        has_length=True,
    )
    fleet.engines[-1].scripted_responses = deque(
        itertools.repeat(answer, _ORDERS)
    )
    statuses = set()
    async with running(*others):
        for number in range(_ORDERS // _ORDERS_AT_ONCE):
            responses = await asyncio.gather(
                *(
                    request_service(http, node, f'order-{number}-{place}')
                    for place in range(_ORDERS_AT_ONCE)
                )
            )
            statuses.update(status for status, _, _ in responses)
            await asyncio.sleep(_ORDER_INTERVAL_S)
    return statuses


# Guards against an order whose sound server has answered it, with a length, and
# that gets 502 as bodies without end have taken the memory.
async def test_bodies_without_end_cost_no_answer_with_a_length(fleet, http):
    node = await start_single_node(fleet, engines=1, plain=1, slots=_REQUESTS)
    await wait_until_ready([node], http)
    fleet.engines[0].scripted_responses = deque(
        itertools.repeat(
            ScriptedResponse(
                status=HTTPStatus.INTERNAL_SERVER_ERROR, filling=b'x'
            ),
            _MANY_TIMES,
        )
    )
    faulty = [
        _request_again_and_again(http, node, f'endless-{number}')
        for number in range(_FAULTY_CLIENTS)
    ]
    statuses = await _order_beside(fleet, http, node, faulty)
    assert statuses == {HTTPStatus.OK}
