"""Serve the readiness, metrics and debug endpoints of the daemon."""

from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import NonblockingLineWriter
from arbutusbay.node._metrics import NodeMetrics
from arbutusbay.node._node_state import NodeState
from arbutusbay.node.quota import QuotaClient
from arbutusbay.platform import READINESS_PATH, StoreClient
from arbutusbay.quarantine import segment_key
from arbutusbay.scheduling import Membership

_READINESS_PATHS = frozenset((READINESS_PATH, '/readyz'))
_METRICS_PATH = '/metrics'
_DUMP_PATH = '/debug/state'
_QUARANTINE_PATH = '/debug/quarantine'


class ControlApi:
    """Handle requests to the control port."""

    def __init__(
        self,
        *,
        node_state: NodeState,
        metrics: NodeMetrics,
        store: StoreClient,
        log_writer: NonblockingLineWriter,
        quota_client: QuotaClient,
    ) -> None:
        """Report on the state, the metrics, the store and the log writer."""
        self.quota_client = quota_client
        self.node_state = node_state
        self.metrics = metrics
        self.store = store
        self.log_writer = log_writer

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one request; the status of an unknown path is 404."""
        if request.path in _READINESS_PATHS:
            return self._readiness_response()
        if request.path == _METRICS_PATH:
            return self._metrics_response()
        if request.path == _DUMP_PATH:
            return web.Response(
                body=orjson.dumps(self.dump()),
                content_type='application/json',
            )
        if request.path == _QUARANTINE_PATH and request.method == 'DELETE':
            return self._lift_quarantine(request)
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values, without the API keys of teams."""
        node_state = self.node_state
        moment_s = now_s()
        configuration = node_state.configuration
        return {
            'vm': node_state.settings.name,
            'ready': node_state.is_ready(),
            'stopping': node_state.is_stopping,
            'config_version': configuration.version if configuration else None,
            'config_age_ms': node_state.configuration_age_ms(),
            'requests_in_progress': len(node_state.busy_connections),
            'vms': _describe_members(node_state.members, moment_s),
            'quotas': self.quota_client.dump(),
            'targets': {
                model: target.version
                for model, target in node_state.catalog.targets.items()
            },
            'servers': [
                {
                    'id': view.id,
                    'service': view.service,
                    'weights': view.weights,
                    'draining': view.is_draining,
                    'leaving': view.is_leaving,
                    'avoided': view.is_in_backoff(moment_s),
                    'loading': view.is_loading_weights(moment_s),
                    'attempts': view.occupancy.total(moment_s).attempts,
                    'speed': round(view.speed.current_speed, 3),
                    'taken': view.speed.taken_requests(view.slots),
                    'slowdown': view.slowdown,
                }
                for view in node_state.engine_views.values()
            ],
            'quarantine': [
                {
                    'model': key.model,
                    'segment': key.segment,
                    'quarantined': verdict.is_quarantined,
                    'revision': verdict.revision,
                    'probes': verdict.probes,
                    'age_ms': milliseconds(moment_s - verdict.changed_s),
                }
                for key, verdict in node_state.quarantine.table.verdicts.items()
            ],
        }

    def _lift_quarantine(self, request: web.BaseRequest) -> web.Response:
        """Lift the quarantine of the segment that the query names.

        Responds 400 if the query is incomplete and 404 if there is none.
        """
        model = request.query.get('model')
        segment = request.query.get('segment')
        if not model or not segment:
            return web.Response(
                status=HTTPStatus.BAD_REQUEST,
                text='the query needs model and segment\n',
            )
        is_lifted = self.node_state.quarantine.lift(
            segment_key(model, segment), now_s()
        )
        return web.Response(
            status=HTTPStatus.OK if is_lifted else HTTPStatus.NOT_FOUND
        )

    def _readiness_response(self) -> web.Response:
        return web.Response(
            status=HTTPStatus.OK
            if self.node_state.is_ready()
            else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    def _metrics_response(self) -> web.Response:
        self.metrics.store_calls.set({}, self.store.call_count)
        self.metrics.show_sent_bytes(
            self.node_state.relayed_bytes, self.node_state.pacer
        )
        self.metrics.show_prefixes(
            self.node_state.prefix_placements,
            self.node_state.store_health.left_out(now_s()),
        )
        self.metrics.show_servers(
            self.node_state.engine_views.values(), now_s()
        )
        quarantine = self.node_state.quarantine
        self.metrics.quarantined_segments.set(
            {}, len(quarantine.table.quarantined)
        )
        self.metrics.recent_engine_ends.set({}, len(quarantine.evidence.ends))
        self.metrics.observe_queues(
            self.node_state.fleet_queues, self.node_state.returns, now_s()
        )
        self.metrics.log_lines_dropped.set({}, self.log_writer.dropped_lines)
        self.quota_client.update_metrics()
        content, headers = self.metrics.render()
        return web.Response(body=content, headers=headers)


def _describe_members(
    members: Membership, moment_s: float
) -> list[dict[str, Any]]:
    """Return the known VMs, and which of them are silent or stop."""
    silent = members.silent(moment_s)
    return [
        {
            'name': name,
            'zone': member.vm.zone,
            'heard_ms_ago': milliseconds(moment_s - member.last_heard_s),
            'silent': name in silent,
            'leaving': member.has_left,
        }
        for name, member in sorted(members.members.items())
    ]
