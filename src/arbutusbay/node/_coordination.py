"""Read the VM records and lease claims from the store."""

from result import Err, Ok, Result

from arbutusbay.fleet import LeaseClaim, VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._clock import now_s
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import (
    StoreClient,
    StoreFailure,
    Topic,
    decode_coordination_record,
)

_LOG = get_logger('coordination')


async def read_coordination_topic(
    node_state: NodeState,
    store: StoreClient,
    *,
    timeout_s: float,
) -> Result[int, StoreFailure]:
    """Apply all VM records and lease claims to ``node_state``.

    Malformed records are logged and skipped. Return the end offset of the
    topic, or the failure of the store, which has ``timeout_s`` seconds to
    respond.
    """
    newest = await store.read_latest(Topic.COORDINATION, timeout_s=timeout_s)
    match newest:
        case Err() as failed:
            return failed
        case Ok(found):
            pass
    for record in found.records:
        document = decode_coordination_record(
            record.key,
            record.payload,
        )
        match document:
            case Ok(VMRegistration() as vm):
                node_state.catalog.vms[vm.name] = vm
            case Ok(LeaseClaim() as claim):
                node_state.catalog.update_claim(claim, record.offset, now_s())
            case Err(failure):
                _LOG.warning('malformed record skipped: {}', failure.detail)
    return Ok(found.end)
