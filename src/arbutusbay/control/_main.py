"""Build and run the control daemon."""

import sys
import time
from collections.abc import Sequence

import aiomisc

from arbutusbay.control._cache_event_reader import CacheEventReader
from arbutusbay.control._config_log_reader import ConfigLogReader
from arbutusbay.control._dump import dump_state
from arbutusbay.control._lease_elector import LeaseElector
from arbutusbay.control._membership import Membership
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._peer_services import add_peer_services
from arbutusbay.control._quota_renewals import QuotaRenewals
from arbutusbay.control._resource_api import ResourceApi
from arbutusbay.control._rollout import RolloutController
from arbutusbay.control._settings import ControlSettings
from arbutusbay.control._shared_state import ControlState
from arbutusbay.control._snapshot_writer import SnapshotWriter
from arbutusbay.control._vm_list_poller import VMListPoller
from arbutusbay.daemon import run_daemon
from arbutusbay.debug_api import DebugApi
from arbutusbay.hosting import LogClient
from arbutusbay.http import HttpService, new_application, new_client_session


class ControlDaemon(aiomisc.Service):
    """Build and run the APIs and controllers in the event loop."""

    settings: ControlSettings

    async def start(self) -> None:
        """Create the shared state and start all controllers and the APIs."""
        self.session = new_client_session()
        self.shared_state = ControlState(
            settings=self.settings,
            incarnation=time.time_ns(),
        )
        self.log = LogClient(
            session=self.session,
            url=self.settings.platform.log_url,
        )
        self.membership = Membership(shared_state=self.shared_state)
        self.http = self._build_http()
        entrypoint = aiomisc.entrypoint.get_current()
        await entrypoint.start_services(
            ConfigLogReader(
                shared_state=self.shared_state,
                log=self.log,
                session=self.session,
            ),
            self.membership,
            VMListPoller(shared_state=self.shared_state, session=self.session),
            CacheEventReader(
                shared_state=self.shared_state, session=self.session
            ),
            LeaseElector(shared_state=self.shared_state, log=self.log),
            SnapshotWriter(shared_state=self.shared_state, log=self.log),
            RolloutController(
                shared_state=self.shared_state, session=self.session
            ),
            QuotaRenewals(quota=self.peer_services.quota),
        )
        await self.http.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Announce the shutdown, drain open requests and close the session."""
        await self.http.stop()
        await self.session.close()

    def _build_http(self) -> HttpService:
        application = new_application()
        metrics = ControlMetrics()
        self.peer_services = add_peer_services(
            application,
            shared_state=self.shared_state,
            log=self.log,
            session=self.session,
            metrics=metrics,
        )
        ledger = self.peer_services.ledger
        quota = self.peer_services.quota
        DebugApi(
            is_ready=self._is_ready,
            dump=lambda: dump_state(
                self.shared_state, ledger, quota.describe()
            ),
            render_metrics=lambda: metrics.render_response(
                self.shared_state, ledger, quota.lent_shares()
            ),
        ).add_routes(application)
        ResourceApi(
            shared_state=self.shared_state,
            log=self.log,
            session=self.session,
        ).add_routes(application)
        return HttpService(
            application=application,
            host=self.settings.node.host,
            port=self.settings.node.control_port,
            drain=self.settings.drain,
            on_drain_start=lambda _: self._start_draining(),
        )

    def _is_ready(self) -> bool:
        return self.shared_state.config_known and not self.shared_state.draining

    def _start_draining(self) -> None:
        self.shared_state.draining = True
        self.shared_state.config_changed.notify()
        self.shared_state.quarantine_changed.notify()
        self.membership.send_heartbeats()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay-control`` and exit with its status."""
    sys.exit(
        run_daemon(
            name='arbutusbay-control',
            settings_type=ControlSettings,
            build_services=lambda settings: [ControlDaemon(settings=settings)],
            arguments=arguments,
        ),
    )
