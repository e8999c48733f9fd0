"""Hold each client request within the rate limit of its team."""

import asyncio
import contextlib

import attrs
import xxhash
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import QuotaSpec, QuotaUnit
from arbutusbay.logs import get_logger
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node.quota._client import QuotaClient
from arbutusbay.node.quota._fleet_view import quota_terms
from arbutusbay.node.quota._messages import Reply
from arbutusbay.quota import QuotaRequest

_LOG = get_logger('quota')
# Clients wait before a retry for at most this part of the time they have left.
_PATIENCE_PART = 1 / 3
_MAX_KEY = 1_000_000_000_000


@attrs.define(kw_only=True, eq=False)
class RequestGrant:
    """Hold the decision on one request, which is asked for while it is read.

    A request of a team without a limit has no ``asked`` task.
    """

    incoming: IncomingRequest
    client: QuotaClient
    cost: float = 0.0
    asked: asyncio.Task[Reply] | None = None

    async def wait(self) -> Result[None, Failure]:
        """Return once the request is granted, or the failure if it is not."""
        if self.asked is None:
            return Ok(None)
        reply = await self.asked
        is_granted = reply.retry_after_s is None
        team = self.incoming.team
        self.client.metrics.asked.inc(
            {
                'team': team.name,
                'outcome': 'granted' if is_granted else 'refused',
            }
        )
        if is_granted:
            return Ok(None)
        return Err(self._refuse(reply))

    def end(self, *, may_have_run: bool) -> None:
        """Return the tokens unless the request may have been executed."""
        if self.asked is None:
            return
        if not self.asked.done():
            self.asked.cancel()
            return
        if may_have_run or self.asked.cancelled():
            return
        with contextlib.suppress(Exception):
            reply = self.asked.result()
            if reply.retry_after_s is None:
                self.client.give_back(
                    self.incoming.team.name, self.cost, reply.owner
                )

    def _refuse(self, reply: Reply) -> Failure:
        team = self.incoming.team
        quota = team.quota
        is_final = reply.retry_after_s == float('inf')
        _LOG.info(
            'beyond the rate limit',
            fields={
                'request_id': self.incoming.attempt_id,
                'team': team.name,
                'unit': quota.unit.value,
                'cost': self.cost,
                'rate_per_s': quota.rate_per_s,
                'burst': quota.burst,
                'version': self.incoming.configuration_version,
                'owner': reply.owner,
                'share': round(reply.share, 3),
                'retry_after_s': None if is_final else reply.retry_after_s,
            },
        )
        detail = f'the rate limit of team {team.name} is used up'
        if is_final:
            detail = (
                f'{self.cost:.0f} {quota.unit.value} are more than the rate '
                f'limit of team {team.name} allows at any time'
            )
        return Failure(
            kind=ErrorKind.RATE_LIMITED,
            detail=detail,
            retry_after_s=None if is_final else reply.retry_after_s,
        )


class RequestGrants:
    """Ask for the grants of client requests."""

    def __init__(self, *, client: QuotaClient) -> None:
        """Ask through ``client``."""
        self.client = client

    def begin(self, incoming: IncomingRequest) -> RequestGrant:
        """Ask for a request if its team has a limit."""
        quota = incoming.team.quota if incoming.team else None
        if quota is None:
            return RequestGrant(incoming=incoming, client=self.client)
        cost = request_cost(quota, incoming)
        asked = asyncio.create_task(
            self.client.ask(
                incoming.team.name,
                quota_terms(quota, incoming.configuration_version or 0),
                QuotaRequest(
                    cost=cost,
                    key=_request_key(incoming),
                    patience_s=max(
                        0.0, incoming.remaining_s() * _PATIENCE_PART
                    ),
                ),
            )
        )
        return RequestGrant(
            incoming=incoming, client=self.client, cost=cost, asked=asked
        )


def request_cost(quota: QuotaSpec, incoming: IncomingRequest) -> float:
    """Return what a request counts towards the limit of its team."""
    match quota.unit:
        case QuotaUnit.REQUESTS:
            return 1.0
        case QuotaUnit.TOKENS:
            tokens = incoming.parsed_headers.counted_tokens
            return quota.default_cost if tokens is None else float(tokens)


def _request_key(incoming: IncomingRequest) -> int:
    """Return a number that is the same when a client repeats a request."""
    head = incoming.parsed_headers
    segments = tuple(segment.id for segment in head.prompt_segments)
    described = repr(
        (incoming.target, head.api_key, head.counted_tokens, segments)
    )
    return xxhash.xxh64_intdigest(described.encode()) % _MAX_KEY
