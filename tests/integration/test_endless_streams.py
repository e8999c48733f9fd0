"""Check that a stream without end leaves the VM to its other clients."""

import asyncio
import time
from collections import deque
from http import HTTPStatus
from types import MappingProxyType

import aiohttp
import pytest

from emulator.scripted_response import ScriptedResponse
from tests.fleet_builders import start_single_node, wait_until_ready
from tests.fleet_clients import (
    complete_stream_text,
    request_service,
    request_stream,
)

# An answer may come half a second after the timeout of its route.
_MAX_WAIT_S = 0.5
_CLIENT_GAP_S = 2.0
_ORDER_INTERVAL_S = 0.02
_MANY_LINES = b'data: %b\n\n' % (b'x\ndata: ' * 100_000)

_WITHOUT_EVENTS = MappingProxyType(
    {
        'blank': b'\n',
        'blank_lines': b'\r\n\r\n',
        'comments': b':\n\n',
        'unnumbered': b'data:\n\n',
        'empty_field': b'x\n\n',
        'other_number': b'id: x\n\n',
        'lines': b'data\n',
    }
)


async def _longest_order_s(http, node, is_over) -> float:
    """Send orders to a sound server until ``is_over``; all are answered."""
    longest_s = 0.0
    number = 0
    while not is_over():
        number += 1
        began_s = time.monotonic()
        status, _, _ = await request_service(http, node, f'order-{number}')
        longest_s = max(longest_s, time.monotonic() - began_s)
        assert status == 200
        await asyncio.sleep(_ORDER_INTERVAL_S)
    assert number
    return longest_s


async def _start_with(fleet, http, response):
    """Return a VM whose only engine sends ``response`` to the next request."""
    node = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([node], http)
    fleet.engines[0].scripted_responses.append(response)
    return node


async def _is_failed(stream) -> bool:
    """Return whether the stream was cut, or refused before its head."""
    try:
        status, _, _ = await stream
    except aiohttp.ClientPayloadError:
        return True
    return status == HTTPStatus.BAD_GATEWAY


# Guards against a stream that holds the event loop of its VM for as long as it
# lasts: nothing else is read, answered or ended meanwhile.
@pytest.mark.parametrize(
    'filling', _WITHOUT_EVENTS.values(), ids=_WITHOUT_EVENTS
)
@pytest.mark.parametrize('events', [0, 2])
async def test_stream_without_events_ends_and_delays_no_order(
    fleet, http, filling, events
):
    body = complete_stream_text(events).encode()
    node = await _start_with(
        fleet, http, ScriptedResponse(body=body, filling=filling)
    )
    began_s = time.monotonic()
    stream = asyncio.create_task(request_stream(http, node, 'stream'))
    longest_s = await _longest_order_s(http, node, stream.done)
    assert time.monotonic() - began_s < _CLIENT_GAP_S
    assert longest_s < _MAX_WAIT_S
    assert await _is_failed(stream)


# Guards against the same where each piece is an event, and lines without end
# are one.
@pytest.mark.parametrize('event', [b'id: %d\n\n', b'id: %d\ndata: w\n\n'])
async def test_events_without_end_delay_no_order(fleet, http, event):
    events = b''.join(event % number for number in range(1, 300_000))
    node = await _start_with(
        fleet, http, ScriptedResponse(body=events, is_cut=True)
    )
    stream = asyncio.create_task(request_stream(http, node, 'stream'))
    assert await _longest_order_s(http, node, stream.done) < _MAX_WAIT_S
    with pytest.raises(aiohttp.ClientPayloadError):
        await stream


# Guards against an event of many lines, whose parsing held the event loop.
async def test_event_of_many_lines_delays_no_order(fleet, http):
    body = b'id: 1\n%b' % _MANY_LINES
    node = await _start_with(fleet, http, ScriptedResponse(body=body))
    stream = asyncio.create_task(request_stream(http, node, 'stream'))
    assert await _longest_order_s(http, node, stream.done) < _MAX_WAIT_S
    status, text, _ = await stream
    assert (status, text.encode()) == (200, body)


# Guards against an engine that has stalled but sends a comment or a blank line
# now and then: it passed for alive, and its stream did not go on elsewhere.
@pytest.mark.parametrize('filling', [b': still here\n\n', b'\n'])
async def test_stalled_stream_with_comments_goes_on_elsewhere(
    fleet, http, filling
):
    node = await start_single_node(fleet, engines=2, plain=0)
    await wait_until_ready([node], http)
    script = deque(
        [
            ScriptedResponse(
                body=complete_stream_text(2).encode(),
                filling=filling,
                is_trickling=True,
            )
        ]
    )
    for engine in fleet.engines:
        engine.scripted_responses = script
    began_s = time.monotonic()
    status, text, _ = await request_stream(http, node, 's', path='/note/1')
    assert time.monotonic() - began_s < 2 * _CLIENT_GAP_S
    assert (status, _without_comments(text)) == (200, complete_stream_text())


def _without_comments(text: str) -> str:
    """Return the events of a stream only."""
    parts = text.replace('\n\n\n', '\n\n').split('\n\n')
    events = [part.strip('\n') for part in parts if not part.startswith(':')]
    return ''.join(f'{event}\n\n' for event in events if event)
