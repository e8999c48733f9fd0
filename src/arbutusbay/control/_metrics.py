"""Define and render the metrics of the control daemon."""

from collections.abc import Mapping

from aiohttp import web
from aioprometheus import Counter, Gauge, Registry, render

from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._shared_state import ControlState
from arbutusbay.quota import Decision, Granted


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

        self.quota_decisions = self._counter(
            'arbutusbay_control_quota_decisions_total',
            'Requests decided here as the owner, by team and outcome',
        )
        self.quota_returns = self._counter(
            'arbutusbay_control_quota_returns_total',
            'Grants given back, as their request did not run, by team',
        )
        self.quota_silences = self._counter(
            'arbutusbay_control_quota_silences_total',
            'Calls that an owner of limits did not answer',
        )
        self.quota_lent_share = self._gauge(
            'arbutusbay_control_quota_lent_share',
            'Part of the fleet that lends its share to this VM, by partition',
        )

    def record_decision(self, team: str, decision: Decision) -> None:
        """Count what this VM decided for a team."""
        is_granted = isinstance(decision, Granted)
        self.quota_decisions.inc(
            {'team': team, 'outcome': 'granted' if is_granted else 'refused'}
        )

    def render_response(
        self,
        shared_state: ControlState,
        ledger: LedgerService,
        lent_shares: Mapping[str, float],
    ) -> web.Response:
        """Return all metrics in the Prometheus text format.

        ``lent_shares`` has what other VMs lend to this one, by partition.
        """
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
        self._show_lent_shares(lent_shares)
        body, headers = render(self.registry, [])
        return web.Response(body=body, headers=headers)

    def _show_lent_shares(self, lent_shares: Mapping[str, float]) -> None:
        self.quota_lent_share.values.clear()
        for number, share in lent_shares.items():
            self.quota_lent_share.set({'partition': number}, share)

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(name, help_text, registry=self.registry)
