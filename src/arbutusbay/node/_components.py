"""Create the components of the daemon and connect them."""

import time

import aiohttp

from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import LineWriter
from arbutusbay.node._control_api import ControlApi
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._follower import Follower
from arbutusbay.node._frontend import Frontend
from arbutusbay.node._lease import WEIGHTS_LEASE_NAME, Lease
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from arbutusbay.node._placer import Placer
from arbutusbay.node._relay_api import RelayApi
from arbutusbay.node._request_executor import RequestDependencies
from arbutusbay.node._rollout import Rollout
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.node._weights_loader import WeightsLoader
from arbutusbay.platform import StoreClient, VMSettings


class NodeComponents:
    """Hold the components of the daemon.

    All of them share one state, and each gets the components that it uses.
    """

    def __init__(
        self,
        *,
        settings: VMSettings,
        session: aiohttp.ClientSession,
        writer: LineWriter,
    ) -> None:
        """Create all components; ``session`` is used for outgoing calls."""
        self.board = NodeState(settings=settings)
        self.me = VMRegistration(
            name=settings.name,
            address=f'{settings.ip}:{settings.peer_ports[0]}',
            zone=settings.zone,
            started_ms=int(time.time() * 1000),
        )
        self.board.catalog.vms[self.me.name] = self.me
        self.store = StoreClient(
            address=str(settings.store),
            session=session,
        )
        self.metrics = NodeMetrics()
        self.peers = PeerChannel(board=self.board, me=self.me)
        self.watch = StallDetector(board=self.board)
        self._build_store_components(session)
        self._build_request_components(session, writer)

    def _build_store_components(self, session: aiohttp.ClientSession) -> None:
        operator = OperatorTopicState(board=self.board)
        servers = ServersTopicState(
            board=self.board,
            views=ServerRegistry(board=self.board),
        )
        self.follower = Follower(
            board=self.board,
            store=self.store,
            session=session,
            operator=operator,
            servers=servers,
        )
        self.relay = RelayApi(
            board=self.board,
            operator=operator,
            servers=servers,
        )
        lease = Lease(
            name=WEIGHTS_LEASE_NAME,
            holder=self.me.name,
            board=self.board,
            store=self.store,
        )
        self.rollout = Rollout(
            board=self.board,
            lease=lease,
            loader=WeightsLoader(
                board=self.board,
                lease=lease,
                reports=self.peers.reports,
                session=session,
            ),
        )

    def _build_request_components(
        self,
        session: aiohttp.ClientSession,
        writer: LineWriter,
    ) -> None:
        placer = Placer(board=self.board)
        self.dispatcher = Dispatcher(board=self.board, placer=placer)
        self.frontend = Frontend(
            board=self.board,
            tools=RequestDependencies(
                board=self.board,
                placer=placer,
                dispatcher=self.dispatcher,
                watch=self.watch,
                session=session,
            ),
            metrics=self.metrics,
        )
        self.control = ControlApi(
            board=self.board,
            metrics=self.metrics,
            store=self.store,
            writer=writer,
        )
