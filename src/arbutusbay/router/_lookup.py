"""Look up how much of a prompt each engine has cached.

The cache indexes are held by control daemons, each for a group of engines.
"""

import asyncio
import itertools

import aiohttp
import attrs
from result import Ok

from arbutusbay.clock import now_s
from arbutusbay.coordination import find_group_owner, group_engines
from arbutusbay.http import call_peer
from arbutusbay.policy import EngineState, Job, sample_depths
from arbutusbay.router._shared_state import RouterState
from arbutusbay.wire import EngineView, LookupReply, LookupRequest

_MAX_INDEX_LAG_S = 1.0
_RECENT_BLOCKS_TTL_S = 5.0


@attrs.frozen(kw_only=True)
class CachedDepths:
    """Hold, by engine name, how many leading blocks of a prompt are cached."""

    by_engine: dict[str, int]


class CacheIndexLookup:
    """Look up prompts in the cache indexes within a time limit.

    The setting ``lookup_ms`` limits the time of a lookup.
    """

    def __init__(
        self,
        *,
        shared_state: RouterState,
        session: aiohttp.ClientSession,
    ) -> None:
        """Create a lookup that stores load reports in ``shared_state``."""
        self.shared_state = shared_state
        self.session = session

    async def find_cached_depths(self, job: Job) -> CachedDepths:
        """Return the cached depth of the prompt of ``job`` on each engine.

        If the owner of an engine's index did not answer in time, the depth is
        estimated from the blocks that this router sent to the engine
        recently. Recent blocks also supplement the index, which is assumed
        to lag by up to a second.
        """
        engines = self.shared_state.engines_in_pool(job.pool)
        depths = sample_depths(len(job.hashes))
        request = LookupRequest(
            pool=job.pool,
            hashes=[job.hashes[depth - 1] for depth in depths],
        )
        replies = await asyncio.gather(
            *(
                self._query_owner(url, request)
                for url in self._owner_urls(job.pool)
            )
        )
        indexed: dict[str, int] = {}
        for view in itertools.chain.from_iterable(replies):
            self._store_report(view)
            if view.incarnation:
                indexed[view.name] = depths[view.depth - 1] if view.depth else 0
        return CachedDepths(
            by_engine={
                engine.name: _cached_depth(engine, job, indexed)
                for engine in engines
            },
        )

    def _owner_urls(self, pool: str) -> list[str]:
        engines = (
            engine.name for engine in self.shared_state.engines_in_pool(pool)
        )
        urls = self.shared_state.control_urls()
        nodes = self.shared_state.active_nodes()
        owners = {
            find_group_owner(group, nodes)
            for group in group_engines(pool, engines)
        }
        return [urls[owner] for owner in owners if owner in urls]

    async def _query_owner(
        self, url: str, request: LookupRequest
    ) -> list[EngineView]:
        result = await call_peer(
            self.session,
            f'{url}/peer/lookup',
            request,
            LookupReply,
            timeout_s=self.shared_state.settings.limits.lookup_ms / 1000,
        )
        match result:
            case Ok(reply):
                return reply.engines
        return []

    def _store_report(self, view: EngineView) -> None:
        engine = self.shared_state.engines.get(view.name)
        if engine is not None:
            engine.apply_load_report(view)


def _cached_depth(
    engine: EngineState, job: Job, indexed: dict[str, int]
) -> int:
    moment_s = now_s()
    if engine.name not in indexed:
        return engine.recently_sent_depth(
            job.hashes, moment_s - _RECENT_BLOCKS_TTL_S
        )
    return max(
        indexed[engine.name],
        engine.recently_sent_depth(job.hashes, moment_s - _MAX_INDEX_LAG_S),
    )
