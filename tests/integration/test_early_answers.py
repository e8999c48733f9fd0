"""Check that no client gets an answer that an engine did not give.

An engine answers a long upload at once and resets the connection while it is
still being written, or answers with a status that is none.
"""

import itertools
from collections import deque

import attrs
import pytest

from emulator.fleet import wait_for_condition
from emulator.raw_response import Ending, Framing, PartialResponse
from tests.fleet_builders import (
    ENGINE_HOST,
    build_configuration,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import complete_stream_text, count_runs
from tests.integration.test_partial_answers import _KINDS, Kind, looks_whole
from tests.raw_clients import build_bytes, parse_received, receive_all

_UPLOAD = b'u' * 4_000_000
_RECEIVE_BUFFER_BYTES = 65_536
_TRIES = 3
_ALL = 9
_SHORT = b'{"prompt": "x"}'
_LAST_EVENT_BYTES = len(complete_stream_text(1))
_FAILURES = frozenset((500, 502, 504))
_STATUSES = ('000', '099', '101', '199', '600', '999', '-200', 'abc', '2000')
each_kind = pytest.mark.parametrize('name', _KINDS)
each_repeatable = pytest.mark.parametrize('name', ['look', 'note'])


async def ask(node, kind: Kind, attempt_id: str, body: bytes):
    """Send one request; return the answer, None if there was none."""
    headers = build_request_headers(attempt_id, host=kind.host)
    received = await receive_all(
        node.ip, node.port, build_bytes(kind.path, headers, body)
    )
    return parse_received(received) if received.content else None


@pytest.fixture
async def node(fleet, http):
    """Yield a VM before two engines and two plain servers.

    Their kernel takes little of an upload that they don't read.
    """
    fleet.receive_buffer_bytes = _RECEIVE_BUFFER_BYTES
    started = await start_single_node(fleet, engines=2, plain=2)
    await wait_until_ready([started], http)
    limits = build_configuration()['limits']
    fleet.configure(
        build_configuration(
            2, limits={**limits, 'max_body_bytes': len(_UPLOAD)}
        )
    )
    await wait_for_condition(
        lambda: '"version":2' in started.log_path.read_text(), 'limits'
    )
    return started


def script(fleet, partial: PartialResponse, *, answers: int) -> None:
    """Let the next requests of all servers get so many such answers."""
    responses = deque(itertools.repeat(partial, answers))
    for engine in fleet.engines:
        engine.scripted_responses = responses


def early(kind: Kind, *, ends_side: bool) -> PartialResponse:
    """Return the part of an answer that comes before the upload was read."""
    whole = kind.partial(Framing.CONNECTION, Ending.RESET)
    return attrs.evolve(
        whole,
        missing_bytes=_LAST_EVENT_BYTES if kind.host == ENGINE_HOST else 2,
        is_early=True,
        ends_side=ends_side,
    )


# Guards against a part of an answer, without a length, that counts as whole as
# its engine ended its side, or reset the connection, within the upload.
@each_kind
@pytest.mark.parametrize('ends_side', [False, True], ids=['reset', 'shut'])
async def test_answer_that_ends_within_the_upload_is_not_whole(
    fleet, node, name, ends_side
):
    kind = _KINDS[name]
    for number in range(_TRIES):
        script(fleet, early(kind, ends_side=ends_side), answers=_ALL)
        attempt_id = f'{name}-{number}'
        answer = await ask(node, kind, attempt_id, _UPLOAD)
        assert not looks_whole(answer), answer
        assert answer is None or answer.status in {200, *_FAILURES}
        if not kind.is_repeatable:
            assert count_runs(fleet, attempt_id) == 1


# Guards against a request that may be repeated and is not, behind such a part.
@each_repeatable
@pytest.mark.parametrize('ends_side', [False, True], ids=['reset', 'shut'])
async def test_request_goes_on_behind_an_early_answer(
    fleet, node, name, ends_side
):
    kind = _KINDS[name]
    script(fleet, early(kind, ends_side=ends_side), answers=1)
    answer = await ask(node, kind, name, _UPLOAD)
    assert looks_whole(answer)
    assert answer.body != kind.body[:-_LAST_EVENT_BYTES]
    assert count_runs(fleet, name) == 2


# Guards against an answer whose status is none that reaches a client, or that
# counts as a request which was not run.
@each_kind
@pytest.mark.parametrize('status', _STATUSES)
async def test_status_that_is_none_is_no_answer(fleet, node, name, status):
    kind = _KINDS[name]
    bad = attrs.evolve(
        kind.partial(Framing.LENGTH, Ending.CLOSED), status=status
    )
    script(fleet, bad, answers=_ALL)
    answer = await ask(node, kind, name, _SHORT)
    assert answer.status in _FAILURES
    if not kind.is_repeatable:
        assert count_runs(fleet, name) == 1


# Guards against the same as the answer to a repetition, and against one that is
# kept as the answer in hand.
@each_repeatable
@pytest.mark.parametrize('status', _STATUSES)
async def test_request_goes_on_behind_a_status_that_is_none(
    fleet, node, name, status
):
    kind = _KINDS[name]
    bad = attrs.evolve(
        kind.partial(Framing.LENGTH, Ending.CLOSED), status=status
    )
    script(fleet, bad, answers=1)
    answer = await ask(node, kind, name, _SHORT)
    assert looks_whole(answer)
    assert count_runs(fleet, name) == 2
