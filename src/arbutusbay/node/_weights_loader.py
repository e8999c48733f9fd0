"""Order engines to load weights and monitor each load until it ends."""

import asyncio

import aiohttp
import attrs
from result import Err, Ok

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._lease import Lease
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._peer_reports import PeerReportBuilder
from arbutusbay.platform import (
    EngineReport,
    LoadOrder,
    LoadOrderResult,
    WeightsSwitchMode,
    fetch_engine_report,
    send_load_order,
)
from arbutusbay.scheduling import EngineView, PlannedWeightsLoad, WeightsLoad

_LOG = get_logger('loads')
_CALL_TIMEOUT_S = 0.4
_POLL_INTERVAL_S = 0.05
_MIN_REPORT_LAG_S = 0.05
_MAX_REPORT_LAG_S = 0.35
_LOAD_EXTENSION_S = 0.4
_LOAD_TIMEOUT_S = 3.0
_RETRY_DELAY_S = 0.3


@attrs.define(kw_only=True)
class LoadProgress:
    """Track one load.

    ``order_count`` is how many load orders the engine has accepted, as it
    last reported; None if that is not known. ``started_s`` is in seconds on
    the node's clock. ``has_missed_report`` means that the end may be noticed
    late, as the engine was silent.
    """

    load: WeightsLoad
    started_s: float
    order_count: int | None = None
    has_missed_report: bool = False


class WeightsLoader:
    """Run loads, with one order each, and announce them to the other VMs.

    ``order_counts`` holds the last reported order count by id and
    incarnation of the engine. It holds for one tenure of the lease,
    ``counts_tenure_fence``: later another VM may have sent orders.
    """

    def __init__(
        self,
        *,
        node_state: NodeState,
        lease: Lease,
        report_builder: PeerReportBuilder,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
    ) -> None:
        """Fetch reports through ``session``; orders need ``order_session``.

        It must not reuse connections: on a reused one, an earlier response
        could pass for the result of an order.
        """
        self.node_state = node_state
        self.lease = lease
        self.report_builder = report_builder
        self.session = session
        self.order_session = order_session
        self.order_counts: dict[tuple[str, int], int] = {}
        self.counts_tenure_fence: int | None = None
        self.deferred_until_s: dict[str, float] = {}

    def deferred_engines(self, moment_s: float) -> set[str]:
        """Return the engines whose last load failed recently."""
        return {
            name
            for name, until_s in self.deferred_until_s.items()
            if moment_s < until_s
        }

    def announce(self, load: WeightsLoad, notice_s: float) -> None:
        """Announce that an engine loads weights in ``notice_s`` seconds."""
        duration_s = self.node_state.load_duration.estimate_s
        self._publish_load(load, now_s() + notice_s, duration_s)
        _LOG.info(
            'load announced',
            fields={
                'server': load.engine.id,
                'version': load.version,
                'begins_in_ms': milliseconds(notice_s),
                'expected_ms': milliseconds(duration_s),
            },
        )

    def defer_load(self, load: WeightsLoad) -> None:
        """Withdraw a load, and let other engines load before its engine."""
        self._publish_load(load, now_s(), 0)
        self.deferred_until_s[load.engine.id] = now_s() + _RETRY_DELAY_S

    def known_order_count(self, engine: EngineView) -> int | None:
        """Return how many orders an engine has accepted, None if unknown."""
        self._forget_counts_of_earlier_tenure()
        return self.order_counts.get((engine.id, engine.incarnation))

    def record_order_count(self, engine: EngineView, count: int) -> None:
        """Record how many orders an engine reported to have accepted."""
        self._forget_counts_of_earlier_tenure()
        self.order_counts[engine.id, engine.incarnation] = count

    async def run_load(self, load: WeightsLoad) -> None:
        """Order one load and wait until it has finished or failed."""
        progress = LoadProgress(load=load, started_s=now_s())
        engine = load.engine
        progress.order_count = self.known_order_count(engine)
        try:
            await self._execute_load(progress)
        except Exception:
            _LOG.exception('weights load failed', fields={'server': engine.id})
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _execute_load(self, progress: LoadProgress) -> None:
        engine = progress.load.engine
        if progress.order_count is None and not await self._fetch_report(
            progress,
        ):
            self.defer_load(progress.load)
            return
        fence = self.lease.valid_fence()
        if fence is None or self._is_done(progress):
            self._publish_load(progress.load, now_s(), 0)
            return
        progress.started_s = now_s()
        duration_s = self.node_state.load_duration.estimate_s
        self._publish_load(progress.load, progress.started_s, duration_s)
        outcome = await self._send_order(progress, fence)
        if outcome in {LoadOrderResult.ACCEPTED, LoadOrderResult.ALREADY_DONE}:
            await self._await_loaded(progress)
            if outcome is LoadOrderResult.ACCEPTED and self._is_done(progress):
                self._record_duration(progress)
            return
        self._discard_order_count(engine)
        if outcome is LoadOrderResult.UNKNOWN:
            await self._resolve_unknown_outcome(progress)
            return
        self.defer_load(progress.load)

    async def _send_order(
        self,
        progress: LoadProgress,
        fence: int,
    ) -> LoadOrderResult:
        load = progress.load
        outcome = await send_load_order(
            self.order_session,
            load.engine.address,
            load.engine.id,
            LoadOrder(
                model=load.model,
                version=load.version,
                mode=WeightsSwitchMode.CONTINUE_STREAMS,
                holder=self.lease.holder,
                fence=fence,
                expected_orders=progress.order_count,
            ),
            timeout_s=_CALL_TIMEOUT_S,
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
                'named_ago_ms': self._target_age_ms(load.model),
            },
        )
        return outcome

    async def _resolve_unknown_outcome(self, progress: LoadProgress) -> None:
        """Check whether an order was accepted whose response was lost.

        Otherwise it may be carried out later, which nobody can announce.
        """
        await asyncio.sleep(_RETRY_DELAY_S)
        report = await self._fetch_report(progress)
        if report is not None and report.is_loading_weights:
            await self._await_loaded(progress)
        elif not self._is_done(progress):
            self._publish_load(progress.load, now_s(), 0)

    async def _await_loaded(self, progress: LoadProgress) -> None:
        expected_s = self.node_state.load_duration.estimate_s
        await asyncio.sleep(expected_s + _MIN_REPORT_LAG_S)
        while now_s() - progress.started_s < _LOAD_TIMEOUT_S:
            if self._is_done(progress):
                self._record_loaded(progress)
                return
            await self._fetch_report(progress)
            if self._is_done(progress):
                return
            self._extend_announcement(progress)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _fetch_report(
        self,
        progress: LoadProgress,
    ) -> EngineReport | None:
        engine = progress.load.engine
        report = await fetch_engine_report(
            self.session,
            engine.address,
            timeout_s=_CALL_TIMEOUT_S,
        )
        match report:
            case Err(failure):
                progress.has_missed_report = True
                _LOG.info(
                    'engine report not available',
                    fields={'server': engine.id, 'detail': failure.detail},
                )
                return None
            case Ok(engine_report):
                progress.order_count = engine_report.order_count
                self.record_order_count(engine, engine_report.order_count)
                engine.merge_weights(engine_report.weights)
                if self._is_done(progress):
                    self._record_loaded(progress)
                return engine_report

    def _is_done(self, progress: LoadProgress) -> bool:
        load = progress.load
        return load.engine.weights.get(load.model, 0) >= load.version

    def _record_duration(self, progress: LoadProgress) -> None:
        """Record how long a load took unless its end was noticed late.

        This VM may have paused or the engine been silent meanwhile.
        """
        if progress.has_missed_report:
            return
        moment_s = now_s()
        started_s = progress.started_s
        if not self.node_state.own_pauses.has_paused_since(started_s, moment_s):
            self.node_state.load_duration.record_load(moment_s - started_s)

    def _record_loaded(self, progress: LoadProgress) -> None:
        load = progress.load
        self._publish_load(load, now_s(), 0)
        _LOG.info(
            'weights loaded',
            fields={
                'server': load.engine.id,
                'version': load.version,
                'took_ms': int((now_s() - progress.started_s) * 1000),
                'named_ago_ms': self._target_age_ms(load.model),
            },
        )

    def _publish_load(
        self,
        load: WeightsLoad,
        start_s: float,
        duration_s: float,
    ) -> None:
        announced = PlannedWeightsLoad(
            model=load.model,
            version=load.version,
            start_s=start_s,
            finish_s=start_s + duration_s,
        )
        self.report_builder.announce_load(load.engine, announced)

    def _extend_announcement(self, progress: LoadProgress) -> None:
        """Announce a later end if the load takes longer than expected."""
        load = progress.load
        announced = load.engine.planned_load
        if (
            announced is None
            or now_s() > announced.finish_s + _MAX_REPORT_LAG_S
        ):
            elapsed_s = now_s() - progress.started_s
            self._publish_load(
                load, progress.started_s, elapsed_s + _LOAD_EXTENSION_S
            )

    def _forget_counts_of_earlier_tenure(self) -> None:
        tenure_fence = self.lease.tenure_fence
        if self.counts_tenure_fence != tenure_fence:
            self.order_counts.clear()
            self.counts_tenure_fence = tenure_fence

    def _discard_order_count(self, engine: EngineView) -> None:
        self.order_counts.pop((engine.id, engine.incarnation), None)

    def _target_age_ms(self, model: str) -> int:
        target_read_s = self.node_state.catalog.targets[model].target_read_s
        return int((now_s() - target_read_s) * 1000)
