"""Check that no client takes a part of an engine's answer for the whole.

Engines send the first bytes of an answer, up to each byte of its head and body,
and close or reset the connection.
"""

import asyncio
import json
from collections import deque
from types import MappingProxyType

import attrs
import pytest

from emulator.raw_response import Ending, Framing, PartialResponse
from tests.fleet_builders import (
    ENGINE_HOST,
    PLAIN_HOST,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import REQUEST_BODY, complete_stream_text, count_runs
from tests.raw_clients import build_bytes, parse_received, receive_all

_WHOLE_TEXT = b'whole'
_WHOLE_STREAM = complete_stream_text(2).encode()
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_STEP_BYTES = 7
_MAX_ANSWER_BYTES = 320
_BEGUN_S = 0.5
_CLOSE_SEEN_S = 0.1
_LAST_EVENT_BYTES = len(complete_stream_text(1))


@attrs.frozen(kw_only=True)
class Kind:
    """Describe a kind of request and the body that answers it."""

    path: str
    host: str
    body: bytes
    content_type: str
    is_repeatable: bool

    def partial(
        self, framing: Framing, ending: Ending, interim: bytes = b''
    ) -> PartialResponse:
        """Return the whole answer, to be cut."""
        return PartialResponse(
            framing=framing,
            content_type=self.content_type,
            body=self.body,
            ending=ending,
            interim=interim,
        )


def _plain(path: str, *, is_repeatable: bool) -> Kind:
    return Kind(
        path=path,
        host=PLAIN_HOST,
        body=_WHOLE_TEXT,
        content_type='text/plain',
        is_repeatable=is_repeatable,
    )


def _stream(path: str, *, is_repeatable: bool) -> Kind:
    return Kind(
        path=path,
        host=ENGINE_HOST,
        body=_WHOLE_STREAM,
        content_type='text/event-stream',
        is_repeatable=is_repeatable,
    )


_KINDS = MappingProxyType(
    {
        'order': _plain('/order/1', is_repeatable=False),
        'look': _plain('/look/1', is_repeatable=True),
        'ask': _stream('/ask/1', is_repeatable=False),
        'note': _stream('/note/1', is_repeatable=True),
    }
)


async def ask(node, kind: Kind, attempt_id: str, version: str = '1.1'):
    """Send one request; return the answer, None if there was none."""
    headers = build_request_headers(attempt_id, host=kind.host)
    received = await receive_all(
        node.ip,
        node.port,
        build_bytes(kind.path, headers, REQUEST_BODY, version=version),
    )
    return parse_received(received) if received.content else None


def script(fleet, partial: PartialResponse) -> None:
    """Let each engine answer with ``partial``, also a second attempt."""
    for engine in fleet.engines:
        engine.scripted_responses = deque((partial, partial))


def looks_whole(answer) -> bool:
    """Return whether a client takes the answer for a whole success."""
    return answer is not None and answer.status == 200 and answer.is_complete


async def find_whole(fleet, node, kind: Kind, partials) -> list[int]:
    """Return how many bytes were missing where a client got a whole success.

    Check that requests that may run only once ran once.
    """
    found = []
    for partial in partials:
        script(fleet, partial)
        attempt_id = f'{kind.path}-{partial.missing_bytes}'
        answer = await ask(node, kind, attempt_id)
        if looks_whole(answer):
            found.append(partial.missing_bytes)
        if not kind.is_repeatable:
            assert count_runs(fleet, attempt_id) == 1, answer
    return found


def cut(whole: PartialResponse, first_missing: int):
    """Yield ``whole`` without its last bytes, from ``first_missing`` on."""
    for missing_bytes in range(first_missing, _MAX_ANSWER_BYTES, _STEP_BYTES):
        yield attrs.evolve(whole, missing_bytes=missing_bytes)


@pytest.fixture
async def node(fleet, http):
    """Yield a VM with one engine and one plain server."""
    started = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([started], http)
    return started


# Guards against an answer that stopped in its head or body and reaches the
# client as a whole success, framed as complete.
@pytest.mark.parametrize('name', _KINDS)
@pytest.mark.parametrize('ending', Ending)
@pytest.mark.parametrize(
    ('framing', 'interim'),
    [
        (Framing.LENGTH, b''),
        (Framing.LENGTH, _EARLY_HINTS),
        (Framing.CHUNKS, b''),
    ],
    ids=['length', 'length-after-hints', 'chunks'],
)
async def test_answer_with_an_end_counts_only_up_to_it(
    fleet, node, name, ending, framing, interim
):
    kind = _KINDS[name]
    whole = kind.partial(framing, ending, interim)
    assert await find_whole(fleet, node, kind, cut(whole, 1)) == []


# Guards against the same for an answer with neither a length nor chunks: a head
# that stops, and a body whose connection is reset.
@pytest.mark.parametrize('name', _KINDS)
@pytest.mark.parametrize('ending', Ending)
@pytest.mark.parametrize(
    'framing', [Framing.CONNECTION, Framing.OLD_CONNECTION]
)
async def test_answer_that_its_connection_ends_counts_only_if_closed(
    fleet, node, name, ending, framing
):
    kind = _KINDS[name]
    whole = kind.partial(framing, ending)
    is_reset = ending is Ending.RESET
    first_missing = 0 if is_reset else len(kind.body) + 1
    assert await find_whole(fleet, node, kind, cut(whole, first_missing)) == []
    if not is_reset:
        assert await find_whole(fleet, node, kind, [whole]) == [0]


# Guards against a stream that a clean close ends within an event, and that
# counts as whole.
@pytest.mark.parametrize('name', ['ask', 'note'])
async def test_stream_that_is_closed_within_an_event_is_not_whole(
    fleet, node, name
):
    kind = _KINDS[name]
    whole = kind.partial(Framing.CONNECTION, Ending.CLOSED)
    cuts = [
        attrs.evolve(whole, missing_bytes=missing_bytes)
        for missing_bytes in range(1, _LAST_EVENT_BYTES)
    ]
    assert await find_whole(fleet, node, kind, cuts) == []


# Guards against an answer to a client of HTTP/1.0, which ends with its
# connection, whose cut looks like its end: that connection must be reset.
@pytest.mark.parametrize('name', _KINDS)
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('is_whole', [True, False])
async def test_cut_is_visible_to_clients_of_any_version(
    fleet, node, name, version, is_whole
):
    kind = _KINDS[name]
    partial = attrs.evolve(
        kind.partial(Framing.CHUNKS, Ending.RESET),
        missing_bytes=0 if is_whole else _LAST_EVENT_BYTES,
    )
    script(fleet, partial)
    answer = await ask(node, kind, 'r', version)
    assert looks_whole(answer) is is_whole


# Guards against the same where the VM ends at once, and its kernel closes the
# connections: that must not look like the end of a stream either.
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_stream_of_a_vm_that_is_killed_is_not_whole(fleet, node, version):
    fleet.engines[0].options = attrs.evolve(
        fleet.engines[0].options, events=20, event_s=0.1
    )
    asking = asyncio.create_task(ask(node, _KINDS['ask'], 'k', version))
    await asyncio.sleep(_BEGUN_S)
    node.process.kill()
    answer = await asking
    assert answer.status == 200
    assert answer.body
    assert not looks_whole(answer)


# Guards against logs in which a whole answer and one whose end nothing but its
# connection showed look alike.
@pytest.mark.parametrize(
    ('framing', 'shown'),
    [
        (Framing.LENGTH, 'length'),
        (Framing.CHUNKS, 'chunks'),
        (Framing.CONNECTION, 'connection'),
    ],
)
@pytest.mark.parametrize('name', ['order', 'ask'])
async def test_log_names_what_showed_the_end(fleet, node, name, framing, shown):
    kind = _KINDS[name]
    whole = kind.partial(framing, Ending.CLOSED)
    script(fleet, whole)
    assert looks_whole(await ask(node, kind, 'whole'))
    # The engine closes a connection that the VM may use again until it sees it.
    await asyncio.sleep(_CLOSE_SEEN_S)
    script(fleet, attrs.evolve(whole, ending=Ending.RESET, missing_bytes=1))
    assert not looks_whole(await ask(node, kind, 'cut'))
    lines = [
        json.loads(line) for line in node.log_path.read_text().splitlines()
    ]
    ended = {
        (line['message'], line['request_id']): line['body_end']
        for line in lines
        if 'body_end' in line
    }
    assert ended['request ended', 'whole'] == shown
    assert ended['attempt failed', 'cut'] == shown
