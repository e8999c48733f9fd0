"""Hold the requests of a team within its limit, before they are admitted.

The control daemon of this VM is asked first, then those of others.
"""

import asyncio
import hashlib
import time
from collections.abc import Coroutine
from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import call_peer
from arbutusbay.logs import get_logger
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._shared_state import AuthenticatedTeam, RouterState
from arbutusbay.state import QuotaUnit
from arbutusbay.wire import QuotaAsk, QuotaReply, QuotaReturn

_LOG = get_logger('quota')
# The daemon may ask two owners, each for half a second.
_ASK_TIMEOUT_S = 1.2
# How long a daemon that did not reply is asked after the others only.
_PASSED_OVER_S = 1.0
_MAX_DAEMONS_ASKED = 2
_RETRY_AFTER_SILENCE_S = 1.0
# Callers wait before a retry for at most this part of the time they have left.
_PATIENCE_PART = 1 / 3
_KEY_BYTES = 6


@attrs.frozen(kw_only=True)
class Grant:
    """Hold what a request was granted; ``owner`` is empty without a limit."""

    team: str
    cost: float = 0.0
    owner: str = ''


@attrs.frozen(kw_only=True)
class LimitedRequest:
    """Hold a request of a team that has a limit.

    ``id`` is empty if it has none. ``version`` is the offset of the
    configuration that the router has.
    """

    team: AuthenticatedTeam
    cost: float
    id: str
    version: int


class RateLimits:
    """Ask for the grants of requests, and give back those not used.

    ``silent_until_s`` holds until when a daemon that did not reply is passed
    over, on the monotonic clock.
    """

    def __init__(
        self,
        *,
        shared_state: RouterState,
        session: aiohttp.ClientSession,
        metrics: RouterMetrics,
    ) -> None:
        """Call the control daemons in ``session``."""
        self.shared_state = shared_state
        self.session = session
        self.metrics = metrics
        self.silent_until_s: dict[str, float] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    async def ask(
        self,
        team: AuthenticatedTeam,
        *,
        tokens: int,
        request_id: str,
        described: str,
        deadline_ms: int,
    ) -> Result[Grant, Failure]:
        """Return the grant of a request, at once without a limit.

        ``described`` is the same if its caller returns with it, which waits for
        part of ``deadline_ms`` before. Fails with ``RATE_LIMITED`` beyond the
        limit, with ``BAD_REQUEST`` if it costs more than that allows at any
        time.
        """
        cost = _cost(team, tokens)
        if not cost:
            return Ok(Grant(team=team.name))
        reply = await self._ask_for_caller(
            QuotaAsk(
                team=team.name,
                cost=cost,
                key=_key(f'{team.name}/{described}'),
                patience_ms=int(deadline_ms * _PATIENCE_PART),
            )
        )
        is_granted = reply is not None and reply.is_granted
        self.metrics.quota_asks.inc(
            {
                'team': team.name,
                'outcome': 'granted' if is_granted else 'refused',
            }
        )
        if is_granted:
            return Ok(Grant(team=team.name, cost=cost, owner=reply.owner))
        refused = LimitedRequest(
            team=team,
            cost=cost,
            id=request_id,
            version=self.shared_state.config.offset,
        )
        return Err(_refuse(refused, reply))

    def give_back(self, grant: Grant) -> None:
        """Give back the grant of a request that certainly did not run."""
        if not grant.owner:
            return
        self._start(self._give_back(grant))

    async def _ask_for_caller(self, ask: QuotaAsk) -> QuotaReply | None:
        """Return the reply; if the caller leaves before, its grant goes back.

        The daemon may have granted it already.
        """
        asked = self._start(self._ask_daemons(ask))
        try:
            return await asyncio.shield(asked)
        except asyncio.CancelledError:
            self._start(self._return_unused(ask, asked))
            raise

    async def _return_unused(
        self, ask: QuotaAsk, asked: asyncio.Task[QuotaReply | None]
    ) -> None:
        reply = await asked
        if reply is not None and reply.is_granted:
            self.give_back(
                Grant(team=ask.team, cost=ask.cost, owner=reply.owner)
            )

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` in a task that outlives its caller."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _ask_daemons(self, ask: QuotaAsk) -> QuotaReply | None:
        """Return the first reply; a daemon that is silent is passed over."""
        for url in self._daemon_urls():
            match await self._call(f'{url}/peer/quota/ask', ask):
                case Ok(reply):
                    self.silent_until_s.pop(url, None)
                    return reply
            self.silent_until_s[url] = time.monotonic() + _PASSED_OVER_S
        return None

    async def _give_back(self, grant: Grant) -> None:
        returned = QuotaReturn(
            team=grant.team, cost=grant.cost, owner=grant.owner
        )
        for url in self._daemon_urls():
            reply = await self._call(f'{url}/peer/quota/return', returned)
            if reply.is_ok():
                return

    async def _call(
        self, url: str, message: QuotaAsk | QuotaReturn
    ) -> Result[QuotaReply, Failure]:
        return await call_peer(
            self.session, url, message, QuotaReply, timeout_s=_ASK_TIMEOUT_S
        )

    def _daemon_urls(self) -> list[str]:
        """Return the own control daemon, then some others at random."""
        own_url = self.shared_state.settings.node.control_url
        urls = set(self.shared_state.control_urls().values()) - {own_url}
        for gone in self.silent_until_s.keys() - urls - {own_url}:
            self.silent_until_s.pop(gone)
        others = sorted(urls)
        self.shared_state.rng.shuffle(others)
        moment_s = time.monotonic()
        ranked = sorted(
            (own_url, *others),
            key=lambda url: self.silent_until_s.get(url, 0) > moment_s,
        )
        return ranked[:_MAX_DAEMONS_ASKED]


def _cost(team: AuthenticatedTeam, tokens: int) -> float:
    """Return what a request counts towards the limit, 0 without one."""
    quota = team.spec.quota
    if quota is None or not quota.is_limiting:
        return 0.0
    match quota.unit:
        case QuotaUnit.REQUESTS:
            return 1.0
        case QuotaUnit.TOKENS:
            return float(tokens)


def _key(described: str) -> int:
    """Return a number that is the same for the same text."""
    digest = hashlib.sha256(described.encode()).digest()
    return int.from_bytes(digest[:_KEY_BYTES])


def _refuse(request: LimitedRequest, reply: QuotaReply | None) -> Failure:
    """Log a refusal and what decided it, and return the failure."""
    wait_s = reply.retry_after_ms / 1000 if reply else _RETRY_AFTER_SILENCE_S
    is_final = reply is not None and reply.is_final
    failure = _final_failure(request) if is_final else _failure(request, wait_s)
    quota = request.team.spec.quota
    _LOG.info(
        'beyond the rate limit',
        fields={
            'request_id': request.id,
            'team': request.team.name,
            'unit': quota.unit.value,
            'cost': request.cost,
            'rate_per_s': quota.rate_per_s,
            'burst': quota.burst,
            'version': request.version,
            'owner': reply.owner if reply else '',
            'share': round(reply.share, 3) if reply else None,
            'retry_after_s': failure.retry_after_s,
        },
    )
    if request.id:
        _LOG.info(
            'request refused',
            fields={
                'request_id': request.id,
                'team': request.team.name,
                'kind': failure.kind.value,
                'detail': failure.detail,
            },
        )
    return failure


def _final_failure(request: LimitedRequest) -> Failure:
    """Return the failure of a request that no later time would help."""
    return Failure(
        kind=ErrorKind.BAD_REQUEST,
        detail=(
            f'{request.cost:.0f} {request.team.spec.quota.unit.value} are more '
            f'than the limit of team {request.team.name} allows at any time'
        ),
    )


def _failure(request: LimitedRequest, wait_s: float) -> Failure:
    return Failure(
        kind=ErrorKind.RATE_LIMITED,
        detail=f'the rate limit of team {request.team.name} is used up',
        retry_after_s=wait_s,
    )
