"""Show that odd numbers and texts in headers and events cost no other request.

They come from a client, in the headers of its request, or from an engine, in
the headers and events of its response.
"""

import asyncio
import json

import pytest

from emulator.fleet_engine import EngineFault
from tests.fleet_builders import (
    build_raw_request,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import REQUEST_BODY, request_stream

_ANSWER_S = 3.0
_NINES = '9' * 5000
_ODD_HEADERS = (
    f'Prompt-Prefix: aa:{_NINES}'.encode(),
    b'Prompt-Prefix: \xff\xfe:100,bb:100',
    b'Prompt-Prefix: aa:\xef\xbc\x91',
    b'Token-Counts: 1e300,1e300',
    f'Token-Counts: {_NINES[:300]},1'.encode(),
    b'Token-Counts: nan,inf',
    b'Last-Event-Id: 1e300',
    f'Last-Event-Id: {_NINES}'.encode(),
    b'Token-Counts: 1,1',
    b'Deadline-Ms: 1e300',
    b'Model: \xff',
    b'X-Other: \xff\xfe',
    b'Attempt-Id: \xff\xfe',
)


def build_odd_request(number: int, odd: bytes) -> bytes:
    """Return a request for a stream with one header replaced by ``odd``."""
    head, _, body = build_raw_request(
        '/ask/1', f'odd-{number}', REQUEST_BODY
    ).partition(b'\r\n\r\n')
    name = odd.partition(b' ')[0]
    lines = [line for line in head.split(b'\r\n') if not line.startswith(name)]
    return b'\r\n'.join((*lines, odd, b'', body))


async def send_raw(node, request: bytes) -> int:
    """Send a request on a connection of its own and return the status."""
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    writer.write(request)
    line = await asyncio.wait_for(reader.readline(), _ANSWER_S)
    await asyncio.sleep(0)
    writer.close()
    return int(line.split()[1])


def error_lines(node) -> list[str]:
    """Return the log lines of a daemon that report an unexpected error."""
    lines = [
        json.loads(line) for line in node.log_path.read_text().splitlines()
    ]
    return [
        str(line.get('exception', line['message']))
        for line in lines
        if line['level'] == 'ERROR' or 'exception' in line
    ]


# Guards against 500 for a header that can be ignored, and against a VM whose
# reports to the others fail while the request is at work.
@pytest.mark.parametrize('odd', _ODD_HEADERS, ids=range(len(_ODD_HEADERS)))
async def test_odd_headers_of_a_client_are_ignored(fleet, http, odd):
    nodes = await start_fleet(fleet, engines=2, nodes=2, events=10, event_s=0.1)
    await wait_until_ready(nodes, http)
    status = await send_raw(nodes[0], build_odd_request(1, odd))
    assert status != 500
    assert (await request_stream(http, nodes[0], 's1'))[0] == 200
    assert not error_lines(nodes[0])


# Guards against a stream that is cut because of an id that is no number.
async def test_odd_event_id_does_not_cut_the_stream(fleet, http):
    nodes = await start_fleet(fleet, engines=1)
    await wait_until_ready(nodes, http)
    fleet.engines[0].inject_fault(EngineFault.ODD_EVENT, 1)
    status, text, _ = await request_stream(http, nodes[0], 'e1')
    assert status == 200
    assert text.endswith('data: w5\n\n')
    assert not error_lines(nodes[0])
