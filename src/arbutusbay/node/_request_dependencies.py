"""Bundle what the executions of requests share."""

import aiohttp
import attrs

from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placer import Placer
from arbutusbay.node._server_feedback import ServerFeedback
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.node.quarantine import PromptQuarantine
from arbutusbay.node.quota import RequestGrants


@attrs.frozen(kw_only=True)
class RequestDependencies:
    """Hold the dependencies that all request executions share."""

    node_state: NodeState
    placer: Placer
    quarantine: PromptQuarantine
    request_grants: RequestGrants
    dispatcher: Dispatcher
    stall_detector: StallDetector
    session: aiohttp.ClientSession
    feedback: ServerFeedback = attrs.field(init=False)

    @feedback.default
    def _create_feedback(self) -> ServerFeedback:
        return ServerFeedback(node_state=self.node_state)
