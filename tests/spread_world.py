"""Run a relay and the followers of its zone, with a link between them."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import attrs
from aiohttp import web
from result import Err

from arbutusbay.client_connections import StrictConnector, open_client_session
from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.node import _topics
from arbutusbay.node._follower import TopicFollower
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_api import RelayApi
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.platform import KeyedRecord, StorePosition, StoreUnavailable
from emulator.throttled_link import LinkSide, ThrottledLink, running_link
from tests.fleet_builders import build_vm_settings

MBIT = 1_000_000
_ALWAYS_HEARD_S = float('inf')
_HOST = '127.0.0.1'
_CONFIG_APPLY_S = 3
_READ_INTERVAL_S = 0.1
_LOOK_INTERVAL_S = 0.01
_FAILED_READ_S = 0.05
_DOCUMENTS = 64
_OLD_PARAMETERS = (
    'operator',
    'operator_era',
    'servers',
    'servers_era',
    'hold_ms',
)


class UnreachableStore:
    """Fail all reads after a short while."""

    async def read(self, topic, offset, *, wait_s, timeout_s):
        """Return that the store is unavailable."""
        await asyncio.sleep(_FAILED_READ_S)
        return Err(StoreUnavailable(detail='unreachable'))

    async def read_latest(self, topic, *, timeout_s):
        """Return that the store is unavailable."""
        return await self.read(topic, 0, wait_s=0, timeout_s=timeout_s)


class SpreadVM:
    """Hold the topics of one VM."""

    def __init__(
        self, *, name: str, config_apply_s: float = _CONFIG_APPLY_S
    ) -> None:
        """Start without any record."""
        settings = build_vm_settings()
        bounds = attrs.evolve(settings.bounds, config_apply_s=config_apply_s)
        self.node_state = NodeState(
            settings=attrs.evolve(settings, name=name, bounds=bounds)
        )
        self.operator_topic = OperatorTopicState(node_state=self.node_state)
        self.servers_topic = ServersTopicState(
            node_state=self.node_state,
            server_registry=ServerRegistry(node_state=self.node_state),
        )

    def write(
        self, record: KeyedRecord, *, era: int = 1, is_complete: bool = False
    ) -> None:
        """Apply ``record`` as if it had just been read from the store."""
        self.node_state.observe_store_era(era)
        is_complete = is_complete or self.operator_topic.end is None
        assert self.operator_topic.apply_records(
            [record],
            StorePosition(era=era, offset=record.offset + 1),
            is_complete=is_complete,
        )
        servers_end = StorePosition(era=era, offset=0)
        assert self.servers_topic.apply_records(
            [], servers_end, is_complete=True
        )
        self.record_read()

    def record_read(self) -> None:
        """Record that all documents written until now are known."""
        self.node_state.freshness.record_read(now_s())

    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        configuration = self.node_state.configuration
        return configuration.version if configuration else 0


class SpreadRelay(SpreadVM):
    """Serve followers as the reader of a zone does.

    Between the records it reads nothing new from the store.
    ``is_of_old_build`` ignores parameters that builds did not have before
    records were encoded.
    """

    def __init__(self, *, name: str, is_of_old_build: bool = False) -> None:
        """Serve nothing before ``start``."""
        super().__init__(name=name)
        self.is_of_old_build = is_of_old_build
        self.api = RelayApi(
            node_state=self.node_state,
            operator_topic=self.operator_topic,
            servers_topic=self.servers_topic,
        )
        self.address = (_HOST, 0)
        self.server: Any = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self.web_server = web.Server(self._respond, access_log=None)
        self.server = await loop.create_server(self.web_server, _HOST, 0)
        self.address = self.server.sockets[0].getsockname()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self.server.close()
        await self.web_server.shutdown(0)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.is_of_old_build:
            return await self.api.handle_request(request)
        query = {
            name: request.query[name]
            for name in _OLD_PARAMETERS
            if name in request.query
        }
        return await self.api.handle_request(
            SimpleNamespace(
                path=request.path, query=query, transport=request.transport
            )
        )


class SpreadFollower(SpreadVM):
    """Follow a relay; ``seen`` holds the versions in force in their order."""

    def __init__(
        self,
        *,
        name: str,
        session: Any,
        store: Any = None,
        config_apply_s: float = _CONFIG_APPLY_S,
    ) -> None:
        """Follow nothing before ``follow``; read ``store`` if it is given."""
        super().__init__(name=name, config_apply_s=config_apply_s)
        self.seen: list[int] = []
        self.topic_follower = TopicFollower(
            node_state=self.node_state,
            store=store or UnreachableStore(),
            session=session,
            operator_topic=self.operator_topic,
            servers_topic=self.servers_topic,
        )

    def follow(self, relays: dict[str, tuple[str, int]]) -> asyncio.Task[None]:
        """Follow the first of ``relays``, which are ranked before this VM."""
        names = {self.node_state.settings.name: (_HOST, 1), **relays}
        records = {
            name: VMRegistration(
                name=name,
                address=f'{host}:{port}',
                zone=self.node_state.settings.zone,
                started_ms=0,
            )
            for name, (host, port) in names.items()
        }
        members = self.node_state.members
        members.own_vm = records[self.node_state.settings.name]
        # The relays of this world send no reports, and are never silent.
        members.apply_records(records, _ALWAYS_HEARD_S)
        return asyncio.create_task(self.topic_follower.run())

    def look(self) -> None:
        """Note the version in force."""
        version = self.version()
        if not self.seen or self.seen[-1] != version:
            self.seen.append(version)

    def has_avoided_a_source(self) -> bool:
        """Return whether a source ever failed."""
        return bool(self.topic_follower.backoff_until_s)


@attrs.define(kw_only=True)
class SpreadZone:
    """Hold a running relay, its link and its followers."""

    relay: SpreadRelay
    second_relay: SpreadRelay
    link: ThrottledLink
    followers: list[SpreadFollower]
    tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def follow(self, relays: dict[str, tuple[str, int]]) -> None:
        """Let all followers follow the first of ``relays``."""
        for follower in self.followers:
            name = follower.node_state.settings.name
            self.tasks[name] = follower.follow(relays)

    def leave(self, follower: SpreadFollower) -> None:
        """End the task of a follower, which breaks off its request."""
        self.tasks[follower.node_state.settings.name].cancel()

    async def arrivals_s(self, version: int, limit_s: float) -> list[float]:
        """Wait until ``version`` is in force at all followers.

        Return when each had it, in seconds from now. Raise ``TimeoutError``
        after ``limit_s`` seconds.
        """
        start_s = now_s()
        arrivals_s: dict[str, float] = {}
        async with asyncio.timeout(limit_s):
            while len(arrivals_s) < len(self.followers):
                await asyncio.sleep(_LOOK_INTERVAL_S)
                self._look()
                for name in self._names_with(version):
                    arrivals_s.setdefault(name, now_s() - start_s)
        return sorted(arrivals_s.values())

    async def watch(self, duration_s: float) -> None:
        """Note the versions in force for a while."""
        end_s = now_s() + duration_s
        while now_s() < end_s:
            await asyncio.sleep(_LOOK_INTERVAL_S)
            self._look()

    def _look(self) -> None:
        for follower in self.followers:
            follower.look()

    def _names_with(self, version: int) -> list[str]:
        return [
            follower.node_state.settings.name
            for follower in self.followers
            if follower.version() >= version
        ]


def decode_once(monkeypatch: Any) -> None:
    """Decode each document once for all VMs of this process.

    Each real VM has a processor of its own for it.
    """
    decode = functools.lru_cache(_DOCUMENTS)(_topics.decode_operator_record)
    monkeypatch.setattr(_topics, 'decode_operator_record', decode)


def vm_names(count: int) -> list[str]:
    """Return names in the order in which VMs are ranked as sources."""
    names = [f'vm-{number}' for number in range(count)]
    return rank_by_rendezvous_hash('store-readers', names)


@contextlib.asynccontextmanager
async def running_zone(
    *,
    followers: int,
    rate_bits_s: float,
    first: KeyedRecord,
    relay_first: KeyedRecord | None = None,
    has_second_relay: bool = False,
    is_of_old_build: bool = False,
) -> AsyncIterator[SpreadZone]:
    """Run a zone for the block, in which all VMs have the record ``first``.

    The relay has ``relay_first`` instead, if it is given.
    """
    names = vm_names(followers + 2)
    relays = [
        SpreadRelay(name=name, is_of_old_build=is_of_old_build)
        for name in names[:2]
    ]
    async with (
        open_client_session(StrictConnector()) as session,
        running_link(rate_bits_s=rate_bits_s) as link,
    ):
        zone = SpreadZone(
            relay=relays[0],
            second_relay=relays[1],
            link=link,
            followers=[
                SpreadFollower(name=name, session=session) for name in names[2:]
            ],
        )
        for relay in relays:
            relay.write(relay_first or first)
            await relay.start()
        for follower in zone.followers:
            follower.write(first)
        addresses = {
            names[0]: await link.forward(relays[0].address, LinkSide.TARGET)
        }
        if has_second_relay:
            addresses[names[1]] = relays[1].address
        zone.follow(addresses)
        tasks = [asyncio.create_task(_keep_fresh(relay)) for relay in relays]
        try:
            yield zone
        finally:
            await _cancel([*tasks, *zone.tasks.values()])
            await _stop(relays)


async def _stop(relays: list[SpreadRelay]) -> None:
    for relay in relays:
        await relay.stop()


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _keep_fresh(relay: SpreadRelay) -> None:
    while True:
        relay.record_read()
        await asyncio.sleep(_READ_INTERVAL_S)
