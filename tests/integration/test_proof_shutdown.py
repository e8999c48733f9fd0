"""Check that a graceful shutdown interrupts no request.

A daemon that stops before its running requests have finished, or before the
load balancer has seen that it is not ready, breaks streams and loses orders.
Covers requirement 8.
"""

import asyncio
import itertools
from types import MappingProxyType

import attrs

from emulator.cluster import call_json, running_cluster, wait_for_ok
from tests.builders import build_cluster_options
from tests.callers import expected_text, place_order, stream_chat

_PIECE_COUNT = 60
_DRAIN = MappingProxyType({'notice_ms': 600, 'limit_s': 60})


@attrs.define(kw_only=True)
class LoadBalancer:
    """Emulate the platform's load balancer, which picks ready routers."""

    cluster: object
    ready_urls: list[str] = attrs.field(factory=list)
    pick_counter: itertools.count = attrs.field(factory=itertools.count)

    async def watch(self) -> None:
        """Poll the readiness of all routers until cancelled."""
        while True:
            self.ready_urls = await asyncio.to_thread(self._ready_router_urls)
            await asyncio.sleep(0.05)

    async def pick_url(self) -> str:
        """Return the URL of the next ready router; wait while none is."""
        while not self.ready_urls:
            await asyncio.sleep(0.02)
        return self.ready_urls[next(self.pick_counter) % len(self.ready_urls)]

    def _ready_router_urls(self) -> list[str]:
        return [
            node.router.url
            for node in self.cluster.nodes
            if _is_ready(node.router)
        ]


async def test_rolling_restart_cuts_nothing(session):
    options = build_cluster_options(router_settings={'drain': _DRAIN})
    with running_cluster(options) as cluster:
        load_balancer = LoadBalancer(cluster=cluster)
        watch = asyncio.create_task(load_balancer.watch())
        stop = asyncio.Event()
        stream_clients = [
            asyncio.create_task(
                _stream_until_stopped(
                    stop, session, load_balancer, client_number
                )
            )
            for client_number in range(12)
        ]
        order_clients = [
            asyncio.create_task(
                _place_orders_until_stopped(
                    stop, session, load_balancer, client_number
                )
            )
            for client_number in range(4)
        ]
        for node in cluster.nodes:
            await asyncio.sleep(0.5)
            node.router.terminate()
            assert await asyncio.to_thread(node.router.wait, 60) == 0
            node.router.start()
            await asyncio.to_thread(
                wait_for_ok,
                f'{node.router.url}/readyz',
            )
        for node in cluster.nodes:
            node.control.terminate()
            assert await asyncio.to_thread(node.control.wait, 60) == 0
            node.control.start()
            await asyncio.to_thread(
                wait_for_ok,
                f'{node.control.url}/readyz',
            )
        stop.set()
        incomplete_count = sum(await asyncio.gather(*stream_clients), start=0)
        failed_orders = sum(await asyncio.gather(*order_clients), start=[])
        watch.cancel()
        assert incomplete_count == 0
        assert not failed_orders


async def _stream_until_stopped(
    stop, session, load_balancer, client_number: int
) -> int:
    incomplete_count = 0
    for number in itertools.count():
        if stop.is_set():
            return incomplete_count
        question = f'{client_number} {number}'
        response = await stream_chat(
            session,
            await load_balancer.pick_url(),
            question,
            max_tokens=_PIECE_COUNT,
        )
        incomplete_count += response.text != expected_text(
            question, _PIECE_COUNT
        )


async def _place_orders_until_stopped(
    stop, session, load_balancer, client_number: int
) -> list:
    failed_orders = []
    for number in itertools.count():
        if stop.is_set():
            return failed_orders
        url = await load_balancer.pick_url()
        response = await place_order(
            session, url, f'order {client_number} {number}'
        )
        if response.status != 200:
            failed_orders.append(response)


def _is_ready(router) -> bool:
    try:
        return call_json(f'{router.url}/readyz')['ready']
    except OSError:
        return False
