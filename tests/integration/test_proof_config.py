"""Point 9: accepted configuration is in force everywhere, for good."""

import asyncio
import time

import pytest

from emulator.cluster import call_json, running_cluster, wait_for_ok, wait_until
from tests.builders import build_options
from tests.callers import call

_TARGET_S = 3.0
_OPERATORS = 6


async def test_racing_operators(cluster, session):
    control = cluster.nodes[0].control.url
    path = 'api/v1/route/roll-advisor'
    known = call_json(f'{control}/{path}')
    for turn in range(5):
        answers = await asyncio.gather(
            *(
                _put(
                    session,
                    cluster.nodes[number % 3],
                    {**known['spec'], 'deadline_ms': 1000 * turn + number + 10},
                    known['version'],
                )
                for number in range(_OPERATORS)
            )
        )
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200, 409, 409, 409, 409, 409]
        winner = next(answer for answer in answers if answer.status == 200)
        known = winner.body
        await asyncio.to_thread(_wait_in_force, cluster, known['version'])
        for node in cluster.nodes:
            held = call_json(f'{node.control.url}/{path}')
            assert held['spec'] == known['spec']


async def test_change_is_in_force_on_every_router(cluster, record_property):
    started_s = time.monotonic()
    answer = cluster.put_resource(
        'route',
        'roll-advisor',
        {'pool': 'language', 'deadline_ms': 15_000},
    )
    await asyncio.to_thread(_wait_in_force, cluster, answer['version'])
    record_property('in_force_s', time.monotonic() - started_s)


@pytest.mark.parametrize(
    'faults',
    [
        {'lose_answers': 1},
        {'late_appends': 1, 'late_ms': 300},
        {'slow_ms': 200},
    ],
)
async def test_faulty_append_is_decided_once(session, faults):
    with running_cluster(build_options()) as cluster:
        node = cluster.nodes[0]
        known = call_json(f'{node.control.url}/api/v1/route/roll-advisor')
        call_json(f'{cluster.platform.url}/faults', faults)
        spec = {**known['spec'], 'deadline_ms': 4321}
        first = await _put(session, node, spec, known['version'])
        assert first.status == 200, first.body
        again = await _put(session, node, spec, known['version'])
        assert again.status == 409


async def test_outage_refuses_writes_and_keeps_what_is_in_force(session):
    with running_cluster(build_options()) as cluster:
        node = cluster.nodes[0]
        known = call_json(f'{node.control.url}/api/v1/route/roll-advisor')
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        spec = {**known['spec'], 'deadline_ms': 4321}
        refused = await _put(session, node, spec, known['version'])
        assert refused.status == 503
        held = call_json(f'{node.control.url}/api/v1/route/roll-advisor')
        assert held['spec'] == known['spec']
        call_json(f'{cluster.platform.url}/faults', {'down': False})
        accepted = await _put(session, node, spec, known['version'])
        assert accepted.status == 200
        await asyncio.to_thread(
            _wait_in_force,
            cluster,
            accepted.body['version'],
        )


async def test_retention_passes(session):
    options = build_options(
        control={
            'lease': {
                'ttl_ms': 900,
                'longest_order_ms': 600,
                'snapshot_s': 1,
            },
        },
    )
    with running_cluster(options) as cluster:
        control = cluster.nodes[0].control.url
        deleted = await call(
            session,
            'DELETE',
            f'{control}/api/v1/route/stock',
            headers={'If-Match': '*'},
        )
        assert deleted.status == 200
        before = call_json(f'{control}/api/v1/team')
        await asyncio.to_thread(_wait_for_snapshot, cluster, before['offset'])
        call_json(
            f'{cluster.platform.url}/expire',
            {'stream': 'config', 'records': before['offset'] + 1},
        )
        cold = cluster.nodes[2]
        for daemon in (cold.router, cold.control):
            daemon.kill()
            daemon.start()
        await asyncio.to_thread(
            wait_until,
            lambda: call_json(f'{cold.router.url}/readyz')['ready'],
        )
        await asyncio.to_thread(wait_for_ok, f'{cold.control.url}/readyz')
        after = call_json(f'{cold.control.url}/api/v1/team')
        assert _specs(after) == _specs(before)
        gone = await call(
            session,
            'GET',
            f'{cold.control.url}/api/v1/route/stock',
        )
        assert gone.status == 404


async def test_paused_lease_holder_wakes_with_old_orders(session):
    with running_cluster(build_options()) as cluster:
        holder = await asyncio.to_thread(_lease_holder, cluster)
        _declare(cluster, 'v2', skip=holder)
        holder.control.freeze()
        await asyncio.to_thread(
            wait_until,
            lambda: _versions(cluster) == {'v2'},
        )
        _declare(cluster, 'v3', skip=holder)
        await asyncio.to_thread(
            wait_until,
            lambda: 'v3' in _versions(cluster),
        )
        holder.control.thaw()
        await asyncio.to_thread(
            wait_until,
            lambda: _versions(cluster) == {'v3'},
        )
        for engine in cluster.engines():
            orders = call_json(f'{engine.url}/counts')['orders']
            assert not [order for order in orders if order['old']]


async def _put(session, node, spec, version: int):
    return await call(
        session,
        'PUT',
        f'{node.control.url}/api/v1/route/roll-advisor',
        body=spec,
        headers={'If-Match': f'"{version}"'},
    )


def _wait_in_force(cluster, version: int) -> None:
    wait_until(
        lambda: all(
            call_json(f'{node.router.url}/debug/state')['config_offset']
            >= version
            for node in cluster.nodes
        ),
        timeout_s=_TARGET_S,
    )


def _wait_for_snapshot(cluster, offset: int) -> None:
    wait_until(
        lambda: (
            call_json(f'{cluster.nodes[0].control.url}/debug/state')[
                'config_offset'
            ]
            > offset
        ),
    )


def _specs(listed) -> dict:
    return {
        resource['name']: (resource['spec'], resource['version'])
        for resource in listed['items']
    }


def _lease_holder(cluster):
    wait_until(lambda: _holders(cluster))
    return _holders(cluster)[0]


def _holders(cluster) -> list:
    return [
        node
        for node in cluster.nodes
        if call_json(f'{node.control.url}/debug/state')['holds_lease']
    ]


def _declare(cluster, version: str, *, skip) -> None:
    node = next(node for node in cluster.nodes if node is not skip)
    url = f'{node.control.url}/api/v1/pool/language'
    spec = {**call_json(url)['spec'], 'weights_version': version}
    call_json(url, spec, method='PUT', headers={'If-Match': '*'})


def _versions(cluster) -> set[str]:
    return {
        call_json(f'{engine.url}/counts')['weights_version']
        for engine in cluster.engines()
    }
