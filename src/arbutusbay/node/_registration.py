"""Register this VM in the store and discover the other VMs."""

import asyncio
import contextlib
import time

from result import Err, Ok

from arbutusbay.fleet import VMRegistration
from arbutusbay.logs import get_logger
from arbutusbay.node._coordination import read_coordination_topic
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import (
    StoreClient,
    Topic,
    VMSettings,
    encode_vm_record,
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
    random delay. The record is written again if a restored store lost it.
    """
    node_state.catalog.vms[own_vm.name] = own_vm
    await read_coordination_topic(node_state, store, timeout_s=_STORE_TIMEOUT_S)
    await _write_vm_record(node_state, store, own_vm)
    while True:
        read = await read_coordination_topic(
            node_state, store, timeout_s=_STORE_TIMEOUT_S
        )
        match read:
            case Err():
                await asyncio.sleep(
                    node_state.rng.uniform(*_RETRY_DELAY_RANGE_S)
                )
            case Ok(found) if own_vm.name not in found.registered_vms:
                await _write_vm_record(node_state, store, own_vm)
                await asyncio.sleep(
                    node_state.rng.uniform(*_RETRY_DELAY_RANGE_S)
                )
            case Ok():
                await _wait_for_next_read(node_state)


async def _wait_for_next_read(node_state: NodeState) -> None:
    """Wait for the reread interval, less if the store is restored.

    The VMs of a fleet then read at different times, to spread the load.
    """
    vm_count = len(node_state.catalog.vms)
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
    while True:
        written = await store.append(
            Topic.COORDINATION,
            key,
            payload,
            timeout_s=_STORE_TIMEOUT_S,
        )
        match written:
            case Ok(position):
                _LOG.info(
                    'vm registered',
                    fields={'offset': position.offset, 'era': position.era},
                )
                return
            case Err(failure):
                _LOG.info(
                    'vm registration failed; retrying',
                    fields={'failure': repr(failure)},
                )
                await asyncio.sleep(
                    node_state.rng.uniform(*_RETRY_DELAY_RANGE_S)
                )
