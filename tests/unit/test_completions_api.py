"""Test what the completions endpoint logs about how a response ended."""

import asyncio
import contextlib

import logbook
import pytest
from aiohttp.test_utils import TestServer
from result import Err, Ok

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import new_application
from arbutusbay.router import _completions_api
from arbutusbay.router._rate_limits import Grant
from tests.raw_clients import build_bytes, exchange_bytes, parse_bytes
from tests.router_builders import (
    COMPLETION_HEADERS,
    COMPLETION_PATH,
    STREAM_BODY,
    ScriptedRun,
    build_completions_api,
)

_BROKEN = Failure(kind=ErrorKind.STREAM_BROKEN, detail='engine: cut')


class OneGrant:
    """Grant each completion, and keep the grants that come back."""

    def __init__(self) -> None:
        """Start without a grant that came back."""
        self.returned: list[Grant] = []

    async def ask(self, team, **described):
        """Grant a completion."""
        return Ok(Grant(team=team.name, cost=1, owner='vm-1'))

    def give_back(self, grant: Grant) -> None:
        """Record a grant that was not used."""
        self.returned.append(grant)


class BrokenLookup:
    """End the search for cached prefixes as a lost client does."""

    async def find_cached_depths(self, job):
        """Raise as if the handler of the request were cancelled."""
        raise asyncio.CancelledError


# Guards against a grant that is lost between its decision and the first
# attempt, such as that of a client who leaves in the lookup of its prefix.
async def test_grant_of_a_completion_that_ends_before_its_run_goes_back():
    api = build_completions_api()
    api.lookup = BrokenLookup()
    api.rate_limits = OneGrant()
    application = new_application()
    api.add_routes(application)
    request = build_bytes(COMPLETION_PATH, COMPLETION_HEADERS, STREAM_BODY)
    async with TestServer(application) as server:
        with contextlib.suppress(ConnectionError):
            await exchange_bytes(server.host, server.port, request)
    assert [grant.owner for grant in api.rate_limits.returned] == ['vm-1']


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
    build_completions_api().add_routes(application)
    request = build_bytes(COMPLETION_PATH, COMPLETION_HEADERS, STREAM_BODY)
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
