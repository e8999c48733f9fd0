"""Register this VM in the store and discover the other VMs."""

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
_STORE_TIMEOUT_S = 1.0
_RETRY_DELAY_RANGE_S = (0.5, 1.5)
_MIN_REREAD_INTERVAL_S = 20.0
_MAX_FLEET_REREADS_PER_S = 1.0


def reread_pause_s(vm_count: int) -> float:
    """Return the delay between two reads of the records, in seconds.

    It grows with the number of VMs, which limits the read rate of the
    fleet. It may be long: a new VM announces itself by its reports, so a
    read only recovers VMs whose reports were missed.
    """
    return max(_MIN_REREAD_INTERVAL_S, vm_count / _MAX_FLEET_REREADS_PER_S)


async def register(
    board: NodeBoard,
    store: StoreClient,
    me: VMRecord,
) -> None:
    """Write the record of this VM, then reread those of all VMs.

    Run until cancelled. Failed calls to the store are retried after a
    random delay.
    """
    board.catalog.vms[me.name] = me
    await _write_vm_record(board, store, me)
    while True:
        read = await read_coordination(board, store, timeout_s=_STORE_TIMEOUT_S)
        if isinstance(read, Err):
            await asyncio.sleep(board.rng.uniform(*_RETRY_DELAY_RANGE_S))
        else:
            await asyncio.sleep(reread_pause_s(len(board.catalog.vms)))


async def _write_vm_record(
    board: NodeBoard,
    store: StoreClient,
    me: VMRecord,
) -> None:
    key, payload = record_from_vm(me)
    while True:
        written = await store.append(
            Topic.COORDINATION,
            key,
            payload,
            timeout_s=_STORE_TIMEOUT_S,
        )
        match written:
            case Ok(offset):
                _LOG.info('vm registered', fields={'offset': offset})
                return
            case Err(failure):
                _LOG.info(
                    'vm registration failed; retrying',
                    fields={'failure': repr(failure)},
                )
                await asyncio.sleep(board.rng.uniform(*_RETRY_DELAY_RANGE_S))
