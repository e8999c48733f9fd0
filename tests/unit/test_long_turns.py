"""Check that one stream of our own edge leaves the event loop to others."""

import json

from arbutusbay.backend import EngineClient
from arbutusbay.http import new_client_session
from emulator.raw_response import Framing, build_response
from tests.builders import build_generation
from tests.pause_clock import running_pause_clock
from tests.raw_servers import RawServer, running_raw_server

_PIECES = 50_000
_ENCODED_COPIES = 40
# The target of letter 1 between two tokens.
_MAX_PAUSE_S = 0.063


def _relay(event) -> None:
    """Take about as long as a relay that encodes each event."""
    json.dumps(str(event) * _ENCODED_COPIES)


# Guards against an engine that sends sound pieces faster than they are relayed:
# all that had arrived was handled before any other client was.
async def test_pieces_without_pause_delay_no_other_task():
    generation = build_generation()
    line = b'{"attempt":"%b","type":"piece","index":%%d,"text":"w"}\n'
    line %= generation.attempt.encode()
    first = generation.resume_from
    body = b''.join(line % index for index in range(first, first + _PIECES))
    server = RawServer(response=build_response(Framing.CONNECTION, body))
    received = []
    async with (
        running_raw_server(server),
        new_client_session() as session,
        running_pause_clock() as clock,
    ):
        client = EngineClient(session=session, url=server.url)
        async for event in client.generate(generation):
            _relay(event)
            received.append(event)
    assert len(received) == _PIECES + 1
    assert clock.longest_s < _MAX_PAUSE_S
