"""Check that accepted configuration comes into force everywhere and stays.

A write could be lost or accepted twice when operators write at the same time,
when the platform's log fails during an append, or when old records of the log
expire. Weights could also be rolled back if engines accepted the commands of a
lease holder that was paused while another took over. Covers requirement 9.
"""

import asyncio
import time

import pytest

from emulator.cluster import call_json, running_cluster, wait_for_ok, wait_until
from tests.builders import build_cluster_options
from tests.callers import send_request

_MAX_PROPAGATION_S = 3.0
_CONCURRENT_WRITES = 6


async def test_one_of_several_concurrent_writes_is_accepted(cluster, session):
    control = cluster.nodes[0].control.url
    path = 'api/v1/route/roll-advisor'
    current = call_json(f'{control}/{path}')
    for round_number in range(5):
        responses = await asyncio.gather(
            *(
                _put_route(
                    session,
                    cluster.nodes[number % 3],
                    {
                        **current['spec'],
                        'deadline_ms': 1000 * round_number + number + 10,
                    },
                    current['version'],
                )
                for number in range(_CONCURRENT_WRITES)
            )
        )
        statuses = sorted(response.status for response in responses)
        assert statuses == [200, 409, 409, 409, 409, 409]
        accepted_write = next(
            response for response in responses if response.status == 200
        )
        current = accepted_write.body
        await asyncio.to_thread(
            _wait_until_in_force, cluster, current['version']
        )
        for node in cluster.nodes:
            resource_on_node = call_json(f'{node.control.url}/{path}')
            assert resource_on_node['spec'] == current['spec']


async def test_change_comes_into_force_on_every_router(
    cluster, record_property
):
    started_s = time.monotonic()
    response = cluster.put_resource(
        'route',
        'roll-advisor',
        {'pool': 'language', 'deadline_ms': 15_000},
    )
    await asyncio.to_thread(_wait_until_in_force, cluster, response['version'])
    record_property('in_force_s', time.monotonic() - started_s)


@pytest.mark.parametrize(
    'faults',
    [
        {'lose_answers': 1},
        {'late_appends': 1, 'late_ms': 300},
        {'slow_ms': 200},
    ],
)
async def test_write_is_accepted_once_despite_append_faults(session, faults):
    with running_cluster(build_cluster_options()) as cluster:
        node = cluster.nodes[0]
        current = call_json(f'{node.control.url}/api/v1/route/roll-advisor')
        call_json(f'{cluster.platform.url}/faults', faults)
        spec = {**current['spec'], 'deadline_ms': 4321}
        first_write = await _put_route(session, node, spec, current['version'])
        assert first_write.status == 200, first_write.body
        second_write = await _put_route(session, node, spec, current['version'])
        assert second_write.status == 409


async def test_outage_rejects_writes_and_keeps_the_configuration(session):
    with running_cluster(build_cluster_options()) as cluster:
        node = cluster.nodes[0]
        current = call_json(f'{node.control.url}/api/v1/route/roll-advisor')
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        spec = {**current['spec'], 'deadline_ms': 4321}
        rejected_write = await _put_route(
            session, node, spec, current['version']
        )
        # It may still take effect, which 503 would deny.
        assert rejected_write.status == 502
        error = rejected_write.body['error']
        assert error['run_state'] == 'outcome_unknown'
        resource_on_node = call_json(
            f'{node.control.url}/api/v1/route/roll-advisor'
        )
        assert resource_on_node['spec'] == current['spec']
        call_json(f'{cluster.platform.url}/faults', {'down': False})
        accepted_write = await _put_route(
            session, node, spec, current['version']
        )
        assert accepted_write.status == 200
        await asyncio.to_thread(
            _wait_until_in_force,
            cluster,
            accepted_write.body['version'],
        )


async def test_configuration_survives_the_expiry_of_log_records(session):
    options = build_cluster_options(
        control_settings={
            'lease': {
                'ttl_ms': 900,
                'longest_order_ms': 600,
                'snapshot_s': 1,
            },
        },
    )
    with running_cluster(options) as cluster:
        control = cluster.nodes[0].control.url
        deleted = await send_request(
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
        restarted_node = cluster.nodes[2]
        for daemon in (restarted_node.router, restarted_node.control):
            daemon.kill()
            daemon.start()
        await asyncio.to_thread(
            wait_until,
            lambda: call_json(f'{restarted_node.router.url}/readyz')['ready'],
        )
        await asyncio.to_thread(
            wait_for_ok, f'{restarted_node.control.url}/readyz'
        )
        after = call_json(f'{restarted_node.control.url}/api/v1/team')
        assert _specs_by_name(after) == _specs_by_name(before)
        deleted_route = await send_request(
            session,
            'GET',
            f'{restarted_node.control.url}/api/v1/route/stock',
        )
        assert deleted_route.status == 404


async def test_commands_of_a_paused_lease_holder_are_rejected(session):
    with running_cluster(build_cluster_options()) as cluster:
        holder = await asyncio.to_thread(_wait_for_lease_holder, cluster)
        _declare_weights_version(cluster, 'v2', skipped_node=holder)
        holder.control.suspend()
        await asyncio.to_thread(
            wait_until,
            lambda: _weights_versions(cluster) == {'v2'},
        )
        _declare_weights_version(cluster, 'v3', skipped_node=holder)
        await asyncio.to_thread(
            wait_until,
            lambda: 'v3' in _weights_versions(cluster),
        )
        holder.control.resume()
        await asyncio.to_thread(
            wait_until,
            lambda: _weights_versions(cluster) == {'v3'},
        )
        for engine in cluster.engines():
            commands = call_json(f'{engine.url}/counts')['orders']
            assert not [command for command in commands if command['old']]


async def _put_route(session, node, spec, version: int):
    return await send_request(
        session,
        'PUT',
        f'{node.control.url}/api/v1/route/roll-advisor',
        body=spec,
        headers={'If-Match': f'"{version}"'},
    )


def _wait_until_in_force(cluster, version: int) -> None:
    wait_until(
        lambda: all(
            call_json(f'{node.router.url}/debug/state')['config_offset']
            >= version
            for node in cluster.nodes
        ),
        timeout_s=_MAX_PROPAGATION_S,
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


def _specs_by_name(resource_list) -> dict:
    return {
        resource['name']: (resource['spec'], resource['version'])
        for resource in resource_list['items']
    }


def _wait_for_lease_holder(cluster):
    wait_until(lambda: _lease_holders(cluster))
    return _lease_holders(cluster)[0]


def _lease_holders(cluster) -> list:
    return [
        node
        for node in cluster.nodes
        if call_json(f'{node.control.url}/debug/state')['holds_lease']
    ]


def _declare_weights_version(cluster, version: str, *, skipped_node) -> None:
    node = next(node for node in cluster.nodes if node is not skipped_node)
    url = f'{node.control.url}/api/v1/pool/language'
    spec = {**call_json(url)['spec'], 'weights_version': version}
    call_json(url, spec, method='PUT', headers={'If-Match': '*'})


def _weights_versions(cluster) -> set[str]:
    return {
        call_json(f'{engine.url}/counts')['weights_version']
        for engine in cluster.engines()
    }
