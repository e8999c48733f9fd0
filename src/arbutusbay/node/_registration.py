"""Register this VM in the store and discover the other VMs."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._coordination import read_coordination_topic
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import (
    StoreClient,
    StoreFailure,
    StorePosition,
    Topic,
    VMSettings,
    encode_vm_record,
    vm_record_key,
)

_LOG = get_logger('registration')
_STORE_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_RETRY_DELAY_RANGE_S = (0.5, 1.5)
_MIN_REREAD_INTERVAL_S = 20.0
_MAX_FLEET_REREADS_PER_S = 1.0


def build_own_registration(settings: VMSettings) -> VMRegistration:
    """Return the registration of a VM that starts now."""
    return VMRegistration(
        name=settings.name,
        address=f'{settings.ip}:{settings.peer_ports[0]}',
        zone=settings.zone,
        started_ms=int(time.time() * _MS_PER_S),
    )


def reread_interval_s(vm_count: int) -> float:
    """Return the delay between two reads of the records, in seconds.

    It grows with the number of VMs, which limits the read rate of the
    fleet. It may be long: a new VM announces itself by its reports, so a
    read only recovers VMs whose reports were missed.
    """
    return max(_MIN_REREAD_INTERVAL_S, vm_count / _MAX_FLEET_REREADS_PER_S)


async def run_registration(
    node_state: NodeState,
    store: StoreClient,
    own_vm: VMRegistration,
) -> None:
    """Read what the VMs stored, write the record of this one, then reread.

    The verdicts about prompts are needed before the first request, and the
    records of VMs that start at the same time after the own one is there. Run
    until cancelled. Failed calls to the store are retried after a
    random delay. The record is written again if a restored store lost it, or
    another VM removed it.
    """
    await read_coordination_topic(node_state, store, timeout_s=_STORE_TIMEOUT_S)
    await _write_vm_record(node_state, store, own_vm)
    while True:
        if await _check_records(node_state, store, own_vm):
            await _wait_for_next_read(node_state)
        else:
            await _wait_before_retry(node_state)


async def _check_records(
    node_state: NodeState, store: StoreClient, own_vm: VMRegistration
) -> bool:
    """Read the records; return whether that of this VM was among them.

    It is written again if not, and those of VMs that are gone are removed.
    """
    read = await read_coordination_topic(
        node_state, store, timeout_s=_STORE_TIMEOUT_S
    )
    match read:
        case Err():
            return False
        case Ok(found) if own_vm.name not in found.registered_vms:
            await _write_vm_record(node_state, store, own_vm)
            return False
        case Ok(found):
            await _remove_gone_records(node_state, store, found.end)
    return True


async def withdraw_registration(
    node_state: NodeState, store: StoreClient, own_vm: VMRegistration
) -> None:
    """Remove the record of this VM, which stops; retry until cancelled."""
    key = vm_record_key(own_vm.name)
    await _write_until_done(
        node_state,
        lambda: store.delete(
            Topic.COORDINATION, (key,), timeout_s=_STORE_TIMEOUT_S
        ),
        done='vm registration withdrawn',
        failed='vm registration not withdrawn; retrying',
    )


async def _remove_gone_records(
    node_state: NodeState, store: StoreClient, end: StorePosition
) -> None:
    """Remove the records of VMs that are gone, unless one was written since.

    A record that is removed by mistake is written again by its VM. What fails
    is tried again after the next read.
    """
    names = node_state.members.removable_records(now_s())
    if not names:
        return
    removed = await store.delete(
        Topic.COORDINATION,
        [vm_record_key(name) for name in names],
        timeout_s=_STORE_TIMEOUT_S,
        expected_end=end.offset,
    )
    match removed:
        case Ok():
            _LOG.info('records of gone vms removed', fields={'vms': names})
        case Err(failure):
            _LOG.info(
                'records of gone vms not removed',
                fields={'vms': names, 'failure': repr(failure)},
            )


async def _wait_before_retry(node_state: NodeState) -> None:
    await asyncio.sleep(node_state.rng.uniform(*_RETRY_DELAY_RANGE_S))


async def _wait_for_next_read(node_state: NodeState) -> None:
    """Wait for the reread interval, less if the store is restored.

    The VMs of a fleet then read at different times, to spread the load.
    """
    vm_count = len(node_state.members.live(now_s()))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(reread_interval_s(vm_count)):
            await node_state.store_era.changed.wait()
            await asyncio.sleep(
                node_state.rng.uniform(0, vm_count / _MAX_FLEET_REREADS_PER_S)
            )


async def _write_vm_record(
    node_state: NodeState,
    store: StoreClient,
    own_vm: VMRegistration,
) -> None:
    key, payload = encode_vm_record(own_vm)
    await _write_until_done(
        node_state,
        lambda: store.append(
            Topic.COORDINATION, key, payload, timeout_s=_STORE_TIMEOUT_S
        ),
        done='vm registered',
        failed='vm registration failed; retrying',
    )


async def _write_until_done(
    node_state: NodeState,
    write: Callable[[], Awaitable[Result[StorePosition, StoreFailure]]],
    *,
    done: str,
    failed: str,
) -> None:
    """Call ``write`` until it succeeds, and log each result."""
    while True:
        match await write():
            case Ok(position):
                _LOG.info(
                    done,
                    fields={'offset': position.offset, 'era': position.era},
                )
                return
            case Err(failure):
                _LOG.info(failed, fields={'failure': repr(failure)})
                await _wait_before_retry(node_state)
