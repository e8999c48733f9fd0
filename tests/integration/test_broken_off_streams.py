"""Check what follows once the head of a stream is out.

An engine breaks off a stream that may be resumed, and the next one sends
something that can't continue it. The client must get no byte of that, and its
stream must not look complete. All bytes of its connection are read.
"""

from collections import deque

import pytest

from emulator.fleet import Fleet, FleetNode, wait_for_condition
from emulator.scripted_response import ScriptedResponse
from tests.fleet_builders import (
    build_configuration,
    build_request_headers,
    build_routes,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    REQUEST_BODY,
    complete_stream_text,
    count_runs,
)
from tests.raw_clients import (
    RawResponse,
    build_bytes,
    exchange_bytes,
    parse_bytes,
    parse_received,
    receive_all,
)

_TWO_EVENTS = complete_stream_text(2).encode()
_WHOLE = complete_stream_text().encode()
_COMMENT = b': still here\n\n'
_FOREIGN_TEXT = b'the text of an error\n\n'
_UNNUMBERED = b'data: w3\n\n'
_CUT = ScriptedResponse(body=_TWO_EVENTS, is_cut=True)


def _events(first: int, last: int) -> bytes:
    whole = complete_stream_text(last).encode()
    return whole.removeprefix(complete_stream_text(first - 1).encode())


async def _start(
    fleet: Fleet, http, responses: list[ScriptedResponse], **options
) -> FleetNode:
    """Start a VM and engines that send ``responses`` in order, then their own.

    Whichever engine gets the next attempt takes the next response.
    """
    node = await start_single_node(fleet, plain=0, **options)
    await wait_until_ready([node], http)
    script = deque(responses)
    for engine in fleet.engines:
        engine.scripted_responses = script
    return node


async def _receive(
    node: FleetNode, attempt_id: str, last_event_id: int = 0
) -> RawResponse:
    fields = build_request_headers(attempt_id)
    if last_event_id:
        fields['Last-Event-Id'] = str(last_event_id)
    request = build_bytes('/note/1', fields, REQUEST_BODY)
    return parse_bytes(await exchange_bytes(node.ip, node.port, request))


def _assert_cut_after(response: RawResponse, body: bytes) -> None:
    """Check that the client got ``body`` as its stream and nothing else."""
    assert (response.status, response.body) == (200, body)
    assert response.rest == b''
    assert not response.is_complete


# Guards against the head and text of an error in the middle of a stream, and
# against a stream that such a response ends as if it were complete.
@pytest.mark.parametrize(
    'second',
    [
        ScriptedResponse(status=302, body=_FOREIGN_TEXT),
        ScriptedResponse(status=400, body=_FOREIGN_TEXT),
        ScriptedResponse(status=404, body=_FOREIGN_TEXT),
        ScriptedResponse(status=409, body=_FOREIGN_TEXT),
        ScriptedResponse(status=429, body=_FOREIGN_TEXT),
        ScriptedResponse(status=500, body=_FOREIGN_TEXT),
        ScriptedResponse(status=204),
        ScriptedResponse(status=206, body=_events(3, 5)),
        ScriptedResponse(content_type='text/html', body=_FOREIGN_TEXT),
        ScriptedResponse(content_type='application/json', body=_events(3, 5)),
    ],
    ids=lambda second: f'{second.status}-{second.content_type}',
)
async def test_nothing_but_its_own_events_follows_a_begun_stream(
    fleet, http, second
):
    node = await _start(fleet, http, [_CUT, second])
    _assert_cut_after(await _receive(node, 'cut'), _TWO_EVENTS)
    assert count_runs(fleet, 'cut') == 2
    await wait_for_condition(
        lambda: '"reason":"broken"' in node.log_path.read_text(),
        'the cut is logged',
    )


# Guards against events that follow others out of their order, against one that
# is missing, and against a stream that ends early as if it were complete: the
# attempt that sent them has failed, and the stream goes on elsewhere.
@pytest.mark.parametrize(
    'second',
    [
        ScriptedResponse(body=_UNNUMBERED),
        ScriptedResponse(body=b': still here\n\ndata: w3\n\n'),
        ScriptedResponse(body=_WHOLE),
        ScriptedResponse(body=_events(4, 5)),
        ScriptedResponse(body=_events(3, 4)[:-1]),
        ScriptedResponse(is_close_delimited=True),
    ],
    ids=[
        'unnumbered',
        'unnumbered-after-a-comment',
        'begins-anew',
        'gap',
        'ends-in-an-event',
        'closed-without-an-event',
    ],
)
async def test_stream_goes_on_after_a_response_that_does_not_continue_it(
    fleet, http, second
):
    node = await _start(fleet, http, [_CUT, second])
    response = await _receive(node, 'on')
    events = response.body.replace(_COMMENT, b'')
    assert (response.status, events) == (200, _WHOLE)
    assert (response.is_complete, response.rest) == (True, b'')
    assert count_runs(fleet, 'on') == 3


# Guards against a resumed stream that is given up at the first error although
# the route allows another attempt.
async def test_stream_goes_on_after_an_error_within_max_attempts(fleet, http):
    node = await _start(
        fleet, http, [_CUT, ScriptedResponse(status=404)], engines=3
    )
    patient = [{**route, 'max_attempts': 3} for route in build_routes()]
    fleet.configure(build_configuration(2, routes=patient))
    await wait_for_condition(
        lambda: '"version":2' in node.log_path.read_text(), 'new routes'
    )
    response = await _receive(node, 'on')
    assert (response.status, response.body) == (200, _WHOLE)
    assert (response.is_complete, response.rest) == (True, b'')
    assert count_runs(fleet, 'on') == 3


# Guards against an event that arrives twice: what has no number was relayed,
# and the next engine can't learn where to go on.
@pytest.mark.parametrize(
    'body',
    [
        b'data: w1\n\ndata: w2\n\n',
        b'id: 1\ndata: w1\n\ndata: w2\n\n',
        b'id: 0\ndata: w0\n\n',
    ],
)
async def test_stream_without_a_known_position_is_not_resumed(
    fleet, http, body
):
    node = await _start(fleet, http, [ScriptedResponse(body=body, is_cut=True)])
    _assert_cut_after(await _receive(node, 'once'), body)
    assert count_runs(fleet, 'once') == 1


# Guards against a comment that is taken for an event without a number.
async def test_comment_does_not_prevent_the_resumption(fleet, http):
    node = await _start(
        fleet,
        http,
        [
            ScriptedResponse(
                body=b''.join((_TWO_EVENTS, _COMMENT)), is_cut=True
            ),
            ScriptedResponse(body=b''.join((_COMMENT, _events(3, 5)))),
        ],
    )
    response = await _receive(node, 'comment')
    assert response.body == b''.join(
        (_TWO_EVENTS, _COMMENT, _COMMENT, _events(3, 5))
    )
    assert (response.is_complete, response.rest) == (True, b'')


# Guards against cutting a stream whose engine broke off after its last event:
# nothing is left for the next one, whose chunks end as they should.
async def test_resumed_stream_without_further_events_is_complete(fleet, http):
    node = await _start(
        fleet,
        http,
        [ScriptedResponse(body=_WHOLE, is_cut=True), ScriptedResponse()],
    )
    response = await _receive(node, 'whole')
    assert (response.status, response.body) == (200, _WHOLE)
    assert (response.is_complete, response.rest) == (True, b'')


# Guards against a client's own resumption that is held to the rules of ours.
async def test_resumption_by_a_client_gets_the_response_as_it_is(fleet, http):
    node = await _start(fleet, http, [ScriptedResponse(status=404)])
    response = await _receive(node, 'mine', last_event_id=2)
    assert (response.status, response.is_complete) == (404, True)
    response = await _receive(node, 'again', last_event_id=2)
    assert (response.body, response.is_complete) == (_events(3, 5), True)


# Guards against a number that no conversion takes: it was an exception in the
# middle of the stream.
async def test_number_beyond_all_limits_is_passed_on(fleet, http):
    digits = '9' * 5000
    body = b''.join((_TWO_EVENTS, f'id: {digits}\ndata: w3\n\n'.encode()))
    node = await _start(fleet, http, [ScriptedResponse(body=body)], engines=1)
    response = await _receive(node, 'digits')
    assert (response.status, response.body) == (200, body)
    assert (response.is_complete, response.rest) == (True, b'')


# Guards against a stream to a client that can't read chunks which ends in an
# exception: the client got 500 once the engine had run.
async def test_stream_for_an_old_client_gets_an_answer_with_its_id(fleet, http):
    node = await _start(fleet, http, [])
    fields = build_request_headers('old')
    request = build_bytes('/note/1', fields, REQUEST_BODY, version='1.0')
    response = parse_received(await receive_all(node.ip, node.port, request))
    assert (response.status, response.body) == (200, _WHOLE)
    assert response.headers['Attempt-Id'] == 'old'
    assert (response.is_complete, response.rest) == (True, b'')
    await wait_for_condition(
        lambda: '"stream complete"' in node.log_path.read_text(),
        'the answer is logged',
    )


# Guards against a client's invalid upload that is taken for our own error.
async def test_invalid_chunk_of_an_upload_is_the_clients_error(fleet, http):
    node = await _start(fleet, http, [])
    fields = {
        **build_request_headers('chunk'),
        'Connection': 'close',
        'Transfer-Encoding': 'chunked',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    head = f'POST /note/1 HTTP/1.1\r\n{lines}\r\n'.encode()
    request = b''.join((head, b'5\r\nabcde\r\nzz\r\n'))
    received = await exchange_bytes(node.ip, node.port, request)
    response = parse_bytes(received)
    assert (response.status, response.is_complete) == (400, True)
    assert count_runs(fleet, 'chunk') == 0
