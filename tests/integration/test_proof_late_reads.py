"""Check what a VM does with requests that it reads long after they arrived.

The daemon is stopped with SIGSTOP, so what clients send meanwhile lies in its
sockets, as it does when its event loop is behind. The tests guard against
engines that work for clients who have left, and against deadlines that are
counted from the reading of a request instead of its arrival.
"""

import asyncio
import contextlib
import signal
import time
from types import MappingProxyType

from tests.fleet_builders import (
    PLAIN_HOST,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    REQUEST_BODY,
    all_runs,
    count_runs,
    request_service,
    request_stream,
)
from tests.raw_clients import parse_bytes

CLIENTS = 12
TARGETS = (('/ask/1', None), ('/order/1', PLAIN_HOST), ('/look/1', PLAIN_HOST))
STOPPED_S = 1.0
SETTLED_S = 0.4
MAX_DEADLINE_ERROR_MS = 150
SHORT_DEADLINE = MappingProxyType({'Deadline-Ms': '500'})
READ_LIMIT_S = 5.0
CHUNKED_BODY = b'5\r\n{"pro\r\na\r\nmpt": "x"}\r\n0\r\n\r\n'


def build_bytes(
    attempt_id, path, *, host=None, is_chunked=False, **headers
) -> bytes:
    """Return a whole request as a client sends it."""
    options = {'host': host} if host else {}
    fields = build_request_headers(attempt_id, **options, **headers)
    if is_chunked:
        fields['Transfer-Encoding'] = 'chunked'
    else:
        fields['Content-Length'] = str(len(REQUEST_BODY))
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    body = CHUNKED_BODY if is_chunked else REQUEST_BODY
    return f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


async def connect(node):
    """Open a raw connection to the client API."""
    return await asyncio.open_connection(node.ip, node.port)


async def read_response(reader) -> tuple[int, bytes]:
    """Read one response with a length or in chunks."""
    async with asyncio.timeout(READ_LIMIT_S):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        status = int(head.split()[1])
        fields = dict(
            line.lower().split(': ', 1) for line in head.splitlines()[1:-1]
        )
        length = fields.get('content-length')
        if length is None:
            return status, await reader.readuntil(b'0\r\n\r\n')
        return status, await reader.readexactly(int(length))


@contextlib.contextmanager
def stopped(node):
    """Stop the daemon for the block."""
    node.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        node.process.send_signal(signal.SIGCONT)


async def send_and_leave(node, case, path, host, *, is_kept) -> None:
    """Let clients send a request and close while the daemon is stopped."""
    connections = []
    if is_kept:
        connections = [await connect(node) for _ in range(CLIENTS)]
        await asyncio.sleep(0.1)
    with stopped(node):
        if not is_kept:
            connections = [await connect(node) for _ in range(CLIENTS)]
        for number, (_, writer) in enumerate(connections):
            request = build_bytes(f'{case} {number}', path, host=host)
            writer.write(request)
            await writer.drain()
            writer.close()
        await asyncio.sleep(STOPPED_S)


async def warm_up(fleet, http, node):
    """Leave idle connections to all engines in the pool of the daemon."""
    await asyncio.gather(
        *(request_stream(http, node, f'w{number}') for number in range(CLIENTS))
    )
    await asyncio.gather(
        *(
            request_service(http, node, f'v{number}')
            for number in range(CLIENTS)
        )
    )


# Guards against work for clients that left before their request was read, on
# new and on kept connections, of streams, orders and lookups.
async def test_request_of_a_client_that_has_left_is_not_sent(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    await warm_up(fleet, http, node)
    runs = {}
    for path, host in TARGETS:
        for is_kept in (True, False):
            case = f'{path} {is_kept}'
            await send_and_leave(node, case, path, host, is_kept=is_kept)
            await wait_until_ready([node], http)
            assert (await request_service(http, node, f'after {case}'))[
                0
            ] == 200
            assert (await request_stream(http, node, f'too {case}'))[0] == 200
            await asyncio.sleep(SETTLED_S)
            runs[case] = sum(
                count_runs(fleet, f'{case} {number}')
                for number in range(CLIENTS)
            )
    assert not any(runs.values()), runs


# Guards against work for clients that left while their request was queued.
async def test_queued_request_of_a_client_that_has_left_is_not_sent(
    fleet, http
):
    node = await start_single_node(
        fleet, engines=1, slots=1, event_s=0.1, events=8
    )
    await wait_until_ready([node], http)
    running = asyncio.create_task(request_stream(http, node, 'first'))
    while not count_runs(fleet, 'first'):
        await asyncio.sleep(0.02)
    connections = [await connect(node) for _ in range(CLIENTS)]
    for number, (_, writer) in enumerate(connections):
        writer.write(build_bytes(f'q{number}', '/ask/1'))
    while node.log_path.read_text().count('waits for an engine') < CLIENTS:
        await asyncio.sleep(0.02)
    with stopped(node):
        for _, writer in connections:
            writer.close()
        await asyncio.sleep(STOPPED_S)
    assert (await running)[0] == 200
    assert (await request_stream(http, node, 'after'))[0] == 200
    await asyncio.sleep(SETTLED_S)
    runs = [count_runs(fleet, f'q{number}') for number in range(CLIENTS)]
    assert not any(runs)


# Guards against refusing clients that only sent while the VM was suspended, on
# new and on kept connections, with bodies in one piece and in chunks.
async def test_request_of_a_client_that_waits_is_served(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    kept = {}
    for is_chunked in (False, True):
        reader, writer = await connect(node)
        request = build_bytes('s0', '/ask/1', is_chunked=is_chunked)
        writer.write(request)
        assert (await read_response(reader))[0] == 200
        kept[is_chunked] = (reader, writer)
    with stopped(node):
        new = {is_chunked: await connect(node) for is_chunked in (False, True)}
        for name, connections in (('kept', kept), ('new', new)):
            for is_chunked, (_, writer) in connections.items():
                for number in (1, 2):
                    writer.write(
                        build_bytes(
                            f'{name}-{is_chunked}-{number}',
                            '/order/1',
                            host=PLAIN_HOST,
                            is_chunked=is_chunked,
                        )
                    )
        await asyncio.sleep(STOPPED_S)
    for reader, writer in (*kept.values(), *new.values()):
        assert (await read_response(reader))[0] == 200
        assert (await read_response(reader))[0] == 200
        writer.close()
    bodies = {run.attempt_id: run.body for run in all_runs(fleet)}
    assert len(bodies) == 9
    assert set(bodies.values()) == {REQUEST_BODY}


# Guards against no answer, or a false one, to a client that only ended its
# sending side.
async def test_client_that_ended_its_sending_side_gets_no_false_answer(
    fleet, http
):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    await warm_up(fleet, http, node)
    connections = [await connect(node) for _ in range(CLIENTS)]
    await asyncio.sleep(SETTLED_S)
    with stopped(node):
        for number, (_, writer) in enumerate(connections):
            writer.write(build_bytes(f'h{number}', '/ask/1'))
            writer.write_eof()
        await asyncio.sleep(STOPPED_S)
    async with asyncio.timeout(READ_LIMIT_S):
        answers = [await reader.read() for reader, _ in connections]
    for _, writer in connections:
        writer.close()
    refusals = [parse_bytes(answer) for answer in answers]
    assert {refusal.status for refusal in refusals} == {503}
    assert all(refusal.is_complete for refusal in refusals)
    assert not any(refusal.rest for refusal in refusals)
    runs = [count_runs(fleet, f'h{number}') for number in range(CLIENTS)]
    assert not any(runs)


# Guards against handing engines the time that passed before the reading.
async def test_deadline_counts_from_the_arrival(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    with stopped(node):
        reader, writer = await connect(node)
        writer.write(build_bytes('d1', '/ask/1'))
        sent_s = time.monotonic()
        await asyncio.sleep(STOPPED_S)
    passed_ms = (time.monotonic() - sent_s) * 1000
    assert (await read_response(reader))[0] == 200
    writer.close()
    run = next(run for run in all_runs(fleet) if run.attempt_id == 'd1')
    left_ms = 5000 - passed_ms
    handed_ms = int(run.headers['Deadline-Ms'])
    assert handed_ms <= left_ms + MAX_DEADLINE_ERROR_MS


# Guards against engines that run requests whose deadline passed unread.
async def test_request_read_after_its_deadline_is_refused(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    with stopped(node):
        reader, writer = await connect(node)
        writer.write(build_bytes('x1', '/ask/1', **SHORT_DEADLINE))
        await asyncio.sleep(STOPPED_S)
    assert (await read_response(reader))[0] == 503
    writer.close()
    assert count_runs(fleet, 'x1') == 0
