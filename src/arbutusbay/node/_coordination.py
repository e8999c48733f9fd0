"""Read the VM records, lease claims and verdicts from the store."""

import time
from collections.abc import Set

import attrs
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import Failure
from arbutusbay.fleet import LeaseClaim, VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import (
    StoreClient,
    StoreFailure,
    StorePosition,
    Topic,
    VerdictRecord,
    decode_coordination_record,
)
from arbutusbay.scheduling import fencing_token

_LOG = get_logger('coordination')
_MS_PER_S = 1000
_STORE_NAME = 'store'


@attrs.frozen(kw_only=True)
class CoordinationRead:
    """Hold what a read of the coordination topic found.

    ``end`` is the end of the topic, ``registered_vms`` holds the names of
    the VMs that have a record in it.
    """

    end: StorePosition
    registered_vms: Set[str]


async def read_coordination_topic(
    node_state: NodeState,
    store: StoreClient,
    *,
    timeout_s: float,
) -> Result[CoordinationRead, StoreFailure]:
    """Apply all VM records, lease claims and verdicts to ``node_state``.

    Malformed records are skipped, logged once. Fails if the store does, which
    has ``timeout_s`` seconds to respond.
    """
    newest = await store.read_latest(Topic.COORDINATION, timeout_s=timeout_s)
    match newest:
        case Err() as failed:
            return failed
        case Ok(found):
            pass
    node_state.observe_store_era(found.era)
    registered_vms: dict[str, VMRegistration] = {}
    for record in found.records:
        document = decode_coordination_record(
            record.key,
            record.payload,
        )
        match document:
            case Ok(VMRegistration() as vm):
                registered_vms[vm.name] = vm
            case Ok(LeaseClaim() as claim):
                fence = fencing_token(store_era=found.era, offset=record.offset)
                node_state.catalog.update_claim(claim, fence, now_s())
            case Ok(VerdictRecord() as stored):
                _apply_verdict(node_state, stored)
            case Err(failure):
                _log_skipped(node_state, record.key, failure)
    node_state.has_read_verdicts = True
    node_state.members.apply_records(registered_vms, now_s())
    return Ok(
        CoordinationRead(
            end=StorePosition(era=found.era, offset=found.end),
            registered_vms=registered_vms.keys(),
        )
    )


def _log_skipped(node_state: NodeState, key: str, failure: Failure) -> None:
    """Log why a record is skipped unless an earlier read found the same."""
    if node_state.skipped_records.get(key) == failure.detail:
        return
    node_state.skipped_records[key] = failure.detail
    _LOG.warning('malformed record skipped: {}', failure.detail)


def _apply_verdict(node_state: NodeState, stored: VerdictRecord) -> None:
    """Take over a stored verdict if it is newer than the known one."""
    moment_s = now_s()
    age_s = max(0.0, time.time() - stored.changed_ms / _MS_PER_S)
    verdict = attrs.evolve(stored.verdict, changed_s=moment_s - age_s)
    node_state.quarantine.merge_verdict(
        stored.key, verdict, moment_s, reporter=_STORE_NAME
    )
    revisions = node_state.stored_revisions.setdefault(stored.key, set())
    revisions.add(stored.verdict.revision)
