"""Order one engine to load weights and see it done."""

import asyncio

import aiohttp
import attrs
from result import Err, Ok

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._lease import Lease
from arbutusbay.node._peer_reports import PeerReports
from arbutusbay.platform import (
    EngineReport,
    LoadOrder,
    OrderOutcome,
    SwitchMode,
    fetch_report,
    send_load_order,
)
from arbutusbay.scheduling import AnnouncedLoad, EngineView, WeightsLoad

_LOG = get_logger('loads')
_CALL_S = 0.4
_POLL_S = 0.05
_FIRST_REPORT_S = 0.55
_LOAD_GUESS_S = 0.62
_REPORT_LAG_S = 0.35
_EXTENSION_S = 0.4
_MAX_LOAD_S = 3.0
_RETRY_PAUSE_S = 0.3


@attrs.define(kw_only=True)
class LoadProgress:
    """Track one load; ``order_count`` is what the engine last reported."""

    load: WeightsLoad
    started_s: float
    order_count: int | None = None


class WeightsLoader:
    """Carry loads out, one order each, and tell the other VMs of them."""

    def __init__(
        self,
        *,
        board: NodeBoard,
        lease: Lease,
        reports: PeerReports,
        session: aiohttp.ClientSession,
    ) -> None:
        """Call engines through ``session``."""
        self.board = board
        self.lease = lease
        self.reports = reports
        self.session = session
        self.order_counts: dict[tuple[str, int], int] = {}
        self.put_off_until_s: dict[str, float] = {}

    def put_off(self, moment_s: float) -> set[str]:
        """Return the engines that failed just now."""
        return {
            name
            for name, until_s in self.put_off_until_s.items()
            if moment_s < until_s
        }

    def announce(self, load: WeightsLoad, notice_s: float) -> None:
        """Tell that an engine loads weights in ``notice_s`` seconds."""
        self._tell(load, now_s() + notice_s, _LOAD_GUESS_S)

    async def load(self, load: WeightsLoad) -> None:
        """Order one load and wait until it is done or has failed."""
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
            self._put_off_engine(engine)
            return
        fence = self.lease.valid_fence()
        if fence is None or self._is_done(progress):
            return
        self._tell(progress.load, now_s(), _LOAD_GUESS_S)
        outcome = await self._order(progress, fence)
        if outcome in {OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_DONE}:
            await self._await_loaded(progress)
            return
        self._forget_count(engine)
        if outcome is OrderOutcome.UNKNOWN:
            await self._await_busy(progress)
            return
        self._tell(progress.load, now_s(), 0)
        self._put_off_engine(engine)

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
            self._extend(progress.load)
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
                engine.put_weights(told.weights)
                if self._is_done(progress):
                    self._put_done(progress)
                return told

    def _is_done(self, progress: LoadProgress) -> bool:
        load = progress.load
        return load.engine.weights.get(load.model, 0) >= load.version

    def _put_done(self, progress: LoadProgress) -> None:
        load = progress.load
        self._tell(load, now_s(), 0)
        _LOG.info(
            'weights loaded',
            fields={
                'server': load.engine.id,
                'version': load.version,
                'took_ms': int((now_s() - progress.started_s) * 1000),
                'named_ago_ms': self._named_ago_ms(load.model),
            },
        )

    def _tell(self, load: WeightsLoad, from_s: float, lasts_s: float) -> None:
        announced = AnnouncedLoad(
            model=load.model,
            version=load.version,
            from_s=from_s,
            until_s=from_s + lasts_s,
        )
        self.reports.announce_load(load.engine, announced)

    def _extend(self, load: WeightsLoad) -> None:
        """Announce a later end when the load takes longer than guessed."""
        announced = load.engine.load
        if announced is None or now_s() > announced.until_s + _REPORT_LAG_S:
            self._tell(load, now_s(), _EXTENSION_S)

    def _put_off_engine(self, engine: EngineView) -> None:
        """Let other engines load before this one is tried again."""
        self.put_off_until_s[engine.id] = now_s() + _RETRY_PAUSE_S

    def _forget_count(self, engine: EngineView) -> None:
        self.order_counts.pop((engine.id, engine.incarnation), None)

    def _named_ago_ms(self, model: str) -> int:
        learned_s = self.board.catalog.targets[model].learned_s
        return int((now_s() - learned_s) * 1000)
