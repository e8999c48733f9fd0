"""Refuse requests that can't be answered before this VM ends."""

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.errors import Failure
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.planned_stop import TimeNeed, refuse_in_stop


def refuse_for_stop(
    node_state: NodeState,
    incoming: IncomingRequest,
    *,
    point: str,
    may_have_run: bool = False,
) -> Failure | None:
    """Return a failure if ``incoming`` must not be sent any more.

    A body that is not whole yet counts as one that ends now.
    """
    moment_s = now_s()
    received_s = incoming.whole_s
    return refuse_in_stop(
        node_state.stop,
        TimeNeed(
            received_s=moment_s if received_s is None else received_s,
            deadline_s=incoming.deadline_s,
            expected_s=node_state.response_durations.expected_s(
                incoming.route.name, target_s=incoming.route.target_latency_s
            ),
        ),
        moment_s,
        point=point,
        may_have_run=may_have_run,
    )


def is_too_late_to_send(
    node_state: NodeState, incoming: IncomingRequest
) -> bool:
    """Return whether ``incoming`` must not be sent any more."""
    return refuse_for_stop(node_state, incoming, point='') is not None


def stop_fields(node_state: NodeState) -> dict[str, int | None]:
    """Return for the log how long the stop has lasted, if there is one."""
    stop = node_state.stop
    if stop is None:
        return {}
    return {'draining_ms': milliseconds(now_s() - stop.began_s)}
