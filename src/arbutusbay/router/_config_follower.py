"""Fetch the configuration from control daemons by long polling.

The control daemon of the router's own VM is asked first.
"""

import asyncio
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

import aiohttp
from result import Err, Ok

from arbutusbay.config_messages import apply_config_reply
from arbutusbay.controller import Controller
from arbutusbay.http import call_peer
from arbutusbay.logs import get_logger
from arbutusbay.policy import EngineState
from arbutusbay.router._dispatcher import Dispatcher
from arbutusbay.router._shared_state import (
    AuthenticatedTeam,
    RouterState,
    ServiceState,
)
from arbutusbay.state import (
    BackendKind,
    BackendServer,
    ConfigState,
    Route,
    Team,
)
from arbutusbay.wire import ConfigReply, ConfigRequest

_LOG = get_logger('config_follower')
_LONG_POLL_MS = 1000
_TIMEOUT_MARGIN_S = 1.0
_RETRY_DELAY_S = 0.1


class ConfigFollower(Controller):
    """Keep the configuration, the member VMs and the leaving VMs up to date."""

    shared_state: RouterState
    session: aiohttp.ClientSession
    dispatcher: Dispatcher

    async def step(self) -> None:
        """Poll once; wait before the next poll if no daemon answered."""
        if not await self.poll():
            await asyncio.sleep(_RETRY_DELAY_S)

    async def poll(self) -> bool:
        """Ask the local control daemon, or all others if that one fails.

        Returns whether a daemon answered and the router has a configuration.
        """
        own_url = self.shared_state.settings.node.control_url
        if await self._fetch(own_url):
            return True
        answers = await asyncio.gather(
            *(
                self._fetch(url)
                for url in self._control_daemon_urls()
                if url != own_url
            )
        )
        return any(answers)

    def _control_daemon_urls(self) -> list[str]:
        urls = set(self.shared_state.settings.peers)
        urls.update(self.shared_state.control_urls().values())
        return sorted(urls)

    async def _fetch(self, url: str) -> bool:
        wait_ms = _LONG_POLL_MS if self.shared_state.config_known else 0
        request = ConfigRequest(
            after=self.shared_state.config.offset
            if self.shared_state.config_known
            else -1,
            wait_ms=wait_ms,
            node=self.shared_state.settings.node.id,
        )
        result = await call_peer(
            self.session,
            f'{url}/peer/config',
            request,
            ConfigReply,
            timeout_s=wait_ms / 1000 + _TIMEOUT_MARGIN_S,
        )
        match result:
            case Ok(reply):
                self._apply_reply(reply)
                return reply.changed or self.shared_state.config_known
            case Err(failure):
                _LOG.debug(
                    'cannot fetch the configuration from {}: {}',
                    url,
                    failure.detail,
                )
        return False

    def _apply_reply(self, reply: ConfigReply) -> None:
        self.shared_state.members = reply.members
        self.shared_state.leaving_hosts = frozenset(reply.leaving)
        is_newer = reply.offset > self.shared_state.config.offset
        if reply.changed and (is_newer or not self.shared_state.config_known):
            install_config(
                self.shared_state,
                apply_config_reply(self.shared_state.config, reply),
            )
        update_draining_servers(self.shared_state)
        self.dispatcher.place_all_waiting()


def install_config(shared_state: RouterState, state: ConfigState) -> None:
    """Install ``state`` and rebuild the tables derived from it."""
    shared_state.config = state
    shared_state.config_known = True
    shared_state.teams_by_key_digest = {
        digest: AuthenticatedTeam(name=resource.id.name, spec=resource.spec)
        for resource in state.resources.values()
        if isinstance(resource.spec, Team)
        for digest in resource.spec.api_key_digests
    }
    shared_state.routes = {
        resource.id.name: resource.spec
        for resource in state.resources.values()
        if isinstance(resource.spec, Route)
    }
    servers = {
        resource.id.name: resource.spec
        for resource in state.resources.values()
        if isinstance(resource.spec, BackendServer)
    }
    _sync_server_states(shared_state.engines, servers, BackendKind.ENGINE)
    _sync_server_states(shared_state.services, servers, BackendKind.SERVICE)
    for name, service in shared_state.services.items():
        service.checks_idempotency_keys = servers[name].checks_idempotency_keys


def update_draining_servers(shared_state: RouterState) -> None:
    """Update which backend servers are draining.

    A backend server drains if its resource is marked, or if the platform lists
    its VM as leaving.
    """
    for state in (
        *shared_state.engines.values(),
        *shared_state.services.values(),
    ):
        spec = shared_state.backend_server(state.name)
        host = urlsplit(state.url).hostname
        state.draining = bool(spec and spec.draining) or (
            host in shared_state.leaving_hosts
        )


def _sync_server_states(
    states: dict[str, Any],
    servers: Mapping[str, BackendServer],
    kind: BackendKind,
) -> None:
    wanted = {name: spec for name, spec in servers.items() if spec.kind is kind}
    for name, spec in wanted.items():
        state = states.get(name)
        if state is None or (state.url, state.pool) != (spec.url, spec.pool):
            states[name] = _new_state(name, spec)
        states[name].zone = spec.zone
    for removed_name in states.keys() - wanted.keys():
        states.pop(removed_name)


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
