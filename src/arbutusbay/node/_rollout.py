"""Roll the operator's target weights versions out to the engines."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.node._lease import Lease
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._weights_loader import WeightsLoader
from arbutusbay.scheduling import (
    WEIGHTS_LOAD_NOTICE_S,
    EngineView,
    RolloutState,
    WeightsLoad,
    outdated_engines,
    schedule_loads,
    takeover_delay_s,
)

_POLL_INTERVAL_S = 0.05
_IDLE_CHECK_INTERVAL_S = 1.0
_LEASE_RETRY_DELAY_S = 0.3


class Rollout:
    """Start weights loads while this VM holds the lease for them.

    A load is announced first and starts once its engine is idle or the
    notice period has passed. ``announced_at_s`` holds the time of each
    first announcement, in seconds on the node's clock, and ``load_tasks`` the
    running loads, both by engine.
    """

    def __init__(
        self,
        *,
        node_state: NodeState,
        lease: Lease,
        loader: WeightsLoader,
    ) -> None:
        """Run loads with ``loader``."""
        self.node_state = node_state
        self.lease = lease
        self.loader = loader
        self.load_tasks: dict[str, asyncio.Task[None]] = {}
        self.announced_at_s: dict[str, float] = {}
        self.outdated_since_s: float | None = None

    async def run(self) -> None:
        """Start loads whenever engines run an older version than the target."""
        while True:
            if self._is_due():
                await self._advance()
                await asyncio.sleep(_POLL_INTERVAL_S)
            else:
                await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(self._check_interval_s()):
                await self.node_state.state_changed.wait()
        except TimeoutError:
            return

    def _check_interval_s(self) -> float:
        """Return how long to wait for a change, in seconds.

        It is short for the VM that has the lease or may claim it soon only.
        """
        if not self._outdated_by_model():
            return _IDLE_CHECK_INTERVAL_S
        due_in_s = self._due_s() - now_s()
        return min(_IDLE_CHECK_INTERVAL_S, max(_POLL_INTERVAL_S, due_in_s))

    def _outdated_by_model(self) -> dict[str, list[EngineView]]:
        outdated = {}
        for model, target in self.node_state.catalog.targets.items():
            engines = outdated_engines(
                self.node_state.engine_views.values(),
                model,
                target.version,
            )
            if engines:
                outdated[model] = engines
        return outdated

    def _is_due(self) -> bool:
        """Return whether it is this VM's turn to act."""
        if self.node_state.is_stopping:
            return False
        if not self._outdated_by_model():
            self.outdated_since_s = None
            return False
        if self.outdated_since_s is None:
            self.outdated_since_s = now_s()
        if now_s() < self.lease.free_since_s():
            self.lease.log_wait()
            return False
        return now_s() >= self._due_s()

    def _due_s(self) -> float:
        """Return when it is this VM's turn to claim the lease.

        The turns begin once there is work and the lease is free.
        """
        moment_s = now_s()
        delay_s = takeover_delay_s(
            self.lease.holder,
            self.lease.name,
            self.node_state.members.live(moment_s),
            self.lease.last_holder(),
        )
        outdated_since_s = (
            moment_s if self.outdated_since_s is None else self.outdated_since_s
        )
        return delay_s + max(outdated_since_s, self.lease.free_since_s())

    async def _advance(self) -> None:
        if await self.lease.acquire_or_renew() is None:
            # Another VM may lead the rollout now and announce its own loads.
            self.announced_at_s.clear()
            await asyncio.sleep(_LEASE_RETRY_DELAY_S)
            return
        outdated = self._outdated_by_model()
        for model, engines in outdated.items():
            target = self.node_state.catalog.targets[model]
            services = {engine.service for engine in engines}
            for service in services:
                self._start_due_loads(service, model, target.version)

    def _start_due_loads(self, service: str, model: str, version: int) -> None:
        moment_s = now_s()
        engines = self.node_state.views_of_service(service)
        loads = schedule_loads(
            engines,
            model,
            version,
            RolloutState(
                announced_at_s=self.announced_at_s,
                loading_engines=self.load_tasks.keys()
                & {engine.id for engine in engines},
                deferred_engines=self.loader.deferred_engines(moment_s),
                now_s=moment_s,
            ),
        )
        for load in loads.withdrawals:
            self.announced_at_s.pop(load.engine.id)
            self.loader.defer_load(load)
        for load in loads.announcements:
            self.announced_at_s.setdefault(load.engine.id, moment_s)
            self.loader.announce(load, WEIGHTS_LOAD_NOTICE_S)
        for load in loads.start:
            self.announced_at_s.pop(load.engine.id, None)
            self._start_load(load)

    def _start_load(self, load: WeightsLoad) -> None:
        name = load.engine.id
        task = asyncio.create_task(self.loader.run_load(load))
        self.load_tasks[name] = task
        task.add_done_callback(lambda _: self.load_tasks.pop(name, None))
