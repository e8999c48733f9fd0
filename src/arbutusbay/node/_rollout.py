"""Bring engines to the weights version that the operator named."""

import asyncio

import aiohttp
import attrs
from result import Err, Ok

from arbutusbay.hashing import rendezvous_order
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import Lease
from arbutusbay.node._peers import PeerChannel
from arbutusbay.node._server_views import ServerViews
from arbutusbay.platform import (
    EngineReport,
    LoadOrder,
    OrderOutcome,
    SwitchMode,
    fetch_report,
    send_load_order,
)
from arbutusbay.scheduling import (
    EngineView,
    NOTICE_S,
    RolloutState,
    WeightsLoad,
    next_loads,
    outdated_engines,
)

_LOG = get_logger('rollout')
_CALL_S = 0.4
_POLL_S = 0.05
_IDLE_CHECK_S = 1.0
_STANDBY_DELAY_S = 0.8
_FIRST_REPORT_S = 0.55
_LOAD_GUESS_S = 0.7
_MAX_LOAD_S = 3.0
_RETRY_PAUSE_S = 0.3


@attrs.define(kw_only=True)
class LoadProgress:
    """Track one load; ``order_count`` is what the engine last reported."""

    load: WeightsLoad
    started_s: float
    order_count: int | None = None


class Rollout:
    """Order loads while this VM holds the lease for them."""

    def __init__(
        self,
        *,
        board: NodeBoard,
        lease: Lease,
        peers: PeerChannel,
        views: ServerViews,
        session: aiohttp.ClientSession,
    ) -> None:
        """Call engines through ``session``."""
        self.board = board
        self.lease = lease
        self.peers = peers
        self.views = views
        self.session = session
        self.loads: dict[str, asyncio.Task[None]] = {}
        self.order_counts: dict[tuple[str, int], int] = {}
        self.announced_s: dict[str, float] = {}
        self.put_off_until_s: dict[str, float] = {}

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
        lagging = self._lagging()
        if not lagging:
            return False
        learned_s = max(
            self.board.catalog.targets[model].learned_s for model in lagging
        )
        return now_s() - learned_s >= self._rank() * _STANDBY_DELAY_S

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
                put_off={
                    name
                    for name, until_s in self.put_off_until_s.items()
                    if moment_s < until_s
                },
                now_s=moment_s,
            ),
        )
        for engine in loads.announce:
            self.announced_s[engine.id] = moment_s
            start_s = moment_s + NOTICE_S
            self.peers.announce_load(engine, start_s, start_s + _LOAD_GUESS_S)
        for load in loads.start:
            self.announced_s.pop(load.engine.id, None)
            task = asyncio.create_task(self._load(load))
            self.loads[load.engine.id] = task
            task.add_done_callback(
                lambda _, name=load.engine.id: self.loads.pop(name, None),
            )

    async def _load(self, load: WeightsLoad) -> None:
        progress = LoadProgress(load=load, started_s=now_s())
        engine = load.engine
        progress.order_count = self.order_counts.get(
            (engine.id, engine.incarnation),
        )
        try:
            await self._carry_out(progress)
        except Exception:
            _LOG.exception('load failed', fields={'server': engine.id})
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _carry_out(self, progress: LoadProgress) -> None:
        engine = progress.load.engine
        if progress.order_count is None and not await self._ask(progress):
            self._put_off(engine)
            return
        fence = self.lease.valid_fence()
        if fence is None or self._is_done(progress):
            return
        self._mark_loading(engine, _LOAD_GUESS_S)
        outcome = await self._order(progress, fence)
        if outcome in {OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_DONE}:
            await self._await_loaded(progress)
            return
        self._forget_count(engine)
        if outcome is OrderOutcome.UNKNOWN:
            await self._await_busy(progress)
            return
        self._mark_loading(engine, 0)
        self._put_off(engine)

    async def _order(
        self,
        progress: LoadProgress,
        fence: int,
    ) -> OrderOutcome:
        load = progress.load
        outcome = await send_load_order(
            self.session,
            load.engine.address,
            load.engine.id,
            LoadOrder(
                model=load.model,
                version=load.version,
                mode=SwitchMode.RUN_ON,
                holder=self.lease.holder,
                fence=fence,
                expected_orders=progress.order_count,
            ),
            timeout_s=_CALL_S,
        )
        _LOG.info(
            'load ordered',
            fields={
                'server': load.engine.id,
                'model': load.model,
                'version': load.version,
                'from_version': load.engine.weights.get(load.model),
                'fence': fence,
                'expected_orders': progress.order_count,
                'outcome': outcome.value,
                'named_ago_ms': self._named_ago_ms(load.model),
            },
        )
        return outcome

    async def _await_busy(self, progress: LoadProgress) -> None:
        """After a lost answer, see whether the order is carried out."""
        await asyncio.sleep(_RETRY_PAUSE_S)
        report = await self._ask(progress)
        if report is not None and report.is_loading:
            await self._await_loaded(progress)

    async def _await_loaded(self, progress: LoadProgress) -> None:
        await asyncio.sleep(_FIRST_REPORT_S)
        while now_s() - progress.started_s < _MAX_LOAD_S:
            if self._is_done(progress):
                return
            await self._ask(progress)
            if self._is_done(progress):
                return
            self._mark_loading(progress.load.engine, _POLL_S * 2)
            await asyncio.sleep(_POLL_S)

    async def _ask(self, progress: LoadProgress) -> EngineReport | None:
        engine = progress.load.engine
        report = await fetch_report(
            self.session,
            engine.address,
            timeout_s=_CALL_S,
        )
        match report:
            case Err(failure):
                _LOG.info(
                    'engine does not report',
                    fields={'server': engine.id, 'detail': failure.detail},
                )
                return None
            case Ok(told):
                progress.order_count = told.order_count
                count_key = (engine.id, engine.incarnation)
                self.order_counts[count_key] = told.order_count
                self.views.put_weights(engine, dict(told.weights))
                if self._is_done(progress):
                    self._put_done(progress)
                return told

    def _is_done(self, progress: LoadProgress) -> bool:
        load = progress.load
        return load.engine.weights.get(load.model, 0) >= load.version

    def _put_done(self, progress: LoadProgress) -> None:
        load = progress.load
        self._mark_loading(load.engine, 0)
        _LOG.info(
            'weights loaded',
            fields={
                'server': load.engine.id,
                'version': load.version,
                'took_ms': int((now_s() - progress.started_s) * 1000),
                'named_ago_ms': self._named_ago_ms(load.model),
            },
        )

    def _mark_loading(self, engine: EngineView, remaining_s: float) -> None:
        moment_s = now_s()
        self.peers.announce_load(engine, moment_s, moment_s + remaining_s)

    def _put_off(self, engine: EngineView) -> None:
        """Let other engines load before this one is tried again."""
        self.put_off_until_s[engine.id] = now_s() + _RETRY_PAUSE_S

    def _forget_count(self, engine: EngineView) -> None:
        self.order_counts.pop((engine.id, engine.incarnation), None)

    def _named_ago_ms(self, model: str) -> int:
        learned_s = self.board.catalog.targets[model].learned_s
        return int((now_s() - learned_s) * 1000)
