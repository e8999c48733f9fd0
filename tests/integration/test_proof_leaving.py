"""Point 7: a leaving backend server gets no new work after 5 s."""

import asyncio
import contextlib
import time
from urllib.parse import urlsplit

import pytest

from emulator.cluster import call_json, running_cluster
from tests.builders import build_options
from tests.callers import call, stream_chat

_LIST_LAG_MS = 1500
_TARGET_S = 5.0
_AFTER_S = 2.0
_CALLERS = 6
_WARM_REQUESTS = 30


@pytest.mark.parametrize('reported_by', ['list', 'engine', 'operator'])
async def test_leaving_engine_gets_no_new_work(session, reported_by):
    with running_cluster(build_options()) as cluster:
        load = asyncio.gather(
            *(
                _keep_asking(session, cluster, caller)
                for caller in range(_CALLERS)
            )
        )
        engine = await _busiest_engine(cluster)
        await asyncio.to_thread(_leave, cluster, engine, reported_by)
        await asyncio.sleep(_TARGET_S)
        served = call_json(f'{engine.url}/counts')['served']
        await asyncio.sleep(_AFTER_S)
        after = call_json(f'{engine.url}/counts')['served']
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
        assert after == served


async def test_leaving_service_gets_no_new_work(session):
    with running_cluster(build_options()) as cluster:
        service = cluster.services()[0]
        url = f'{cluster.nodes[0].router.url}/services/stock/stock/x'
        await asyncio.to_thread(_leave, cluster, service, 'list')
        await asyncio.sleep(_TARGET_S)
        served = call_json(f'{service.url}/counts')['lookups']
        for _ in range(60):
            assert (await call(session, 'GET', url)).status == 200
        assert call_json(f'{service.url}/counts')['lookups'] == served


def _leave(cluster, backend, reported_by: str) -> None:
    match reported_by:
        case 'list':
            lag = {'vm_lag_ms': _LIST_LAG_MS}
            call_json(f'{cluster.platform.url}/faults', lag)
            cluster.put_vms(leaving=[urlsplit(backend.url).hostname])
            time.sleep(_LIST_LAG_MS / 1000)
        case 'engine':
            call_json(f'{backend.url}/faults', {'leaving': True})
        case 'operator':
            control = cluster.nodes[0].control.url
            path = f'backend-server/{backend.name}'
            known = call_json(f'{control}/api/v1/{path}')
            spec = {**known['spec'], 'draining': True}
            cluster.put_resource('backend-server', backend.name, spec)


async def _busiest_engine(cluster):
    while True:
        served = {
            engine.name: call_json(f'{engine.url}/counts')['served']
            for engine in cluster.engines()
        }
        if sum(served.values()) >= _WARM_REQUESTS:
            break
        await asyncio.sleep(0.05)
    return max(cluster.engines(), key=lambda engine: served[engine.name])


async def _keep_asking(session, cluster, caller: int) -> None:
    for number in range(100_000):
        node = cluster.nodes[number % len(cluster.nodes)]
        question = f'question {caller} {number}'
        await stream_chat(session, node.router.url, question, max_tokens=2)
