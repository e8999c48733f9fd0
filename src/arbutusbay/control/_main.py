"""Build and run the control daemon."""

import sys
import time
from collections.abc import Sequence

import aiomisc

from arbutusbay.control._config_tail import ConfigTail
from arbutusbay.control._dump import dump_state
from arbutusbay.control._index_tail import IndexTail
from arbutusbay.control._lease_holder import LeaseHolder
from arbutusbay.control._ledger_api import Ledger
from arbutusbay.control._membership import Membership
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._peer_api import PeerApi
from arbutusbay.control._resource_api import ResourceApi
from arbutusbay.control._rollout import Rollout
from arbutusbay.control._settings import ControlSettings
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.control._snapshots import Snapshots
from arbutusbay.control._vm_watch import VMWatch
from arbutusbay.daemon import run_daemon
from arbutusbay.debug_api import DebugApi
from arbutusbay.hosting import LogClient
from arbutusbay.http import HttpService, new_application, new_session


class ControlDaemon(aiomisc.Service):
    """Build and run the APIs and controllers in the event loop."""

    settings: ControlSettings

    async def start(self) -> None:
        """Create the shared state and start all controllers and the APIs."""
        self.session = new_session()
        self.board = ControlBoard(
            settings=self.settings,
            incarnation=time.time_ns(),
        )
        self.log = LogClient(
            session=self.session,
            url=self.settings.platform.log_url,
        )
        self.membership = Membership(board=self.board)
        self.http = self._build_http()
        entrypoint = aiomisc.entrypoint.get_current()
        await entrypoint.start_services(
            ConfigTail(board=self.board, log=self.log, session=self.session),
            self.membership,
            VMWatch(board=self.board, session=self.session),
            IndexTail(board=self.board, session=self.session),
            LeaseHolder(board=self.board, log=self.log),
            Snapshots(board=self.board, log=self.log),
            Rollout(board=self.board, session=self.session),
        )
        await self.http.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Announce the shutdown, drain open requests and close the session."""
        await self.http.stop()
        await self.session.close()

    def _build_http(self) -> HttpService:
        application = new_application()
        ledger = Ledger(board=self.board, log=self.log)
        metrics = ControlMetrics()
        DebugApi(
            is_ready=self._is_ready,
            dump=lambda: dump_state(self.board, ledger),
            render=lambda: metrics.render_response(self.board, ledger),
        ).add_routes(application)
        PeerApi(board=self.board, ledger=ledger).add_routes(application)
        ResourceApi(
            board=self.board,
            log=self.log,
            session=self.session,
        ).add_routes(application)
        return HttpService(
            application=application,
            host=self.settings.node.host,
            port=self.settings.node.control_port,
            drain=self.settings.drain,
            announce=self._start_draining,
        )

    def _is_ready(self) -> bool:
        return self.board.config_known and not self.board.draining

    def _start_draining(self) -> None:
        self.board.draining = True
        self.board.config_changed.notify()
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
