"""Follow the store and roll weights out on the users' platform."""

import asyncio
import functools
import signal

from emulator.fleet import wait_until
from emulator.store import StoreFault
from tests.fleet_builders import (
    MODEL,
    build_configuration,
    build_teams,
    start_fleet,
    start_one,
    wait_ready,
)
from tests.fleet_clients import (
    all_refuse,
    all_runs,
    ask,
    refuses_as_stale,
    serves,
)


async def test_key_taken_away_is_refused_everywhere(fleet, http):
    nodes = await start_fleet(fleet, nodes=3)
    await wait_ready(nodes, http)
    fleet.configure(
        build_configuration(2, tenants=build_teams(keys=('another',))),
    )

    await wait_until(
        functools.partial(all_refuse, http, nodes),
        'key refused',
        limit_s=2.0,
    )


async def test_stale_configuration_refuses_keyed_requests(fleet, http):
    fleet.revocation_ms = 2500
    node = await start_one(fleet)
    await wait_ready([node], http)
    fleet.store.faults[''] = StoreFault.SILENT

    await wait_until(
        functools.partial(refuses_as_stale, http, node),
        'stale refused',
        limit_s=5.0,
    )
    assert not await node.is_ready(http)
    fleet.store.faults.clear()
    await wait_ready([node], http)
    assert (await ask(http, node, 'f2'))[0] == 200


async def test_vm_that_the_store_turns_away_follows_another(fleet, http):
    fleet.revocation_ms = 2500
    nodes = await start_fleet(fleet, nodes=2)
    await wait_ready(nodes, http)
    for node in nodes:
        fleet.store.faults = {node.ip: StoreFault.BUSY}
        await asyncio.sleep(3.0)
        for asked in nodes:
            assert (await ask(http, asked, f'v-{asked.name}'))[0] == 200


async def test_few_vms_read_the_store(fleet, http):
    nodes = await start_fleet(fleet, nodes=4)
    await wait_ready(nodes, http)
    await asyncio.sleep(2.0)
    before = fleet.store.reads
    await asyncio.sleep(3.0)
    assert fleet.store.reads - before < 15


async def test_weights_are_rolled_out_by_one_holder(fleet, http):
    nodes = await start_fleet(fleet, engines=3, nodes=2)
    await wait_ready(nodes, http)
    fleet.name_weights(MODEL, 2)
    engines = fleet.engines[:3]
    await wait_until(
        lambda: all(engine.version == 2 for engine in engines),
        'weights loaded',
    )
    holders = {holder for engine in engines for holder, _ in engine.holders}
    assert len(holders) == 1

    await wait_until(
        functools.partial(serves, http, nodes[0], 'w1'),
        'served on new weights',
    )
    newest = next(run for run in all_runs(fleet) if run.attempt_id == 'w1')
    assert newest.version == 2
    assert newest.headers['Cache-Salt'] == 'shared-2'


async def test_another_vm_takes_the_rollout_over(fleet, http):
    nodes = await start_fleet(fleet, engines=2, nodes=2)
    await wait_ready(nodes, http)
    fleet.name_weights(MODEL, 2)
    engines = fleet.engines[:2]
    await wait_until(
        lambda: all(engine.version == 2 for engine in engines),
        'first rollout',
    )
    first = engines[0].holders[0]
    holder = next(node for node in nodes if node.name == first[0])
    await holder.stop(signal.SIGKILL)
    fleet.name_weights(MODEL, 3)
    await wait_until(
        lambda: all(engine.version == 3 for engine in engines),
        'second rollout',
    )
    last = engines[0].holders[-1]
    assert last[0] != first[0]
    assert last[1] > first[1]


async def test_draining_server_gets_no_new_work(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    leaving = fleet.engines[0]
    leaving.is_draining = True
    fleet.register(leaving)
    await asyncio.sleep(1.5)
    before = len(leaving.runs)
    for number in range(6):
        assert (await ask(http, node, f'd{number}'))[0] == 200
    assert len(leaving.runs) == before


async def test_unreadable_records_change_nothing(fleet, http):
    node = await start_one(fleet)
    await wait_ready([node], http)
    fleet.store.topic('keyed.op').append('config', b'\xff{')
    fleet.store.put('keyed.op', 'config', {'version': 'x'})
    fleet.store.put('keyed.servers', 'ghost', {'service': 5})
    await asyncio.sleep(1.2)
    assert (await ask(http, node, 'u1'))[0] == 200
    assert node.process.returncode is None
