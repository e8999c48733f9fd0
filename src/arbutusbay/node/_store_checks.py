"""Notice late fetches, and call the stores of KV cache that seem dead."""

import asyncio

import aiohttp

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import call_cache_store
from arbutusbay.scheduling import Attempt

_LOG = get_logger('stores')
_CHECK_INTERVAL_S = 0.1
_CALL_TIMEOUT_S = 0.25


class StoreChecker:
    """Make the calls that ``StoreHealth`` asks for."""

    def __init__(
        self, *, node_state: NodeState, session: aiohttp.ClientSession
    ) -> None:
        """Record how the calls end on ``node_state``."""
        self.node_state = node_state
        self.session = session

    async def run(self) -> None:
        """Look at a fixed interval for stores to call, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            due = self.node_state.store_health.due_checks(now_s())
            if due:
                await asyncio.gather(*map(self.check, due))

    async def check(self, address: str) -> None:
        """Call one store; a pause of this VM says nothing of the store."""
        started_s = now_s()
        health = self.node_state.store_health
        has_answered = await call_cache_store(
            self.session, address, timeout_s=_CALL_TIMEOUT_S
        )
        has_paused = self.node_state.own_pauses.has_paused_since(
            started_s, now_s()
        )
        if has_paused and not has_answered:
            health.drop_check(address)
            return
        health.record_check(address, has_answered=has_answered)
        if not has_answered:
            _LOG.info('store of cache silent', fields={'store': address})
            self.node_state.notify_report_changed()


def record_fetch(
    node_state: NodeState, attempt: Attempt, moment_s: float
) -> None:
    """Record when the first event came behind a fetch."""
    if attempt.fetch_source:
        node_state.store_health.record_fetch(
            attempt.fetch_source,
            tokens=attempt.uncached_tokens + attempt.queued_ahead_tokens,
            took_s=moment_s - attempt.sent_s,
            now_s=moment_s,
        )
