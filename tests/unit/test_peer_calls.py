"""Test calls to peers over faulty connections and the message codec.

A call to a peer that closes the connection, stalls or sends invalid data has
to fail, and the next call has to succeed.
"""

import asyncio
import random
import subprocess
import sys

import pytest
from aiohttp import web
from result import Err, Ok

from arbutusbay.errors import ErrorKind
from arbutusbay.http import (
    call_peer,
    capnp_response,
    new_application,
    new_client_session,
)
from arbutusbay.wire import (
    EngineView,
    Heartbeat,
    LookupReply,
    LookupRequest,
    Member,
    decode_message,
    encode_message,
)
from tests.fault_proxy import FaultMode, running_proxy

_SEED = 5
_CORRUPTED_MESSAGES = 3000
_PROCESS_TIMEOUT_S = 60
_ENCODE_WITHOUT_FREE_DESCRIPTORS = """
import os
import resource
from arbutusbay.wire import LookupRequest, encode_message
resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
try:
    while True:
        os.open(os.devnull, os.O_RDONLY)
except OSError:
    encode_message(LookupRequest(pool='p', hashes=[1]))
"""
_REQUEST = LookupRequest(pool='p', hashes=[1, 2**64 - 1])
_REPLY = LookupReply(
    engines=[EngineView(name='e', incarnation='i', weights_version='v')],
)
_HEARTBEAT = Heartbeat(
    sender='vm-1',
    members=[Member(node='vm-1', host='h', zone='z', incarnation=2**60)],
)


@pytest.fixture
async def peer_url():
    """Return the URL of a peer that replies to every lookup."""
    application = new_application()
    application.router.add_post('/peer/lookup', _handle_lookup)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    yield f'http://127.0.0.1:{port}'
    await runner.cleanup()


async def _handle_lookup(request: web.Request) -> web.Response:
    await request.read()
    return capnp_response(_REPLY)


async def _call_peer(url: str):
    async with new_client_session() as session:
        return await call_peer(
            session,
            f'{url}/peer/lookup',
            _REQUEST,
            LookupReply,
            timeout_s=0.5,
        )


async def test_call_over_an_intact_connection_succeeds(peer_url):
    assert await _call_peer(peer_url) == Ok(_REPLY)


@pytest.mark.parametrize(
    'mode',
    [
        FaultMode.REFUSE,
        FaultMode.FREEZE,
        FaultMode.DROP_ANSWERS,
        FaultMode.GARBAGE,
    ],
)
async def test_faulty_connection_fails_only_the_current_call(peer_url, mode):
    async with running_proxy(peer_url) as proxy:
        proxy.mode = mode
        assert (await _call_peer(proxy.url)).is_err()
        proxy.mode = FaultMode.PASS
        assert (await _call_peer(proxy.url)).is_ok()


async def test_call_fails_if_the_connection_is_closed(peer_url):
    async with running_proxy(peer_url) as proxy:
        proxy.mode = FaultMode.FREEZE
        call = asyncio.create_task(_call_peer(proxy.url))
        while not proxy.writers:
            await asyncio.sleep(0)
        proxy.abort_connections()
        assert (await call).is_err()


@pytest.mark.parametrize('message', [_REQUEST, _REPLY, _HEARTBEAT])
def test_decoding_inverts_encoding(message):
    assert decode_message(type(message), encode_message(message)) == Ok(message)


@pytest.mark.parametrize('message', [_REQUEST, _REPLY, _HEARTBEAT])
def test_corrupted_message_is_rejected_or_decoded(message):
    rng = random.Random(_SEED)
    payload = encode_message(message)
    for _ in range(_CORRUPTED_MESSAGES):
        corrupted = bytearray(payload)
        for _ in range(rng.randint(1, 4)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        length = rng.randint(0, len(corrupted))
        match decode_message(type(message), bytes(corrupted[:length])):
            case Err(failure):
                assert failure.kind is ErrorKind.BAD_MESSAGE
            case Ok(decoded):
                assert isinstance(decoded, type(message))


def test_encoding_needs_no_free_file_descriptor():
    process = subprocess.run(
        [sys.executable, '-c', _ENCODE_WITHOUT_FREE_DESCRIPTORS],
        check=False,
        capture_output=True,
        timeout=_PROCESS_TIMEOUT_S,
    )
    assert process.returncode == 0, process.stderr
