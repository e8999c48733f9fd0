"""Test what the services endpoint counts and logs."""

import hashlib
from types import MappingProxyType

import logbook
import pytest
from aiohttp.test_utils import TestClient, TestServer, make_mocked_request
from result import Err, Ok

from arbutusbay import _http
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import new_application
from arbutusbay.router import RouterSettings
from arbutusbay.router._config_follower import install_config
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._rate_limits import Grant
from arbutusbay.router._services_api import ServicesApi
from arbutusbay.router._shared_state import RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import ConfigState, Resource, ResourceId, Route, Team
from tests.router_builders import build_rate_limits

_DIGEST = hashlib.sha256(b'secret').hexdigest()


def _build_api() -> ServicesApi:
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='hann')
    shared_state = RouterState(settings=RouterSettings(node=node))
    specs = {
        ResourceId(kind='team', name='t'): Team(api_key_digests=[_DIGEST]),
        ResourceId(kind='route', name='stock'): Route(pool='p'),
    }
    resources = {
        resource_id: Resource(id=resource_id, spec=spec, version=1)
        for resource_id, spec in specs.items()
    }
    install_config(
        shared_state,
        ConfigState(offset=1, resources=MappingProxyType(resources)),
    )
    return ServicesApi(
        shared_state=shared_state,
        service_caller=None,
        keyed_call_runner=None,
        metrics=RouterMetrics(),
        rate_limits=build_rate_limits(shared_state),
    )


# Guards against refused requests that neither metrics nor logs show, and
# against a metric that grows with each unknown route that a client names.
@pytest.mark.parametrize(
    ('route', 'headers', 'counted_route', 'outcome'),
    [
        ('stock', {'Authorization': 'Bearer no'}, 'stock', 'bad_api_key'),
        ('none', {'Authorization': 'Bearer secret'}, '', 'unknown_route'),
        (
            'stock',
            {'Authorization': 'Bearer secret', 'Idempotency-Key': 'k' * 256},
            'stock',
            'bad_request',
        ),
    ],
)
async def test_refused_request_is_counted_and_logged(
    route, headers, counted_route, outcome
):
    api = _build_api()
    request = make_mocked_request(
        'GET',
        f'/services/{route}/x',
        headers=headers,
        match_info={'route': route, 'path': 'x'},
    )
    with logbook.TestHandler() as handler:
        await api.handle_request(request)
    labels = {'route': counted_route, 'outcome': outcome}
    assert api.metrics.requests.get(labels) == 1
    fields = [record.kwargs['fields'] for record in handler.records]
    assert [line['decision'] for line in fields] == [outcome]
    assert fields[0]['route'] == route


# Guards against a refusal of a large body that leaves no trace, or that claims
# that the call did not run although an earlier attempt may have.
async def test_body_that_is_too_large_is_counted_and_logged(monkeypatch):
    monkeypatch.setattr(_http, '_MAX_BODY_BYTES', 10)
    api = _build_api()
    application = new_application()
    api.add_routes(application)
    with logbook.TestHandler() as handler:
        async with TestClient(TestServer(application)) as client:
            response = await client.post(
                '/services/stock/x',
                data=b'x' * 100,
                headers={
                    'Authorization': 'Bearer secret',
                    'Idempotency-Key': 'k',
                },
            )
            error = (await response.json())['error']
    assert (response.status, error['code']) == (413, 'body_too_large')
    assert error['run_state'] == 'outcome_unknown'
    labels = {'route': 'stock', 'outcome': 'body_too_large'}
    assert api.metrics.requests.get(labels) == 1
    assert handler.has_infos


class FailingCaller:
    """Fail each call in the same way."""

    def __init__(self, kind: ErrorKind) -> None:
        """Fail with ``kind``."""
        self.kind = kind

    async def send_idempotent(self, pool, call):
        """Return the failure."""
        return Err(Failure(kind=self.kind, detail='x'))


class RecordingLimits:
    """Grant each request and record what is given back."""

    def __init__(self) -> None:
        """Start with nothing given back."""
        self.returned: list[Grant] = []

    async def ask(self, team, **request):
        """Return a grant."""
        return Ok(Grant(team=team.name, cost=1, owner='vm-1'))

    def give_back(self, grant: Grant) -> None:
        """Record the grant."""
        self.returned.append(grant)


# Guards against a limit that is charged for calls which no server ran, and
# against one that is not charged for calls which may have run.
@pytest.mark.parametrize(
    ('kind', 'returned'),
    [(ErrorKind.NO_BACKEND_SERVER, 1), (ErrorKind.OUTCOME_UNKNOWN, 0)],
)
async def test_grant_of_a_call_that_did_not_run_goes_back(kind, returned):
    api = _build_api()
    api.rate_limits = RecordingLimits()
    api.service_caller = FailingCaller(kind)
    application = new_application()
    api.add_routes(application)
    async with TestClient(TestServer(application)) as client:
        await client.get(
            '/services/stock/x', headers={'Authorization': 'Bearer secret'}
        )
    assert len(api.rate_limits.returned) == returned
