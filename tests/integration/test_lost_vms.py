"""Check that VMs which are gone delay nothing and leave nothing behind."""

import functools
import signal
from typing import Any

import pytest

from arbutusbay.clock import now_s
from arbutusbay.hashing import rank_by_rendezvous_hash
from emulator.fleet import Fleet, FleetNode, wait_for_condition
from tests.fleet_builders import MODEL, start_fleet, wait_until_ready

_LEASE = 'weights'
_VMS = 12
_COORDINATION_TOPIC = 'keyed.arbutusbay'
_LEAVING_S = 4.0


def registered_vms(fleet: Fleet) -> set[str]:
    """Return the names of the VMs that have a record in the store."""
    records = fleet.store.topic(_COORDINATION_TOPIC).newest_records()
    return {
        record.key.removeprefix('vm/')
        for record in records
        if record.key.startswith('vm/')
    }


def are_registered(fleet: Fleet, nodes: list[FleetNode]) -> bool:
    """Return whether just these VMs have a record."""
    return registered_vms(fleet) == {node.name for node in nodes}


def have_version(fleet: Fleet, version: int) -> bool:
    """Return whether all engines run a weights version."""
    return all(engine.version == version for engine in fleet.engines)


async def known_vms(http, node: FleetNode) -> list[Any]:
    """Return what a VM shows of the others."""
    async with http.get(f'{node.control_url}/debug/state') as response:
        return (await response.json())['vms']


async def sees_all(http, node: FleetNode, others: int) -> bool:
    """Return whether a VM knows as many others."""
    return len(await known_vms(http, node)) >= others


async def is_there(http, node: FleetNode, name: str) -> bool:
    """Return whether a VM sees another one that neither stops nor is silent."""
    return any(
        vm['name'] == name and not vm['leaving'] and not vm['silent']
        for vm in await known_vms(http, node)
    )


async def is_left_by(http, node: FleetNode, name: str) -> bool:
    """Return whether a VM sees that another one stops, or no more of it."""
    return not await is_there(http, node, name)


# Guards against new weights that wait for the turns of VMs that died a moment
# before, so that all requests for the model are refused meanwhile.
async def test_lost_vms_delay_no_rollout(fleet, http):
    nodes = await start_fleet(fleet, engines=2, plain=0, nodes=_VMS)
    await wait_until_ready(nodes, http)
    await wait_for_condition(
        functools.partial(are_registered, fleet, nodes), 'all registered'
    )
    ranked = rank_by_rendezvous_hash(_LEASE, [node.name for node in nodes])
    lost = [node for node in nodes if node.name != ranked[-1]]
    last = next(node for node in nodes if node not in lost)
    await wait_for_condition(
        functools.partial(sees_all, http, last, len(lost)), 'all known'
    )
    for node in lost:
        await node.stop(signal.SIGKILL)
    named_s = now_s()
    fleet.set_target_weights_version(MODEL, 2)
    await wait_for_condition(
        functools.partial(have_version, fleet, 2), 'new weights'
    )
    assert now_s() - named_s < fleet.version_ms / 1000


# Guards against a VM that stops and counts as one that is there, and whose
# record stays in the store for good.
async def test_vm_that_stops_leaves_the_fleet(fleet, http):
    nodes = await start_fleet(fleet, engines=0, plain=1, nodes=3)
    await wait_until_ready(nodes, http)
    await wait_for_condition(
        functools.partial(are_registered, fleet, nodes), 'all registered'
    )
    leaving, *others = nodes
    stopped_s = now_s()
    leaving.process.send_signal(signal.SIGTERM)
    for node in others:
        await wait_for_condition(
            functools.partial(is_left_by, http, node, leaving.name),
            'the others know',
        )
    assert now_s() - stopped_s < _LEAVING_S
    await leaving.stop()
    assert are_registered(fleet, others)


# Guards against a VM that stops, starts again under its name and stays out.
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGKILL])
async def test_vm_that_starts_again_is_back(fleet, http, number):
    nodes = await start_fleet(fleet, engines=0, plain=1, nodes=2)
    await wait_until_ready(nodes, http)
    await nodes[0].stop(number)
    await nodes[0].start()
    await wait_until_ready(nodes, http)
    await wait_for_condition(
        functools.partial(are_registered, fleet, nodes), 'both registered'
    )
    await wait_for_condition(
        functools.partial(is_there, http, nodes[1], nodes[0].name), 'back'
    )
