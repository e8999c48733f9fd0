"""Keep one view of each registered backend server."""

from arbutusbay.fleet import BackendServer
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.scheduling import EngineView

_LOG = get_logger('servers')
_RETURN_S = 2.2


class ServerViews:
    """Fold registrations into the views that placement reads."""

    def __init__(self, *, board: NodeBoard) -> None:
        """Write to ``board``."""
        self.board = board
        self.doubtful_until_s: dict[str, float] = {}

    def put(self, server: BackendServer) -> None:
        """Take up a registration."""
        self.doubtful_until_s.pop(server.id, None)
        held = self.board.catalog.servers.get(server.id)
        self.board.catalog.servers[server.id] = server
        view = self.board.views.get(server.id)
        if view is None or view.incarnation != server.incarnation:
            view = self._new_view(server)
        if held == server:
            return
        view.address = server.address
        view.service = server.service
        view.slots = server.slots
        if server.is_draining and not view.is_draining:
            _LOG.info('server drains', fields={'server': server.id})
        view.is_draining = server.is_draining
        view.put_weights(server.weights)
        self.board.notify()

    def remove(self, server_id: str) -> None:
        """Take up that a backend server is gone.

        A registration that lapsed while the store was away comes back
        shortly after it, if the server lives; so its removal waits.
        """
        grace_end_s = self.board.freshness.outage_end_s + _RETURN_S
        if server_id in self.board.views and now_s() < grace_end_s:
            self.doubtful_until_s[server_id] = grace_end_s
            _LOG.info('server doubtful', fields={'server': server_id})
            return
        self._drop(server_id)

    def expire(self) -> None:
        """Drop servers that did not come back in time."""
        moment_s = now_s()
        overdue = [
            server_id
            for server_id, until_s in self.doubtful_until_s.items()
            if until_s <= moment_s
        ]
        for server_id in overdue:
            self.doubtful_until_s.pop(server_id)
            self._drop(server_id)

    def _drop(self, server_id: str) -> None:
        self.board.catalog.servers.pop(server_id, None)
        if self.board.views.pop(server_id, None) is not None:
            _LOG.info('server gone', fields={'server': server_id})
            self.board.notify()

    def _new_view(self, server: BackendServer) -> EngineView:
        view = EngineView(
            id=server.id,
            service=server.service,
            address=server.address,
            zone=server.zone,
            slots=server.slots,
            incarnation=server.incarnation,
        )
        self.board.views[server.id] = view
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
