"""Check how routers of our own interface apply the limits of teams."""

import asyncio

import logbook
import pytest
from result import Err, Ok

from arbutusbay.cli._causes import describe_cause
from arbutusbay.cli._log_reader import LogLine
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import failure_response
from arbutusbay.router import RouterSettings, _rate_limits
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._rate_limits import Grant, RateLimits
from arbutusbay.router._shared_state import AuthenticatedTeam, RouterState
from arbutusbay.settings import NodeSettings
from arbutusbay.state import (
    ConfigState,
    Quota,
    QuotaUnit,
    Team,
    spec_from_json,
    spec_to_json,
)
from arbutusbay.wire import Member, QuotaReply

_OWN_URL = 'http://127.0.0.1:8081'
_OTHER_URL = 'http://127.0.0.2:8081'
_QUOTA = Quota(unit=QuotaUnit.TOKENS, rate_per_s=10, burst=100)
_LOST = Failure(kind=ErrorKind.PEER_UNREACHABLE, detail='lost')


class Daemons:
    """Reply as control daemons at some URLs do."""

    def __init__(self, replies: dict[str, QuotaReply]) -> None:
        """Let all other URLs be silent."""
        self.replies = replies
        self.calls: list[tuple[str, object]] = []
        self.delay_s = 0.0

    async def call_peer(self, session, url, message, reply_type, *, timeout_s):
        """Record a call and return its reply."""
        base, _, path = url.partition('/peer/')
        self.calls.append((base, path, message))
        await asyncio.sleep(self.delay_s)
        reply = self.replies.get(base)
        return Ok(reply) if reply else Err(_LOST)


def build_limits(monkeypatch, replies) -> tuple[RateLimits, Daemons]:
    """Return the limits of a router that knows two control daemons."""
    daemons = Daemons(replies)
    monkeypatch.setattr(_rate_limits, 'call_peer', daemons.call_peer)
    node = NodeSettings(id='vm-1', host='127.0.0.1', zone='hann')
    state = RouterState(settings=RouterSettings(node=node))
    state.members = [
        Member(node='vm-2', host='127.0.0.2', zone='hann', incarnation=1)
    ]
    limits = RateLimits(
        shared_state=state, session=None, metrics=RouterMetrics()
    )
    return limits, daemons


async def ask(limits: RateLimits, quota: Quota | None):
    """Ask for a request of 30 tokens."""
    team = AuthenticatedTeam(
        name='t', spec=Team(api_key_digests=[], quota=quota)
    )
    return await limits.ask(
        team, tokens=30, request_id='r-1', described='x', deadline_ms=3000
    )


async def test_team_without_a_limit_asks_nobody(monkeypatch):
    limits, daemons = build_limits(monkeypatch, {})
    for quota in (None, Quota()):
        assert (await ask(limits, quota)).is_ok()
    assert not daemons.calls


# Guards against a dead control daemon of the VM that ends service there, and
# that each request waits for again.
async def test_other_daemon_is_asked_for_a_silent_one(monkeypatch):
    granted = QuotaReply(is_granted=True, owner='vm-2')
    limits, daemons = build_limits(monkeypatch, {_OTHER_URL: granted})
    for _ in range(2):
        grant = (await ask(limits, _QUOTA)).unwrap()
        assert grant == Grant(team='t', cost=30, owner='vm-2')
    asked = [base for base, _, _ in daemons.calls]
    assert asked == [_OWN_URL, _OTHER_URL, _OTHER_URL]


# Guards against URLs that are kept forever, as VMs are replaced by others.
async def test_silent_daemon_that_is_gone_is_forgotten(monkeypatch):
    limits, _ = build_limits(monkeypatch, {})
    await ask(limits, _QUOTA)
    assert _OTHER_URL in limits.silent_until_s
    limits.shared_state.members = []
    await ask(limits, _QUOTA)
    assert list(limits.silent_until_s) == [_OWN_URL]


# Guards against a refusal that does not say 'not run', or when to return.
@pytest.mark.parametrize(
    ('reply', 'status', 'retry_after'),
    [
        (QuotaReply(is_granted=False, retry_after_ms=2300), 429, '3'),
        (QuotaReply(is_granted=False, is_final=True), 400, None),
        (None, 429, '1'),
    ],
)
async def test_request_beyond_the_limit(
    monkeypatch, reply, status, retry_after
):
    replies = {_OWN_URL: reply} if reply else {}
    limits, _ = build_limits(monkeypatch, replies)
    failure = (await ask(limits, _QUOTA)).unwrap_err()
    response = failure_response(failure)
    assert failure.is_not_run
    assert response.status == status
    assert response.headers.get('Retry-After') == retry_after


# Guards against a refusal that an operator can't explain from the log.
async def test_refusal_is_explained_from_its_log_lines(monkeypatch):
    reply = QuotaReply(
        is_granted=False, retry_after_ms=2300, owner='vm-2', share=0.5
    )
    limits, _ = build_limits(monkeypatch, {_OWN_URL: reply})
    limits.shared_state.config = ConfigState(offset=7)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        await ask(limits, _QUOTA)
    lines = [
        LogLine(
            time=record.time,
            process='vm-1',
            message=record.message,
            request_id=record.kwargs['fields'].pop('request_id'),
            fields=record.kwargs['fields'],
        )
        for record in handler.records
    ]
    assert {line.request_id for line in lines} == {'r-1'}
    assert describe_cause(lines, []) == (
        'the rate limit of team t is used up: it costs 30.0 of tokens, the '
        'limit is 10 a second and a burst of 100 in version 7; decided by '
        'vm-2, which held 0.5 of the fleet; it was not sent'
    )


async def test_grant_goes_back_to_its_owner(monkeypatch):
    granted = QuotaReply(is_granted=True, owner='vm-2')
    limits, daemons = build_limits(monkeypatch, {_OWN_URL: granted})
    limits.give_back((await ask(limits, _QUOTA)).unwrap())
    limits.give_back(Grant(team='t'))
    await asyncio.gather(*limits.tasks)
    assert [path for _, path, _ in daemons.calls] == [
        'quota/ask',
        'quota/return',
    ]
    returned = daemons.calls[-1][-1]
    assert (returned.cost, returned.owner) == (30, 'vm-2')


# Guards against a grant that is lost as its caller leaves while the router
# waits for it.
@pytest.mark.parametrize('is_granted', [True, False])
async def test_grant_of_a_caller_that_left_goes_back(monkeypatch, is_granted):
    reply = QuotaReply(is_granted=is_granted, owner='vm-2')
    limits, daemons = build_limits(monkeypatch, {_OWN_URL: reply})
    daemons.delay_s = 0.05
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await ask(limits, _QUOTA)
    await asyncio.sleep(0.2)
    returned = [path for _, path, _ in daemons.calls if path == 'quota/return']
    assert len(returned) == is_granted


@pytest.mark.parametrize(
    ('quota', 'problem'),
    [
        ({'unit': 'bytes'}, 'not one of requests, tokens'),
        ({'rate_per_s': -1}, 'rate_per_s'),
        ({'rate_per_s': 5}, 'burst must be at least 1'),
        ({'rate_per_s': 'x'}, 'must be of type float'),
        ({'rate': 1}, 'unknown key rate'),
    ],
)
def test_bad_limit_is_a_clear_error(quota, problem):
    failure = spec_from_json(
        'team', {'api_key_digests': [], 'quota': quota}
    ).unwrap_err()
    assert problem in failure.detail


# Guards against a team without a limit that earlier versions can't read.
def test_limit_is_written_only_where_there_is_one():
    without = Team(api_key_digests=[])
    assert 'quota' not in spec_to_json(without)
    limited = Team(api_key_digests=[], quota=_QUOTA)
    for team in (without, limited):
        assert spec_from_json('team', spec_to_json(team)).unwrap() == team
