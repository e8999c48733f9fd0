"""Read the cache events of the engines whose index this VM owns.

Engines are divided into groups, and rendezvous hashing assigns each group to
one active VM.
"""

import asyncio
import itertools

import aiohttp
from result import Err, Ok

from arbutusbay.backend import EngineClient
from arbutusbay.control._engine_cache_index import EngineCacheIndex
from arbutusbay.control._shared_state import ControlState
from arbutusbay.controller import Controller
from arbutusbay.coordination import find_group_owner, group_engines
from arbutusbay.logs import get_logger
from arbutusbay.state import BackendKind

_LOG = get_logger('index_tail')
_OWNERSHIP_CHECK_INTERVAL_S = 0.5
_LONG_POLL_MS = 1000
_RETRY_DELAY_S = 0.25
_PAUSE_BETWEEN_READS_S = 0.02


class CacheEventReader(Controller):
    """Run one task that reads cache events for each owned engine."""

    shared_state: ControlState
    session: aiohttp.ClientSession

    async def prepare(self) -> None:
        """Start without any tasks."""
        self.event_tasks: dict[str, asyncio.Task[None]] = {}

    async def step(self) -> None:
        """Update the tasks, then wait until ownership may have changed.

        The configuration wakes this at once; changes of the members are
        noticed at the next periodic check.
        """
        self.update_owned_engines()
        await self.shared_state.config_changed.wait(_OWNERSHIP_CHECK_INTERVAL_S)

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel all tasks."""
        for task in self.event_tasks.values():
            task.cancel()

    def update_owned_engines(self) -> None:
        """Start tasks for newly owned engines and cancel all others.

        The index of an engine that is no longer owned is dropped; that of an
        engine that changed its pool, or whose task ended, starts anew.
        """
        owned = pools_by_owned_engine(self.shared_state)
        for name in list(self.event_tasks):
            if not self._follows(name, owned.get(name)):
                _stop_task(name, self.event_tasks.pop(name))
                self.shared_state.index.pop(name, None)
        for name in owned.keys() - self.event_tasks.keys():
            engine = EngineCacheIndex(name=name, pool=owned[name])
            self.shared_state.index[name] = engine
            self.event_tasks[name] = self.loop.create_task(
                self._follow_events(engine)
            )

    def _follows(self, name: str, pool: str | None) -> bool:
        """Return whether a running task indexes an engine for ``pool``."""
        if self.event_tasks[name].done():
            return False
        return self.shared_state.index[name].pool == pool

    async def _follow_events(self, engine: EngineCacheIndex) -> None:
        while True:
            resource = self.shared_state.resource('backend-server', engine.name)
            if resource is None:
                return
            client = EngineClient(
                session=self.session,
                url=resource.spec.url,
            )
            await self._read_page(engine, client)

    async def _read_page(
        self, engine: EngineCacheIndex, client: EngineClient
    ) -> None:
        page = await client.read_events(
            engine.sequence,
            engine.incarnation,
            wait_ms=_LONG_POLL_MS,
        )
        match page:
            case Ok(events):
                engine.apply(events)
                await asyncio.sleep(_PAUSE_BETWEEN_READS_S)
            case Err(failure):
                engine.mark_unreachable()
                _LOG.warning(
                    'cannot read cache events of {}: {}',
                    engine.name,
                    failure.detail,
                )
                await asyncio.sleep(_RETRY_DELAY_S)


def _stop_task(name: str, task: asyncio.Task[None]) -> None:
    task.cancel()
    error = task.exception() if _has_result(task) else None
    if error is not None:
        _LOG.error(
            'stopped reading cache events of {}: {!r}',
            name,
            error,
            exc_info=(type(error), error, error.__traceback__),
        )


def _has_result(task: asyncio.Task[None]) -> bool:
    return task.done() and not task.cancelled()


def pools_by_owned_engine(shared_state: ControlState) -> dict[str, str]:
    """Return the pool of each engine whose index this VM owns, by name."""
    nodes = shared_state.active_nodes()
    groups = itertools.chain.from_iterable(
        group_engines(pool, engines)
        for pool, engines in _engines_by_pool(shared_state).items()
    )
    return {
        name: group.pool
        for group in groups
        if find_group_owner(group, nodes) == shared_state.node_id
        for name in group.engines
    }


def _engines_by_pool(shared_state: ControlState) -> dict[str, list[str]]:
    pools: dict[str, list[str]] = {}
    for name, resource in shared_state.resources_by_name(
        'backend-server'
    ).items():
        if resource.spec.kind is BackendKind.ENGINE:
            pools.setdefault(resource.spec.pool, []).append(name)
    return pools
