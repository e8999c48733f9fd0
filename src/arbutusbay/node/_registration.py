"""Announce this VM to the others and learn of them from the store."""

import asyncio

from result import Err, Ok, Result

from arbutusbay.fleet import LeaseClaim, VMRecord
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.platform import (
    StoreClient,
    StoreFailure,
    Topic,
    coordination_document_from_record,
    record_from_vm,
)

_LOG = get_logger('registration')
_ANSWER_S = 1.0
_PAUSE_RANGE_S = (0.5, 1.5)
_REREAD_S = 20.0


async def register(
    board: NodeBoard,
    store: StoreClient,
    me: VMRecord,
) -> None:
    """Write the record of this VM, then read those of all, now and then."""
    board.catalog.vms[me.name] = me
    await _write(board, store, me)
    while True:
        read = await _read_all(board, store)
        if isinstance(read, Err):
            await asyncio.sleep(board.rng.uniform(*_PAUSE_RANGE_S))
        else:
            await asyncio.sleep(_REREAD_S)


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


async def _read_all(
    board: NodeBoard,
    store: StoreClient,
) -> Result[None, StoreFailure]:
    newest = await store.newest(Topic.COORDINATION, timeout_s=_ANSWER_S)
    match newest:
        case Err() as failed:
            return failed
        case Ok(found):
            pass
    for record in found.records:
        document = coordination_document_from_record(
            record.key,
            record.payload,
        )
        match document:
            case Ok(VMRecord() as vm):
                board.catalog.vms[vm.name] = vm
            case Ok(LeaseClaim() as claim):
                board.catalog.put_claim(claim, record.offset, now_s())
            case Err(failure):
                _LOG.warning('record skipped: {}', failure.detail)
    return Ok(None)
