"""Point 8: a graceful shutdown cuts no request."""

import asyncio
import itertools
from types import MappingProxyType

import attrs

from emulator.cluster import call_json, running_cluster, wait_for_ok
from tests.builders import build_options
from tests.callers import book, expected_text, stream_chat

_PIECES = 60
_NOTICE = MappingProxyType({'notice_ms': 600, 'limit_s': 60})


@attrs.define(kw_only=True)
class Balancer:
    """Stand in for the platform's balancer: send to ready routers."""

    cluster: object
    ready: list[str] = attrs.field(factory=list)
    turn: itertools.count = attrs.field(factory=itertools.count)

    async def watch(self) -> None:
        """Poll readiness until cancelled."""
        while True:
            self.ready = await asyncio.to_thread(self._ready_routers)
            await asyncio.sleep(0.05)

    async def pick(self) -> str:
        """Return a ready router's URL."""
        while not self.ready:
            await asyncio.sleep(0.02)
        return self.ready[next(self.turn) % len(self.ready)]

    def _ready_routers(self) -> list[str]:
        return [
            node.router.url
            for node in self.cluster.nodes
            if _is_ready(node.router)
        ]


async def test_rolling_restart_cuts_nothing(session):
    options = build_options(router={'drain': _NOTICE})
    with running_cluster(options) as cluster:
        balancer = Balancer(cluster=cluster)
        watch = asyncio.create_task(balancer.watch())
        stop = asyncio.Event()
        load = [
            asyncio.create_task(_stream_until(stop, session, balancer, name))
            for name in range(12)
        ]
        orders = [
            asyncio.create_task(_book_until(stop, session, balancer, name))
            for name in range(4)
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
        cut = sum(await asyncio.gather(*load), start=0)
        lost = sum(await asyncio.gather(*orders), start=[])
        watch.cancel()
        assert cut == 0
        assert not lost


async def _stream_until(stop, session, balancer, name: int) -> int:
    cut = 0
    for number in itertools.count():
        if stop.is_set():
            return cut
        question = f'{name} {number}'
        answer = await stream_chat(
            session,
            await balancer.pick(),
            question,
            max_tokens=_PIECES,
        )
        cut += answer.text != expected_text(question, _PIECES)


async def _book_until(stop, session, balancer, name: int) -> list:
    lost = []
    for number in itertools.count():
        if stop.is_set():
            return lost
        url = await balancer.pick()
        answer = await book(session, url, f'order {name} {number}')
        if answer.status != 200:
            lost.append(answer)


def _is_ready(router) -> bool:
    try:
        return call_json(f'{router.url}/readyz')['ready']
    except OSError:
        return False
