"""Announce this VM to the others and learn of them from the store."""

import asyncio

from result import Err, Ok

from arbutusbay.fleet import VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._coordination import read_coordination
from arbutusbay.platform import (
    StoreClient,
    Topic,
    record_from_vm,
)

_LOG = get_logger('registration')
_ANSWER_S = 1.0
_PAUSE_RANGE_S = (0.5, 1.5)
_LEAST_REREAD_S = 20.0
_REREADS_PER_S = 1.0


def reread_pause_s(vm_count: int) -> float:
    """Return when to read again, so that all VMs together read seldom.

    New VMs make themselves heard; a read only mends what was missed.
    """
    return max(_LEAST_REREAD_S, vm_count / _REREADS_PER_S)


async def register(
    board: NodeBoard,
    store: StoreClient,
    me: VMRecord,
) -> None:
    """Write the record of this VM, then read those of all, now and then."""
    board.catalog.vms[me.name] = me
    await _write(board, store, me)
    while True:
        read = await read_coordination(board, store, timeout_s=_ANSWER_S)
        if isinstance(read, Err):
            await asyncio.sleep(board.rng.uniform(*_PAUSE_RANGE_S))
        else:
            await asyncio.sleep(reread_pause_s(len(board.catalog.vms)))


async def _write(board: NodeBoard, store: StoreClient, me: VMRecord) -> None:
    key, payload = record_from_vm(me)
    while True:
        written = await store.append(
            Topic.COORDINATION,
            key,
            payload,
            timeout_s=_ANSWER_S,
        )
        match written:
            case Ok(offset):
                _LOG.info('vm registered', fields={'offset': offset})
                return
            case Err(failure):
                _LOG.info(
                    'vm not registered yet',
                    fields={'failure': repr(failure)},
                )
                await asyncio.sleep(board.rng.uniform(*_PAUSE_RANGE_S))
