"""Check that a leaving backend server gets no new requests after 5 s.

A server's departure is reported by the platform's list of VMs (which lags
behind), by the engine itself or by an operator. A router that misses one of
these reports keeps sending requests to a server that is about to stop. Covers
requirement 7.
"""

import asyncio
import contextlib
import time
from urllib.parse import urlsplit

import pytest

from emulator.cluster import call_json, running_cluster
from tests.builders import build_cluster_options
from tests.callers import send_request, stream_chat

_VM_LIST_LAG_MS = 1500
_MAX_REACTION_S = 5.0
_OBSERVATION_S = 2.0
_CLIENT_COUNT = 6
_WARM_UP_REQUESTS = 30


@pytest.mark.parametrize('reported_by', ['list', 'engine', 'operator'])
async def test_leaving_engine_gets_no_new_requests(session, reported_by):
    with running_cluster(build_cluster_options()) as cluster:
        clients = asyncio.gather(
            *(
                _send_requests(session, cluster, client_number)
                for client_number in range(_CLIENT_COUNT)
            )
        )
        engine = await _busiest_engine(cluster)
        await asyncio.to_thread(_start_leaving, cluster, engine, reported_by)
        await asyncio.sleep(_MAX_REACTION_S)
        served_before = call_json(f'{engine.url}/counts')['served']
        await asyncio.sleep(_OBSERVATION_S)
        served_after = call_json(f'{engine.url}/counts')['served']
        clients.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await clients
        assert served_after == served_before


async def test_leaving_service_gets_no_new_requests(session):
    with running_cluster(build_cluster_options()) as cluster:
        service = cluster.services()[0]
        url = f'{cluster.nodes[0].router.url}/services/stock/stock/x'
        await asyncio.to_thread(_start_leaving, cluster, service, 'list')
        await asyncio.sleep(_MAX_REACTION_S)
        served_before = call_json(f'{service.url}/counts')['lookups']
        for _ in range(60):
            assert (await send_request(session, 'GET', url)).status == 200
        assert call_json(f'{service.url}/counts')['lookups'] == served_before


def _start_leaving(cluster, backend, reported_by: str) -> None:
    match reported_by:
        case 'list':
            vm_list_fault = {'vm_lag_ms': _VM_LIST_LAG_MS}
            call_json(f'{cluster.platform.url}/faults', vm_list_fault)
            cluster.publish_vm_list(leaving=[urlsplit(backend.url).hostname])
            time.sleep(_VM_LIST_LAG_MS / 1000)
        case 'engine':
            call_json(f'{backend.url}/faults', {'leaving': True})
        case 'operator':
            control = cluster.nodes[0].control.url
            path = f'backend-server/{backend.name}'
            current = call_json(f'{control}/api/v1/{path}')
            spec = {**current['spec'], 'draining': True}
            cluster.put_resource('backend-server', backend.name, spec)


async def _busiest_engine(cluster):
    while True:
        served_by_engine = {
            engine.name: call_json(f'{engine.url}/counts')['served']
            for engine in cluster.engines()
        }
        if sum(served_by_engine.values()) >= _WARM_UP_REQUESTS:
            break
        await asyncio.sleep(0.05)
    return max(
        cluster.engines(), key=lambda engine: served_by_engine[engine.name]
    )


async def _send_requests(session, cluster, client_number: int) -> None:
    for number in range(100_000):
        node = cluster.nodes[number % len(cluster.nodes)]
        question = f'question {client_number} {number}'
        await stream_chat(session, node.router.url, question, max_tokens=2)
