"""Follow the cache events of the engines that this VM owns."""

import asyncio
import itertools

import aiohttp
from result import Err, Ok

from arbutusbay.backend import EngineClient
from arbutusbay.control._engine_index import EngineIndex
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.controller import Controller
from arbutusbay.coordination import group_engines, owner_of_group
from arbutusbay.logs import get_logger
from arbutusbay.state import BackendKind

_LOG = get_logger('index_tail')
_REBALANCE_S = 0.5
_POLL_MS = 1000
_RETRY_S = 0.25
_PAUSE_S = 0.02


class IndexTail(Controller):
    """Run one task for each owned engine."""

    board: ControlBoard
    session: aiohttp.ClientSession

    async def prepare(self) -> None:
        """Start with no engine."""
        self.tails: dict[str, asyncio.Task[None]] = {}

    async def step(self) -> None:
        """Adjust the owned engines when ownership may have moved."""
        self.rebalance()
        await self.board.config_changed.wait(_REBALANCE_S)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all tasks."""
        for tail in self.tails.values():
            tail.cancel()

    def rebalance(self) -> None:
        """Start tasks for engines gained and stop those for engines lost."""
        owned = owned_engines(self.board)
        for name in self.tails.keys() - owned.keys():
            self.tails.pop(name).cancel()
            self.board.index.pop(name, None)
        for name in owned.keys() - self.tails.keys():
            engine = EngineIndex(name=name, pool=owned[name])
            self.board.index[name] = engine
            self.tails[name] = self.loop.create_task(self._follow(engine))

    async def _follow(self, engine: EngineIndex) -> None:
        while True:
            resource = self.board.resource('backend-server', engine.name)
            if resource is None:
                return
            client = EngineClient(
                session=self.session,
                url=resource.spec.url,
            )
            await self._poll(engine, client)

    async def _poll(self, engine: EngineIndex, client: EngineClient) -> None:
        page = await client.read_events(
            engine.sequence,
            engine.incarnation,
            wait_ms=_POLL_MS,
        )
        match page:
            case Ok(events):
                engine.apply(events)
                await asyncio.sleep(_PAUSE_S)
            case Err(failure):
                engine.lose()
                _LOG.warning('{}: {}', engine.name, failure.detail)
                await asyncio.sleep(_RETRY_S)


def owned_engines(board: ControlBoard) -> dict[str, str]:
    """Return the engines that this VM owns, with their pools."""
    nodes = board.active_nodes()
    groups = itertools.chain.from_iterable(
        group_engines(pool, engines)
        for pool, engines in _engines_by_pool(board).items()
    )
    return {
        name: group.pool
        for group in groups
        if owner_of_group(group, nodes) == board.node_id
        for name in group.engines
    }


def _engines_by_pool(board: ControlBoard) -> dict[str, list[str]]:
    pools: dict[str, list[str]] = {}
    for name, resource in board.resources_of('backend-server').items():
        if resource.spec.kind is BackendKind.ENGINE:
            pools.setdefault(resource.spec.pool, []).append(name)
    return pools
