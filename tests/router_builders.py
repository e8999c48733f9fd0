"""Build the completions endpoint without engines, and runs for it."""

import hashlib
from types import MappingProxyType, SimpleNamespace

from result import Ok

from arbutusbay.backend import TextPiece
from arbutusbay.router import RouterSettings
from arbutusbay.router._completions_api import CompletionsApi
from arbutusbay.router._config_follower import install_config
from arbutusbay.router._generation_run import RunProgress
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._rate_limits import RateLimits
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

_DIGEST = hashlib.sha256(b'secret').hexdigest()
COMPLETION_PATH = '/v1/completions'
COMPLETION_HEADERS = MappingProxyType(
    {'Host': 'test', 'Authorization': 'Bearer secret'}
)
STREAM_BODY = b'{"model": "m", "prompt": "x", "stream": true}'


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


def build_completions_api() -> CompletionsApi:
    """Return an API with one team, route and pool, and no engines."""
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
        rate_limits=build_rate_limits(shared_state),
    )


def build_rate_limits(shared_state: RouterState) -> RateLimits:
    """Return the limits of teams that have none, so that nobody is asked."""
    return RateLimits(
        shared_state=shared_state, session=None, metrics=RouterMetrics()
    )
