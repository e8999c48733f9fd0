"""Call a peer that closes, stalls or sends garbage in the middle."""

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
    new_session,
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
from tests.fault_proxy import Mode, running_proxy

_SEED = 5
_CORRUPTIONS = 3000
_TIMEOUT_S = 60
_ENCODE_WITHOUT_DESCRIPTORS = """
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
    """Return the URL of a peer that answers every lookup."""
    application = new_application()
    application.router.add_post('/peer/lookup', _answer)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    yield f'http://127.0.0.1:{port}'
    await runner.cleanup()


async def _answer(request: web.Request) -> web.Response:
    await request.read()
    return capnp_response(_REPLY)


async def _call(url: str):
    async with new_session() as session:
        return await call_peer(
            session,
            f'{url}/peer/lookup',
            _REQUEST,
            LookupReply,
            timeout_s=0.5,
        )


async def test_undisturbed_call(peer_url):
    assert await _call(peer_url) == Ok(_REPLY)


@pytest.mark.parametrize(
    'mode',
    [Mode.REFUSE, Mode.FREEZE, Mode.DROP_ANSWERS, Mode.GARBAGE],
)
async def test_disturbed_call_fails_and_the_next_succeeds(peer_url, mode):
    async with running_proxy(peer_url) as proxy:
        proxy.mode = mode
        assert (await _call(proxy.url)).is_err()
        proxy.mode = Mode.PASS
        assert (await _call(proxy.url)).is_ok()


async def test_call_cut_in_the_middle(peer_url):
    async with running_proxy(peer_url) as proxy:
        proxy.mode = Mode.FREEZE
        calling = asyncio.create_task(_call(proxy.url))
        while not proxy.writers:
            await asyncio.sleep(0)
        proxy.cut()
        assert (await calling).is_err()


@pytest.mark.parametrize('message', [_REQUEST, _REPLY, _HEARTBEAT])
def test_messages_survive_the_wire(message):
    assert decode_message(type(message), encode_message(message)) == Ok(message)


@pytest.mark.parametrize('message', [_REQUEST, _REPLY, _HEARTBEAT])
def test_corrupted_messages_are_refused_or_parsed(message):
    rng = random.Random(_SEED)
    payload = encode_message(message)
    for _ in range(_CORRUPTIONS):
        damaged = bytearray(payload)
        for _ in range(rng.randint(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        cut = rng.randint(0, len(damaged))
        match decode_message(type(message), bytes(damaged[:cut])):
            case Err(failure):
                assert failure.kind is ErrorKind.BAD_MESSAGE
            case Ok(parsed):
                assert isinstance(parsed, type(message))


def test_messages_are_encoded_without_a_free_descriptor():
    ended = subprocess.run(
        [sys.executable, '-c', _ENCODE_WITHOUT_DESCRIPTORS],
        check=False,
        capture_output=True,
        timeout=_TIMEOUT_S,
    )
    assert ended.returncode == 0, ended.stderr
