"""Build and run the router daemon."""

import sys
from collections.abc import Sequence

import aiomisc

from arbutusbay.daemon import run_daemon
from arbutusbay.debug_api import DebugApi
from arbutusbay.http import HttpService, new_application, new_client_session
from arbutusbay.planned_stop import PlannedStop
from arbutusbay.router._completions_api import CompletionsApi
from arbutusbay.router._config_follower import ConfigFollower
from arbutusbay.router._dispatcher import Dispatcher
from arbutusbay.router._dump import dump_state
from arbutusbay.router._keyed_call import KeyedCallRunner
from arbutusbay.router._ledger_client import LedgerClient
from arbutusbay.router._lookup import CacheIndexLookup
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._prompt_quarantine import (
    PromptQuarantine,
    QuarantineFollower,
)
from arbutusbay.router._rate_limits import RateLimits
from arbutusbay.router._service_calls import ServiceCaller
from arbutusbay.router._services_api import ServicesApi
from arbutusbay.router._settings import RouterSettings
from arbutusbay.router._shared_state import RouterState


class RouterDaemon(aiomisc.Service):
    """Build and run the services of the router in the event loop."""

    settings: RouterSettings

    async def start(self) -> None:
        """Create the shared state and start all services of the router."""
        self.shared_state = RouterState(settings=self.settings)
        self.session = new_client_session()
        self.single_use_session = new_client_session(reuse_connections=False)
        entrypoint = aiomisc.entrypoint.get_current()
        self.http = self._build_http()
        await entrypoint.start_services(
            ConfigFollower(
                shared_state=self.shared_state,
                session=self.session,
                dispatcher=self.dispatcher,
            ),
            PromptQuarantine(
                shared_state=self.shared_state, session=self.session
            ),
            QuarantineFollower(
                shared_state=self.shared_state, session=self.session
            ),
        )
        await self.http.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain open requests, then close the client sessions."""
        await self.http.stop()
        await self.session.close()
        await self.single_use_session.close()

    def _build_http(self) -> HttpService:
        application = new_application()
        metrics = RouterMetrics()
        self.dispatcher = Dispatcher(shared_state=self.shared_state)
        service_caller = ServiceCaller(
            shared_state=self.shared_state,
            session=self.single_use_session,
        )
        ledger = LedgerClient(
            shared_state=self.shared_state, session=self.session
        )
        rate_limits = RateLimits(
            shared_state=self.shared_state,
            session=self.session,
            metrics=metrics,
        )
        CompletionsApi(
            shared_state=self.shared_state,
            dispatcher=self.dispatcher,
            lookup=CacheIndexLookup(
                shared_state=self.shared_state, session=self.session
            ),
            metrics=metrics,
            session=self.single_use_session,
            rate_limits=rate_limits,
        ).add_routes(application)
        ServicesApi(
            shared_state=self.shared_state,
            service_caller=service_caller,
            keyed_call_runner=KeyedCallRunner(
                ledger=ledger, service_caller=service_caller
            ),
            metrics=metrics,
            rate_limits=rate_limits,
        ).add_routes(application)
        DebugApi(
            is_ready=self._is_ready,
            dump=lambda: dump_state(self.shared_state),
            render_metrics=lambda: metrics.render_response(self.shared_state),
        ).add_routes(application)
        return HttpService(
            application=application,
            host=self.settings.node.host,
            port=self.settings.node.router_port,
            drain=self.settings.drain,
            on_drain_start=self._start_draining,
        )

    def _is_ready(self) -> bool:
        return self.shared_state.config_known and not self.shared_state.draining

    def _start_draining(self, stop: PlannedStop) -> None:
        self.shared_state.stop = stop


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay-router`` and exit with its status."""
    sys.exit(
        run_daemon(
            name='arbutusbay-router',
            settings_type=RouterSettings,
            build_services=lambda settings: [RouterDaemon(settings=settings)],
            arguments=arguments,
        ),
    )
