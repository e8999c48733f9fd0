"""Follow the configuration through control daemons, the own one first."""

import asyncio
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

import aiohttp
from result import Err, Ok

from arbutusbay.config_exchange import state_from_reply
from arbutusbay.controller import Controller
from arbutusbay.http import call_peer
from arbutusbay.logs import get_logger
from arbutusbay.policy import EngineState
from arbutusbay.router._blackboard import (
    RouterBoard,
    ServiceState,
    TeamAccess,
)
from arbutusbay.router._dispatcher import Dispatcher
from arbutusbay.state import (
    BackendKind,
    BackendServer,
    ConfigState,
    Route,
    Team,
)
from arbutusbay.wire import ConfigReply, ConfigRequest

_LOG = get_logger('config_follower')
_WAIT_MS = 1000
_TIMEOUT_MARGIN_S = 1.0
_RETRY_S = 0.1


class ConfigFollower(Controller):
    """Keep the router's configuration, members and leaving hosts fresh."""

    board: RouterBoard
    session: aiohttp.ClientSession
    dispatcher: Dispatcher

    async def step(self) -> None:
        """Poll once; pause when nobody answered."""
        if not await self.poll():
            await asyncio.sleep(_RETRY_S)

    async def poll(self) -> bool:
        """Ask the own control daemon, then all others until one answers."""
        own_url = self.board.settings.node.control_url
        if await self._ask(own_url):
            return True
        answers = await asyncio.gather(
            *(self._ask(url) for url in self._peer_urls() if url != own_url)
        )
        return any(answers)

    def _peer_urls(self) -> list[str]:
        known = set(self.board.settings.peers)
        known.update(self.board.control_urls().values())
        return sorted(known)

    async def _ask(self, url: str) -> bool:
        wait_ms = _WAIT_MS if self.board.config_known else 0
        request = ConfigRequest(
            after=self.board.config.offset if self.board.config_known else -1,
            wait_ms=wait_ms,
            node=self.board.settings.node.id,
        )
        reply = await call_peer(
            self.session,
            f'{url}/peer/config',
            request,
            ConfigReply,
            timeout_s=wait_ms / 1000 + _TIMEOUT_MARGIN_S,
        )
        match reply:
            case Ok(found):
                self._take(found)
                return found.changed or self.board.config_known
            case Err(failure):
                _LOG.debug('{}: {}', url, failure.detail)
        return False

    def _take(self, reply: ConfigReply) -> None:
        self.board.members = reply.members
        self.board.leaving_hosts = frozenset(reply.leaving)
        is_newer = reply.offset > self.board.config.offset
        if reply.changed and (is_newer or not self.board.config_known):
            put_config(self.board, state_from_reply(self.board.config, reply))
        mark_leaving(self.board)
        self.dispatcher.pump_all()


def put_config(board: RouterBoard, state: ConfigState) -> None:
    """Take up ``state`` and rebuild what is derived from it."""
    board.config = state
    board.config_known = True
    board.access = {
        digest: TeamAccess(name=resource.id.name, team=resource.spec)
        for resource in state.resources.values()
        if isinstance(resource.spec, Team)
        for digest in resource.spec.api_key_digests
    }
    board.routes = {
        resource.id.name: resource.spec
        for resource in state.resources.values()
        if isinstance(resource.spec, Route)
    }
    servers = {
        resource.id.name: resource.spec
        for resource in state.resources.values()
        if isinstance(resource.spec, BackendServer)
    }
    _put_servers(board.engines, servers, BackendKind.ENGINE)
    _put_servers(board.services, servers, BackendKind.SERVICE)
    for name, service in board.services.items():
        service.checks_idempotency_keys = servers[name].checks_idempotency_keys


def mark_leaving(board: RouterBoard) -> None:
    """Mark the backend servers whose VM the platform lists as leaving."""
    for state in (*board.engines.values(), *board.services.values()):
        spec = board.backend_server(state.name)
        host = urlsplit(state.url).hostname
        state.draining = bool(spec and spec.draining) or (
            host in board.leaving_hosts
        )


def _put_servers(
    states: dict[str, Any],
    servers: Mapping[str, BackendServer],
    kind: BackendKind,
) -> None:
    wanted = {name: spec for name, spec in servers.items() if spec.kind is kind}
    for name, spec in wanted.items():
        known = states.get(name)
        if known is None or (known.url, known.pool) != (spec.url, spec.pool):
            states[name] = _new_state(name, spec)
    for gone in states.keys() - wanted.keys():
        states.pop(gone)


def _new_state(name: str, spec: BackendServer) -> EngineState | ServiceState:
    state_type = (
        EngineState if spec.kind is BackendKind.ENGINE else ServiceState
    )
    return state_type(
        name=name,
        url=spec.url,
        zone=spec.zone,
        pool=spec.pool,
    )
