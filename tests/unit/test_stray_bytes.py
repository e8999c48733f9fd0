"""Check that bytes after a response are no response to the next request."""

import asyncio

import pytest

from arbutusbay.http import call_peer, new_client_session
from arbutusbay.node._http_client import create_client_session
from arbutusbay.wire import (
    EngineView,
    LookupReply,
    LookupRequest,
    encode_message,
)
from emulator.raw_response import Framing, build_response
from tests.raw_servers import RepeatingServer, running_raw_server

_CALL_S = 3.0
_COPY_AFTER_S = 0.02
_PAUSE_S = 0.1
_CALLS = 3
_REQUEST = LookupRequest(pool='p', hashes=[])


def build_reply(number: int) -> LookupReply:
    """Return the reply to the call of that number."""
    view = EngineView(name=f'e{number}', incarnation='i', weights_version='v')
    return LookupReply(engines=[view])


def build_numbered_response(number: int) -> bytes:
    """Return the response to the call of that number."""
    return build_response(
        Framing.LENGTH,
        encode_message(build_reply(number)),
        headers={'Content-Type': 'application/capnp'},
    )


# Guards against a late second copy of a response that is taken for the response
# to the next request on the same connection.
@pytest.mark.parametrize(
    'open_session', [new_client_session, create_client_session]
)
async def test_late_copy_of_a_response_answers_no_other_call(open_session):
    server = RepeatingServer(
        build=build_numbered_response, copy_after_s=_COPY_AFTER_S
    )
    replies = []
    async with running_raw_server(server), open_session() as session:
        for _ in range(_CALLS):
            reply = await call_peer(
                session, server.url, _REQUEST, LookupReply, timeout_s=_CALL_S
            )
            replies.append(reply.unwrap())
            await asyncio.sleep(_PAUSE_S)
    assert replies == [build_reply(number + 1) for number in range(_CALLS)]
    assert server.connections == 2
