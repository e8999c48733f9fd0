"""Define and render the metrics of the control daemon."""

from aiohttp import web
from aioprometheus import Gauge, Registry, render

from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._shared_state import ControlState


class ControlMetrics:
    """Render gauges that are set from the shared state at each scrape."""

    def __init__(self) -> None:
        """Create a registry with all metrics."""
        self.registry = Registry()
        self.config_offset = self._gauge(
            'arbutusbay_control_config_offset',
            'Offset of the configuration in force here',
        )
        self.members = self._gauge(
            'arbutusbay_control_members',
            'Live VMs in the view of this daemon',
        )
        self.blocks = self._gauge(
            'arbutusbay_control_index_blocks',
            'Cached blocks indexed, by engine',
        )
        self.gaps = self._gauge(
            'arbutusbay_control_index_gaps',
            'Gaps seen in cache events, by engine',
        )
        self.keys = self._gauge(
            'arbutusbay_control_ledger_keys',
            'Idempotency keys held, by stream',
        )
        self.log_reachable = self._gauge(
            'arbutusbay_control_log_reachable',
            'Whether the last read of the log succeeded',
        )

    def render_response(
        self, shared_state: ControlState, ledger: LedgerService
    ) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        self.config_offset.set({}, shared_state.config.offset)
        self.members.set({}, len(shared_state.live_members()))
        self.log_reachable.set({}, int(shared_state.log_reachable))
        for by_engine in (self.blocks, self.gaps):
            by_engine.values.clear()
        for engine in shared_state.index.values():
            labels = {'engine': engine.name}
            self.blocks.set(labels, len(engine.blocks))
            self.gaps.set(labels, engine.gaps)
        for partition in ledger.partitions.values():
            self.keys.set(
                {'stream': partition.stream},
                len(partition.entries),
            )
        body, headers = render(self.registry, [])
        return web.Response(body=body, headers=headers)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(name, help_text, registry=self.registry)
