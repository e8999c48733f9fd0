"""Keep one view of each registered backend server."""

from arbutusbay.fleet import BackendServer
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.scheduling import EngineView

_LOG = get_logger('servers')


class ServerViews:
    """Fold registrations into the views that placement reads."""

    def __init__(self, *, board: NodeBoard) -> None:
        """Write to ``board``."""
        self.board = board

    def put(self, server: BackendServer) -> None:
        """Take up a registration."""
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
        """Take up that a backend server is gone."""
        self.board.catalog.servers.pop(server_id, None)
        if self.board.views.pop(server_id, None) is not None:
            _LOG.info('server gone', fields={'server': server_id})
            self.board.notify()

    def expire(self) -> None:
        """Drop servers whose removal was held back long enough."""

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
