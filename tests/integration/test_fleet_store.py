"""Check how daemons follow the store and roll out weights.

The tests guard against revoked API keys that stay valid, configuration that
becomes stale while the store is unreachable or reverts when it is restored,
too many reads of the store, two VMs that roll out weights at once, servers that
leave, and malformed records in the store.
"""

import asyncio
import functools
import signal
import time

from emulator.fleet import FleetNode, wait_for_condition
from emulator.store import StoreFault
from tests.fleet_builders import (
    SHARED_CACHE_SCOPE,
    MODEL,
    build_configuration,
    build_teams,
    start_fleet,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import (
    all_reject_key,
    all_runs,
    count_runs,
    key_statuses,
    rejects_stale_configuration,
    request_stream,
    request_succeeds,
)

# Traffic starts 12 s after the VMs do.
_READY_S = 12.0
_RESTORED_FOR_S = 1.5
_MANY_REQUESTS = 12


async def wait_until_loaded(engines, version: int) -> None:
    """Wait until all ``engines`` run a weights version."""
    await wait_for_condition(
        lambda: all(engine.version == version for engine in engines),
        f'weights {version} loaded',
    )


async def test_revoked_api_key_is_rejected_by_all_vms(fleet, http):
    nodes = await start_fleet(fleet, nodes=3)
    await wait_until_ready(nodes, http)
    fleet.configure(
        build_configuration(2, tenants=build_teams(keys=('another',))),
    )

    await wait_for_condition(
        functools.partial(all_reject_key, http, nodes),
        'revoked key rejected',
        limit_s=2.0,
    )


async def test_stale_configuration_rejects_requests_with_api_keys(fleet, http):
    fleet.revocation_ms = 2500
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    fleet.store.faults[''] = StoreFault.SILENT

    await wait_for_condition(
        functools.partial(rejects_stale_configuration, http, node),
        'stale configuration rejected',
        limit_s=5.0,
    )
    assert not await node.is_ready(http)
    fleet.store.faults.clear()
    await wait_until_ready([node], http)
    assert (await request_stream(http, node, 'f2'))[0] == 200


async def test_vm_without_store_access_follows_another_vm(fleet, http):
    fleet.revocation_ms = 2500
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    for node in nodes:
        fleet.store.faults = {node.ip: StoreFault.BUSY}
        await asyncio.sleep(3.0)
        for target_node in nodes:
            assert (
                await request_stream(http, target_node, f'v-{target_node.name}')
            )[0] == 200


async def test_few_vms_read_the_store(fleet, http):
    nodes = await start_fleet(fleet, nodes=4)
    await wait_until_ready(nodes, http)
    await asyncio.sleep(2.0)
    count_before = fleet.store.read_count
    await asyncio.sleep(3.0)
    assert fleet.store.read_count - count_before < 15


async def test_weights_are_rolled_out_by_one_lease_holder(fleet, http):
    nodes = await start_fleet(fleet, engines=3, nodes=2)
    await wait_until_ready(nodes, http)
    fleet.set_target_weights_version(MODEL, 2)
    engines = fleet.engines[:3]
    await wait_until_loaded(engines, 2)
    holders = {
        holder_name
        for engine in engines
        for holder_name, _ in engine.order_holders
    }
    assert len(holders) == 1

    await wait_for_condition(
        functools.partial(request_succeeds, http, nodes[0], 'w1'),
        'request served by the new weights',
    )
    new_run = next(run for run in all_runs(fleet) if run.attempt_id == 'w1')
    assert new_run.version == 2
    assert new_run.headers['Cache-Salt'] == f'{SHARED_CACHE_SCOPE}-2'


# Guards against work that begins on replaced weights after their time is up:
# the VM did not run while the new ones were named, and read of them late.
async def test_resumed_vm_starts_no_work_on_weights_replaced_too_long_ago(
    fleet, http
):
    fleet.version_ms = 4000
    node = await start_single_node(fleet, accepts_orders=False)
    await wait_until_ready([node], http)
    assert await request_succeeds(http, node, 'before')
    node.process.send_signal(signal.SIGSTOP)
    fleet.set_target_weights_version(MODEL, 2)
    named_s = time.monotonic()
    await asyncio.sleep(3.0)
    node.process.send_signal(signal.SIGCONT)
    await wait_until_ready([node], http)
    await asyncio.sleep(named_s + 4.0 - time.monotonic())
    status, _, _ = await request_stream(http, node, 'after')
    assert (status, count_runs(fleet, 'after')) == (503, 0)


# Guards against work that begins on replaced weights after their time is up:
# it was sent before, but waited in the queue of its engine.
async def test_queued_work_does_not_begin_on_weights_replaced_too_long_ago(
    fleet, http
):
    fleet.version_ms = 4000
    node = await start_single_node(fleet, accepts_orders=False)
    await wait_until_ready([node], http)
    fleet.set_target_weights_version(MODEL, 2)
    named_s = time.monotonic()
    await asyncio.sleep(0.8)
    for engine in fleet.engines:
        engine.options.queue_s = 3.6
    status, _, _ = await request_stream(http, node, 'queued')
    assert status == 502
    await asyncio.sleep(named_s + 5.5 - time.monotonic())
    assert count_runs(fleet, 'queued') == 0


async def test_another_vm_takes_over_the_rollout(fleet, http):
    nodes = await start_fleet(fleet, engines=2, nodes=2)
    await wait_until_ready(nodes, http)
    fleet.set_target_weights_version(MODEL, 2)
    engines = fleet.engines[:2]
    await wait_until_loaded(engines, 2)
    first_holder = engines[0].order_holders[0]
    holder_node = next(node for node in nodes if node.name == first_holder[0])
    await holder_node.stop(signal.SIGKILL)
    fleet.set_target_weights_version(MODEL, 3)
    await wait_until_loaded(engines, 3)
    last_holder = engines[0].order_holders[-1]
    assert last_holder[0] != first_holder[0]
    assert last_holder[1] > first_holder[1]


async def test_draining_server_gets_no_new_requests(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    draining_engine = fleet.engines[0]
    draining_engine.is_draining = True
    fleet.register(draining_engine)
    await asyncio.sleep(1.5)
    count_before = len(draining_engine.executions)
    for number in range(6):
        assert (await request_stream(http, node, f'd{number}'))[0] == 200
    assert len(draining_engine.executions) == count_before


async def test_malformed_records_are_ignored(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    fleet.store.topic('keyed.op').append('config', b'\xff{')
    fleet.store.append_document('keyed.op', 'config', {'version': 'x'})
    fleet.store.append_document('keyed.servers', 'ghost', {'service': 5})
    await asyncio.sleep(1.2)
    assert (await request_stream(http, node, 'u1'))[0] == 200
    assert node.process.returncode is None


async def _lose_revocation(fleet, http) -> list[FleetNode]:
    """Return VMs that have seen a revocation which the store has lost."""
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    copy = fleet.store.copy_ends()
    fleet.configure(
        build_configuration(2, tenants=build_teams(keys=('another',))),
    )
    await wait_for_condition(
        functools.partial(all_reject_key, http, nodes), 'revoked key rejected'
    )
    fleet.store.restore(copy)
    return nodes


async def test_restored_store_reverts_nothing(fleet, http):
    nodes = await _lose_revocation(fleet, http)
    end_s = time.monotonic() + _RESTORED_FOR_S
    while time.monotonic() < end_s:
        assert await all_reject_key(http, nodes)
        await asyncio.sleep(0.1)
    fleet.configure(build_configuration(2, tenants=build_teams(keys=('x',))))
    fleet.configure(build_configuration(3))
    await wait_for_condition(
        functools.partial(request_succeeds, http, nodes[0], 'after'),
        'configuration 3 in force',
    )
    assert (await request_stream(http, nodes[1], 'other'))[0] == 200


# Guards against a VM that starts behind a restoration, before the operator has
# written again, and takes a revoked key although other VMs know better.
async def test_vm_that_starts_after_a_restoration_reverts_nothing(fleet, http):
    await _lose_revocation(fleet, http)
    started = [await fleet.add_node('plateau') for _ in range(4)]
    end_s = time.monotonic() + _RESTORED_FOR_S
    await wait_until_ready(started, http)
    while time.monotonic() < end_s:
        assert await key_statuses(http, started) == {401}
        await asyncio.sleep(0.1)


# Guards against VMs that wait for one another behind a restoration that none of
# them has seen.
async def test_fleet_that_starts_after_a_restoration_is_soon_ready(fleet, http):
    fleet.store.restore(fleet.store.copy_ends())
    began_s = time.monotonic()
    nodes = await start_fleet(fleet, nodes=4)
    await wait_until_ready(nodes, http)
    assert time.monotonic() - began_s < _READY_S
    assert (await request_stream(http, nodes[0], 'first'))[0] == 200


async def test_restored_store_keeps_fences_of_orders_rising(fleet, http):
    copy = fleet.store.copy_ends()
    nodes = await start_fleet(fleet, engines=2, nodes=2)
    await wait_until_ready(nodes, http)
    fleet.set_target_weights_version(MODEL, 2)
    engines = fleet.engines[:2]
    await wait_until_loaded(engines, 2)
    fleet.store.restore({**copy, 'keyed.op': 1, 'keyed.servers': 4})
    fleet.set_target_weights_version(MODEL, 2)
    fleet.set_target_weights_version(MODEL, 3)
    await wait_until_loaded(engines, 3)
    for engine in engines:
        fences = [fence for _, fence in engine.order_holders]
        assert fences == sorted(fences)
        assert fences[0] < fences[-1]


async def test_vm_registers_again_in_a_restored_store(fleet, http):
    node = await start_single_node(fleet)
    await wait_until_ready([node], http)
    topic = fleet.store.topic('keyed.arbutusbay')
    await wait_for_condition(topic.newest_records, 'VM registered')
    ends = fleet.store.copy_ends()
    fleet.store.restore({**ends, 'keyed.arbutusbay': 0})
    await wait_for_condition(topic.newest_records, 'VM registered again')


async def test_server_that_says_that_it_leaves_gets_no_request(fleet, http):
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    leaving = fleet.engines[0]
    leaving.is_leaving = True
    for number in range(_MANY_REQUESTS):
        assert (await request_stream(http, nodes[0], f'g{number}'))[0] == 200
        if leaving.executions:
            break
    await asyncio.sleep(1.0)
    count_before = len(leaving.executions)
    assert count_before == 1
    fleet.register(leaving)
    for number in range(_MANY_REQUESTS):
        for node in nodes:
            attempt_id = f'h{number}-{node.name}'
            assert (await request_stream(http, node, attempt_id))[0] == 200
    assert len(leaving.executions) == count_before
