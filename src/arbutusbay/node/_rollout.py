"""Bring engines to the weights version that the operator named."""

import asyncio

from arbutusbay.hashing import rendezvous_order
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import Lease
from arbutusbay.node._weights_loader import WeightsLoader
from arbutusbay.scheduling import (
    NOTICE_S,
    EngineView,
    RolloutState,
    WeightsLoad,
    next_loads,
    outdated_engines,
)

_POLL_S = 0.05
_IDLE_CHECK_S = 1.0
_STANDBY_DELAY_S = 0.8
_RETRY_PAUSE_S = 0.3


class Rollout:
    """Order loads while this VM holds the lease for them."""

    def __init__(
        self,
        *,
        board: NodeBoard,
        lease: Lease,
        loader: WeightsLoader,
    ) -> None:
        """Let ``loader`` carry loads out."""
        self.board = board
        self.lease = lease
        self.loader = loader
        self.loads: dict[str, asyncio.Task[None]] = {}
        self.announced_s: dict[str, float] = {}
        self.lag_since_s: float | None = None

    async def run(self) -> None:
        """Start loads whenever engines lag behind the named version."""
        while True:
            if self._is_due():
                await self._step()
                await asyncio.sleep(_POLL_S)
            else:
                await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(self._check_interval_s()):
                await self.board.changed.wait()
        except TimeoutError:
            return

    def _check_interval_s(self) -> float:
        return _POLL_S if self._lagging() else _IDLE_CHECK_S

    def _lagging(self) -> dict[str, list[EngineView]]:
        lagging = {}
        for model, target in self.board.catalog.targets.items():
            engines = outdated_engines(
                self.board.views.values(),
                model,
                target.version,
            )
            if engines:
                lagging[model] = engines
        return lagging

    def _is_due(self) -> bool:
        """Tell whether this VM should act now: others may come first."""
        if self.board.is_stopping:
            return False
        if not self._lagging():
            self.lag_since_s = None
            return False
        if self.lag_since_s is None:
            self.lag_since_s = now_s()
        lag_s = now_s() - self.lag_since_s
        return lag_s >= self._rank() * _STANDBY_DELAY_S

    def _rank(self) -> int:
        """Return how many VMs come before this one."""
        if self.lease.is_last_holder():
            return 0
        names = set(self.board.catalog.vms) | {self.lease.holder}
        held = self.board.catalog.leases.get(self.lease.name)
        order = rendezvous_order(self.lease.name, names)
        rank = order.index(self.lease.holder)
        if held is None or held.claim.holder not in names:
            return rank
        return 1 + rank

    async def _step(self) -> None:
        if await self.lease.ensure() is None:
            await asyncio.sleep(_RETRY_PAUSE_S)
            return
        lagging = self._lagging()
        for model, engines in lagging.items():
            target = self.board.catalog.targets[model]
            services = {engine.service for engine in engines}
            for service in services:
                self._start_loads(service, model, target.version)

    def _start_loads(self, service: str, model: str, version: int) -> None:
        moment_s = now_s()
        engines = self.board.views_of(service)
        loads = next_loads(
            engines,
            model,
            version,
            RolloutState(
                announced_s=self.announced_s,
                loading=self.loads.keys(),
                put_off=self.loader.put_off(moment_s),
                now_s=moment_s,
            ),
        )
        for load in loads.announce:
            self.announced_s[load.engine.id] = moment_s
            self.loader.announce(load, NOTICE_S)
        for load in loads.start:
            self.announced_s.pop(load.engine.id, None)
            self._start(load)

    def _start(self, load: WeightsLoad) -> None:
        name = load.engine.id
        task = asyncio.create_task(self.loader.load(load))
        self.loads[name] = task
        task.add_done_callback(lambda _: self.loads.pop(name, None))
