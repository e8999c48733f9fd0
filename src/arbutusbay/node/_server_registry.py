"""Maintain the views of the registered backend servers."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.fleet import BackendServer
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.scheduling import EngineView

_LOG = get_logger('servers')
_REREGISTRATION_GRACE_S = 2.2
_CHECK_INTERVAL_S = 0.2


class ServerRegistry:
    """Apply registrations to the views of servers that placement reads.

    ``removal_due_s`` maps the ids of servers whose removal is deferred to
    the time of removal, in seconds on the clock of ``now_s``. ``newly_missing``
    holds those of them that the present read did not find. ``departed`` maps
    the ids of those that were removed as few were missing to their services,
    as more may be missing at the next read.
    """

    def __init__(self, *, node_state: NodeState) -> None:
        """Update the catalog and views on ``node_state``."""
        self.node_state = node_state
        self.removal_due_s: dict[str, float] = {}
        self.newly_missing: set[str] = set()
        self.departed: dict[str, str] = {}

    async def run(self) -> None:
        """Apply the removals whose delay has passed until cancelled.

        They do not wait for a read: the store may fail again.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.remove_expired()

    def apply_registration(self, server: BackendServer) -> None:
        """Add or update a server from its registration.

        A registration with a new incarnation replaces the view, including
        the known weights. A deferred removal of the server is cancelled.
        """
        self.removal_due_s.pop(server.id, None)
        self.newly_missing.discard(server.id)
        self.departed.pop(server.id, None)
        previous = self.node_state.catalog.servers.get(server.id)
        self.node_state.catalog.servers[server.id] = server
        view = self.node_state.engine_views.get(server.id)
        if view is None or view.incarnation != server.incarnation:
            view = self._add_view(server)
        if previous == server:
            return
        view.address = server.address
        view.service = server.service
        view.slots = server.slots
        if server.is_draining and not view.is_draining:
            _LOG.info('server drains', fields={'server': server.id})
        view.is_draining = server.is_draining
        view.merge_weights(server.weights)
        self.node_state.notify_state_changed()

    def deregister(self, server_id: str) -> None:
        """Remove a backend server that is no longer registered.

        A registration may expire during an outage of the store although the
        server is alive, and is then renewed shortly after the outage. So the
        removal is deferred for a grace period after an outage, unless
        ``remove_departed`` finds that the server has left.
        """
        grace_end_s = (
            self.node_state.freshness.outage_end_s + _REREGISTRATION_GRACE_S
        )
        if server_id in self.node_state.engine_views and now_s() < grace_end_s:
            self.removal_due_s[server_id] = grace_end_s
            self.newly_missing.add(server_id)
            return
        self.departed.clear()
        self._remove_now(server_id)

    def remove_departed(self) -> None:
        """Decide on the servers that a read did not find after an outage.

        An outage makes most registrations of a service expire together. Where
        most are still there, those that are missing belong to servers that have
        left, and what seemed an outage may be a fault of this VM's own link.
        """
        departed = [
            server_id
            for server_id in self.newly_missing
            if not self._are_most_missing(server_id)
        ]
        for server_id in self.newly_missing.difference(departed):
            _LOG.info('server removal deferred', fields={'server': server_id})
        for server_id in departed:
            self.departed[server_id] = self.node_state.engine_views[
                server_id
            ].service
            self.removal_due_s.pop(server_id)
            self._remove_now(server_id)
        self.newly_missing.clear()

    def remove_expired(self) -> None:
        """Remove servers that were not registered again in the grace period."""
        moment_s = now_s()
        overdue = [
            server_id
            for server_id, due_s in self.removal_due_s.items()
            if due_s <= moment_s
        ]
        for server_id in overdue:
            self.removal_due_s.pop(server_id)
            self._remove_now(server_id)

    def _are_most_missing(self, server_id: str) -> bool:
        """Return whether most servers of the same service are missing."""
        views = self.node_state.engine_views
        service = views[server_id].service
        registered = {
            name for name, view in views.items() if view.service == service
        }
        departed = {
            name for name, former in self.departed.items() if former == service
        }
        missing = departed | (registered & self.removal_due_s.keys())
        return len(missing) * 2 > len(registered | departed)

    def _remove_now(self, server_id: str) -> None:
        self.node_state.catalog.servers.pop(server_id, None)
        if self.node_state.engine_views.pop(server_id, None) is not None:
            _LOG.info('server gone', fields={'server': server_id})
            self.node_state.notify_state_changed()

    def _add_view(self, server: BackendServer) -> EngineView:
        view = EngineView(
            id=server.id,
            service=server.service,
            address=server.address,
            zone=server.zone,
            slots=server.slots,
            incarnation=server.incarnation,
        )
        self.node_state.engine_views[server.id] = view
        _LOG.info(
            'server registered',
            fields={
                'server': server.id,
                'service': server.service,
                'zone': server.zone,
                'weights': dict(server.weights),
                'at_s': round(now_s(), 3),
            },
        )
        return view
