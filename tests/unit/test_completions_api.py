"""Test what the completions endpoint logs about how a response ended."""

import hashlib
from types import MappingProxyType, SimpleNamespace

import logbook
import pytest
from aiohttp.test_utils import TestServer
from result import Err, Ok

from arbutusbay.backend import TextPiece
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import new_application
from arbutusbay.router import RouterSettings, _completions_api
from arbutusbay.router._completions_api import CompletionsApi
from arbutusbay.router._config_follower import install_config
from arbutusbay.router._generation_run import RunProgress
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._shared_state import RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import (
    ConfigState,
    Pool,
    Resource,
    ResourceId,
    Route,
    Team,
)
from tests.raw_clients import build_bytes, exchange_bytes, parse_bytes

_DIGEST = hashlib.sha256(b'secret').hexdigest()
_BODY = b'{"model": "m", "prompt": "x", "stream": true}'
_BROKEN = Failure(kind=ErrorKind.STREAM_BROKEN, detail='engine: cut')


class ScriptedRun:
    """Yield one piece of output and then what the test wants."""

    last = None

    def __init__(self, *, request, **others) -> None:
        """Run ``request`` without any engine."""
        self.request = request
        self.progress = RunProgress(relayed_pieces=1)

    async def relay(self):
        """Yield a piece, then ``last``; raise it if it is an exception."""
        yield Ok(TextPiece(index=0, text='a'))
        if isinstance(self.last, Exception):
            raise self.last
        yield self.last


class NoLookup:
    """Find no cached prefix."""

    async def find_cached_depths(self, job):
        """Return that no engine has any of it."""
        return SimpleNamespace(by_engine={})


def _build_api() -> CompletionsApi:
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='hann')
    shared_state = RouterState(settings=RouterSettings(node=node))
    specs = {
        ResourceId(kind='team', name='t'): Team(api_key_digests=[_DIGEST]),
        ResourceId(kind='route', name='m'): Route(pool='p'),
        ResourceId(kind='pool', name='p'): Pool(
            model='m', weights_version='v1'
        ),
    }
    resources = {
        resource_id: Resource(id=resource_id, spec=spec, version=1)
        for resource_id, spec in specs.items()
    }
    install_config(
        shared_state,
        ConfigState(offset=1, resources=MappingProxyType(resources)),
    )
    return CompletionsApi(
        shared_state=shared_state,
        dispatcher=None,
        lookup=NoLookup(),
        metrics=RouterMetrics(),
        session=None,
    )


# Guards against an error in the program that is logged and counted as a client
# who left, and against an end of a stream that looks like another one.
@pytest.mark.parametrize(
    ('last', 'decision', 'detail', 'is_complete'),
    [
        (KeyError('x'), 'internal', "KeyError('x')", False),
        (Err(_BROKEN), 'stream_broken', 'engine: cut', True),
    ],
)
async def test_end_of_a_begun_stream_is_logged_with_its_cause(
    monkeypatch, last, decision, detail, is_complete
):
    monkeypatch.setattr(ScriptedRun, 'last', last)
    monkeypatch.setattr(_completions_api, 'GenerationRun', ScriptedRun)
    application = new_application()
    _build_api().add_routes(application)
    headers = {'Host': 'test', 'Authorization': 'Bearer secret'}
    request = build_bytes('/v1/completions', headers, _BODY)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        async with TestServer(application) as server:
            received = await exchange_bytes(server.host, server.port, request)
    response = parse_bytes(received)
    assert (response.is_complete, response.rest) == (is_complete, b'')
    assert b'[DONE]' not in response.body
    line = next(
        record.kwargs['fields']
        for record in handler.records
        if record.message == 'completion'
    )
    assert (line['decision'], line['detail']) == (decision, detail)
