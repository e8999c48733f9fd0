"""Assemble and run the control daemon."""

import sys
import time
from collections.abc import Sequence

import aiohttp
import aiomisc

from arbutusbay.control._blackboard import ControlBoard
from arbutusbay.control._config_tail import ConfigTail
from arbutusbay.control._debug_api import DebugApi
from arbutusbay.control._index_tail import IndexTail
from arbutusbay.control._lease_holder import LeaseHolder
from arbutusbay.control._ledger_api import Ledger
from arbutusbay.control._membership import Membership
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._peer_api import PeerApi
from arbutusbay.control._resource_api import ResourceApi
from arbutusbay.control._rollout import Rollout
from arbutusbay.control._settings import ControlSettings
from arbutusbay.control._snapshots import Snapshots
from arbutusbay.control._vm_watch import VMWatch
from arbutusbay.daemon import run_daemon
from arbutusbay.http import HttpService, new_application, new_session
from arbutusbay.platform import LogService


class ControlDaemon(aiomisc.Service):
    """Start the API and all controllers once the event loop runs."""

    settings: ControlSettings

    async def start(self) -> None:
        """Build the blackboard and start every controller."""
        self.session = new_session()
        self.board = ControlBoard(
            settings=self.settings,
            incarnation=time.time_ns(),
        )
        entrypoint = aiomisc.entrypoint.get_current()
        await entrypoint.start_services(
            *build_controllers(self.board, self.session),
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the client session."""
        self.board.draining = True
        self.board.config_changed.notify()
        await self.session.close()


def build_controllers(
    board: ControlBoard,
    session: aiohttp.ClientSession,
) -> list[aiomisc.Service]:
    """Return the services of one control daemon."""
    settings = board.settings
    log = LogService(session=session, url=settings.platform.log_url)
    ledger = Ledger(board=board, log=log)
    application = new_application()
    DebugApi(
        board=board,
        ledger=ledger,
        metrics=ControlMetrics(),
    ).add_routes(application)
    PeerApi(board=board, ledger=ledger).add_routes(application)
    ResourceApi(board=board, log=log, session=session).add_routes(application)
    return [
        HttpService(
            application=application,
            host=settings.node.host,
            port=settings.node.control_port,
            drain=settings.drain,
            announce=board.config_changed.notify,
        ),
        ConfigTail(board=board, log=log, session=session),
        Membership(board=board),
        VMWatch(board=board, session=session),
        IndexTail(board=board, session=session),
        LeaseHolder(board=board, log=log),
        Snapshots(board=board, log=log),
        Rollout(board=board, session=session),
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay-control``."""
    sys.exit(
        run_daemon(
            name='arbutusbay-control',
            settings_type=ControlSettings,
            build_services=lambda settings: [ControlDaemon(settings=settings)],
            arguments=arguments,
        ),
    )
