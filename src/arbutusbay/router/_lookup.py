"""Ask index owners how much of a prompt each engine has cached."""

import asyncio
import itertools
import time

import aiohttp
import attrs
from result import Ok

from arbutusbay.coordination import group_engines, owner_of_group
from arbutusbay.http import call_peer
from arbutusbay.policy import EngineState, Job, sample_depths
from arbutusbay.router._blackboard import RouterBoard
from arbutusbay.wire import EngineView, LookupReply, LookupRequest

_EVENT_LAG_S = 1.0
_MEMORY_S = 5.0


@attrs.frozen(kw_only=True)
class CachedDepths:
    """Map engines to the cached blocks of one prompt."""

    by_engine: dict[str, int]


class IndexLookup:
    """Look prompts up within a hard time budget."""

    def __init__(
        self,
        *,
        board: RouterBoard,
        session: aiohttp.ClientSession,
    ) -> None:
        """Write load reports found on the way to ``board``."""
        self.board = board
        self.session = session

    async def find(self, job: Job) -> CachedDepths:
        """Return cached depths; without an answer, from own memory."""
        engines = self.board.engines_of(job.pool)
        depths = sample_depths(len(job.hashes))
        request = LookupRequest(
            pool=job.pool,
            hashes=[job.hashes[depth - 1] for depth in depths],
        )
        replies = await asyncio.gather(
            *(self._ask(url, request) for url in self._owner_urls(job.pool))
        )
        indexed: dict[str, int] = {}
        for view in itertools.chain.from_iterable(replies):
            self._put_view(view)
            if view.incarnation:
                indexed[view.name] = depths[view.depth - 1] if view.depth else 0
        return CachedDepths(
            by_engine={
                engine.name: _depth(engine, job, indexed) for engine in engines
            },
        )

    def _owner_urls(self, pool: str) -> list[str]:
        engines = (engine.name for engine in self.board.engines_of(pool))
        urls = self.board.control_urls()
        nodes = self.board.live_nodes()
        owners = {
            owner_of_group(group, nodes)
            for group in group_engines(pool, engines)
        }
        return [urls[owner] for owner in owners if owner in urls]

    async def _ask(self, url: str, request: LookupRequest) -> list[EngineView]:
        reply = await call_peer(
            self.session,
            f'{url}/peer/lookup',
            request,
            LookupReply,
            timeout_s=self.board.settings.limits.lookup_ms / 1000,
        )
        match reply:
            case Ok(found):
                return found.engines
        return []

    def _put_view(self, view: EngineView) -> None:
        engine = self.board.engines.get(view.name)
        if engine is not None:
            engine.put_view(view)


def _depth(engine: EngineState, job: Job, indexed: dict[str, int]) -> int:
    now_s = time.monotonic()
    if engine.name not in indexed:
        return engine.recent_depth(job.hashes, now_s - _MEMORY_S)
    return max(
        indexed[engine.name],
        engine.recent_depth(job.hashes, now_s - _EVENT_LAG_S),
    )
