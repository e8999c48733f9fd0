"""Create the components of the daemon and connect them."""

import aiohttp

from arbutusbay.logs import NonblockingLineWriter
from arbutusbay.node._control_api import ControlApi
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._follower import TopicFollower
from arbutusbay.node._frontend import Frontend
from arbutusbay.node._lease import WEIGHTS_LEASE_NAME, Lease
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_channel import PeerChannel
from arbutusbay.node._placer import Placer
from arbutusbay.node._registration import build_own_registration
from arbutusbay.node._relay_api import RelayApi
from arbutusbay.node._request_dependencies import RequestDependencies
from arbutusbay.node._rollout import Rollout
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from arbutusbay.node._weights_loader import WeightsLoader
from arbutusbay.node.quarantine import PromptQuarantine, VerdictRecorder
from arbutusbay.node.quota import (
    DATAGRAM_TYPE,
    Outbox,
    QuotaClient,
    QuotaMetrics,
    RequestGrants,
    ShareRenewals,
)
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
        order_session: aiohttp.ClientSession,
        log_writer: NonblockingLineWriter,
    ) -> None:
        """Create all components; ``session`` is used for outgoing calls.

        ``order_session``, which must not reuse connections, is used for orders
        to engines.
        """
        self.node_state = NodeState(settings=settings)
        self.own_vm = build_own_registration(settings)
        self.node_state.members.own_vm = self.own_vm
        self.store = StoreClient(
            address=str(settings.store),
            session=session,
        )
        self.metrics = NodeMetrics()
        self.peer_channel = PeerChannel(
            node_state=self.node_state, own_vm=self.own_vm
        )
        self.stall_detector = StallDetector(node_state=self.node_state)
        self.quota_client = self._build_quota_client()
        self.share_renewals = ShareRenewals(client=self.quota_client)
        self._build_store_components(session, order_session)
        self._build_request_components(session, log_writer)

    def _build_quota_client(self) -> QuotaClient:
        client = QuotaClient(
            node_state=self.node_state,
            own_vm=self.own_vm,
            outbox=Outbox(send=self.peer_channel.send_datagram),
            metrics=QuotaMetrics(),
        )
        self.peer_channel.add_receiver(DATAGRAM_TYPE, client.receive)
        return client

    def _build_store_components(
        self,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
    ) -> None:
        operator_topic = OperatorTopicState(node_state=self.node_state)
        self.server_registry = ServerRegistry(node_state=self.node_state)
        servers_topic = ServersTopicState(
            node_state=self.node_state, server_registry=self.server_registry
        )
        self.follower = TopicFollower(
            node_state=self.node_state,
            store=self.store,
            session=session,
            operator_topic=operator_topic,
            servers_topic=servers_topic,
        )
        self.relay_api = RelayApi(
            node_state=self.node_state,
            operator_topic=operator_topic,
            servers_topic=servers_topic,
        )
        lease = Lease(
            name=WEIGHTS_LEASE_NAME,
            holder=self.own_vm.name,
            node_state=self.node_state,
            store=self.store,
        )
        self.rollout = Rollout(
            node_state=self.node_state,
            lease=lease,
            loader=WeightsLoader(
                node_state=self.node_state,
                lease=lease,
                report_builder=self.peer_channel.report_builder,
                session=session,
                order_session=order_session,
            ),
        )

    def _build_request_components(
        self,
        session: aiohttp.ClientSession,
        log_writer: NonblockingLineWriter,
    ) -> None:
        placer = Placer(node_state=self.node_state)
        self.dispatcher = Dispatcher(node_state=self.node_state, placer=placer)
        self.quarantine = PromptQuarantine(
            node_state=self.node_state,
            dispatcher=self.dispatcher,
            stall_detector=self.stall_detector,
        )
        self.verdict_recorder = VerdictRecorder(
            node_state=self.node_state,
            store=self.store,
            quarantine=self.quarantine,
        )
        self.frontend = Frontend(
            node_state=self.node_state,
            dependencies=RequestDependencies(
                node_state=self.node_state,
                placer=placer,
                quarantine=self.quarantine,
                request_grants=RequestGrants(client=self.quota_client),
                dispatcher=self.dispatcher,
                stall_detector=self.stall_detector,
                session=session,
            ),
            metrics=self.metrics,
        )
        self.control_api = ControlApi(
            node_state=self.node_state,
            metrics=self.metrics,
            store=self.store,
            log_writer=log_writer,
            quota_client=self.quota_client,
        )
