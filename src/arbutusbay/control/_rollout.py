"""Roll out the declared weights version to the engines of each pool."""

import asyncio

import aiohttp
import attrs
from result import Err

from arbutusbay.backend import EngineClient, WeightsOrder
from arbutusbay.clock import now_s
from arbutusbay.control._pool_views import fetch_pool_views
from arbutusbay.control._rollout_plan import engines_to_load
from arbutusbay.control._shared_state import ControlState
from arbutusbay.controller import Controller
from arbutusbay.logs import get_logger
from arbutusbay.state import BackendServer, Pool, Resource
from arbutusbay.wire import EngineView

_LOG = get_logger('rollout')
_STEP_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class UnfinishedOrder:
    """Hold an order that was sent to an engine and is not finished.

    ``sent_at_s`` is in seconds on the clock of ``now_s``.
    """

    weights_version: str
    sent_at_s: float


class RolloutController(Controller):
    """Order engines to load weights while this daemon holds the lease.

    ``unfinished_orders`` holds orders by engine name. An order is dropped when
    the engine is ready with the ordered version, or after
    ``longest_order_ms``.
    """

    shared_state: ControlState
    session: aiohttp.ClientSession

    async def prepare(self) -> None:
        """Start without unfinished orders."""
        self.unfinished_orders: dict[str, UnfinishedOrder] = {}

    async def step(self) -> None:
        """Send due orders if this daemon holds the lease, then wait."""
        if self.shared_state.holds_lease() and self.shared_state.config_known:
            await self.send_due_orders()
        await asyncio.sleep(_STEP_INTERVAL_S)

    async def send_due_orders(self) -> None:
        """Send the orders that are due in each pool."""
        for name, resource in self.shared_state.resources_by_name(
            'pool'
        ).items():
            await self._order_in_pool(name, resource.spec)

    async def _order_in_pool(self, name: str, pool: Pool) -> None:
        views = await fetch_pool_views(self.shared_state, self.session, name)
        self._drop_finished_orders(views)
        due = engines_to_load(
            pool, views, engines_with_order=frozenset(self.unfinished_orders)
        )
        for engine in due:
            server = self.shared_state.resource('backend-server', engine)
            if server is not None and self._may_order(server):
                await self._send_order(server, pool.weights_version)

    def _drop_finished_orders(self, views: list[EngineView]) -> None:
        max_order_age_s = (
            self.shared_state.settings.lease.longest_order_ms / 1000
        )
        moment_s = now_s()
        for view in views:
            order = self.unfinished_orders.get(view.name)
            if order is None:
                continue
            finished = view.ready and (
                view.weights_version == order.weights_version
            )
            if finished or moment_s - order.sent_at_s > max_order_age_s:
                self.unfinished_orders.pop(view.name)

    def _may_order(self, server: Resource) -> bool:
        if not self.shared_state.holds_lease():
            return False
        spec = server.spec
        if not isinstance(spec, BackendServer) or spec.draining:
            return False
        if spec.checks_fencing:
            return True
        # A backend server that doesn't check fencing tokens would accept
        # a late order of the previous lease holder, so wait until no such
        # order can still arrive.
        settings = self.shared_state.settings.lease
        takeover_delay_s = (settings.ttl_ms + settings.longest_order_ms) / 1000
        return (
            now_s() - self.shared_state.lease_first_seen_s >= takeover_delay_s
        )

    async def _send_order(self, server: Resource, version: str) -> None:
        client = EngineClient(session=self.session, url=server.spec.url)
        name = server.id.name
        self.unfinished_orders[name] = UnfinishedOrder(
            weights_version=version,
            sent_at_s=now_s(),
        )
        order = WeightsOrder(
            weights_version=version,
            fence=self.shared_state.lease.fence,
        )
        _LOG.info(
            'ordering engine {} to load weights version {}', name, version
        )
        match await client.send_weights_order(order):
            case Err(failure):
                _LOG.warning(
                    'order to engine {} failed: {}', name, failure.detail
                )
