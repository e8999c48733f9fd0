"""Leave places to requests at other VMs that go before, and log it."""

from arbutusbay.fairness import PlaceOffer
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.scheduling import AdmissionQueue, QueuedRequest

_LOG = get_logger('dispatcher')


def leaves_place(
    node_state: NodeState,
    queue: AdmissionQueue,
    request: QueuedRequest,
    moment_s: float,
) -> bool:
    """Return whether a place that ``request`` fits is left to other VMs."""
    known = node_state.fleet_queues.of_service(queue.service)
    if not known.has_waiting_elsewhere(moment_s):
        return False
    if queue.is_on_floor(request, moment_s):
        return False
    offer = PlaceOffer(
        rank=queue.rank_of(request, moment_s),
        vms=len(node_state.members.live(moment_s)),
    )
    was_left_s = known.left_places.until_s
    leaves = known.left_places.leaves_place(
        offer, moment_s, node_state.rng.random()
    )
    if known.left_places.until_s != was_left_s:
        _LOG.info(
            'place left to other VMs',
            fields={
                'service': queue.service,
                'waiting': len(queue),
                'rank': offer.rank,
                'before': known.elsewhere.count_before(offer.rank, moment_s),
                'vms': offer.vms,
            },
        )
    return leaves
