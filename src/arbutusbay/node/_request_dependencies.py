"""Bundle what the executions of requests share."""

import aiohttp
import attrs

from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placer import Placer
from arbutusbay.node._server_feedback import ServerFeedback
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.node.quarantine import PromptQuarantine


@attrs.frozen(kw_only=True)
class RequestDependencies:
    """Hold the dependencies that all request executions share."""

    node_state: NodeState
    placer: Placer
    feedback: ServerFeedback
    quarantine: PromptQuarantine
    dispatcher: Dispatcher
    stall_detector: StallDetector
    session: aiohttp.ClientSession
