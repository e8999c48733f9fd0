"""Check that the router only believes refusals that belong to its attempt.

This is the project's own interface. A faulty engine writes an earlier refusal
once more where the response to a later attempt is expected, and runs that one.
"""

import functools
from types import MappingProxyType

import pytest

from emulator.cluster import Cluster, Node, call_json, running_cluster
from emulator.fleet import wait_for_condition
from tests.builders import build_chat_body, build_cluster_options
from tests.callers import place_order, send_request

_COMPLETIONS = 20
_CALLS = 5
_MODEL = 'roll-advisor'
_RUNS_ONCE = MappingProxyType(
    {
        'pool': 'language',
        'urgency': 'normal',
        'deadline_ms': 20_000,
        'idempotent': False,
    }
)


@pytest.fixture
def small_cluster():
    """Yield a cluster with one VM."""
    with running_cluster(build_cluster_options(vms=1)) as cluster:
        yield cluster


def count_generations(cluster: Cluster) -> int:
    """Return how many generations the engines have run in all."""
    return sum(
        call_json(f'{engine.url}/counts')['served']
        for engine in cluster.engines()
    )


def is_in_force(node: Node, version: int) -> bool:
    """Return whether the router has read the change of a resource."""
    state = call_json(f'{node.router.url}/debug/state')
    return state['config_offset'] >= version


def paths_by_connection(servers) -> list[list[str]]:
    """Return what each connection to the servers has carried."""
    return [
        paths
        for server in servers
        for paths in call_json(f'{server.url}/counts')['connections']
    ]


# Guards against completions that run at two engines, or are answered 'not run'
# and have run, because a refusal of an earlier attempt came once more.
async def test_copy_of_a_refusal_makes_no_completion_run_twice(
    small_cluster, session
):
    for engine in small_cluster.engines():
        call_json(
            f'{engine.url}/faults', {'refusals': 1, 'copies_refusals': True}
        )
    node = small_cluster.nodes[0]
    written = small_cluster.put_resource('route', _MODEL, dict(_RUNS_ONCE))
    await wait_for_condition(
        functools.partial(is_in_force, node, written['version']),
        'route in force',
    )
    url = node.router.url
    for number in range(_COMPLETIONS):
        before = count_generations(small_cluster)
        response = await send_request(
            session,
            'POST',
            f'{url}/v1/chat/completions',
            body=build_chat_body(f'question {number}', stream=False),
        )
        runs = count_generations(small_cluster) - before
        assert runs <= 1
        assert not (runs and response.run_state == 'not_run')
        assert response.status == 200


# Guards against calls to services that are taken for refused in the same way:
# no connection carries a second call, so no earlier response can come first.
async def test_each_call_to_a_service_has_a_connection_of_its_own(
    small_cluster, session
):
    url = small_cluster.nodes[0].router.url
    for number in range(_CALLS):
        assert (await place_order(session, url, f'o{number}')).status == 200
        stock = await send_request(
            session, 'GET', f'{url}/services/stock/stock/{number}'
        )
        assert stock.status == 200
    connections = paths_by_connection(small_cluster.services())
    calls = [paths for paths in connections if paths != ['/counts']]
    assert len(calls) >= 2 * _CALLS
    assert all(len(paths) == 1 for paths in calls)
