"""Serve Cap'n Proto messages to routers and other control daemons."""

import asyncio
import time

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.config_messages import (
    build_resource_entries,
    build_resource_keys,
)
from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._pool_views import build_lookup_reply
from arbutusbay.control._quota_service import QuotaService
from arbutusbay.control._shared_state import ControlState
from arbutusbay.errors import Failure
from arbutusbay.http import (
    capnp_response,
    failure_response,
    read_request_message,
)
from arbutusbay.quarantine_exchange import build_exchange, read_exchange
from arbutusbay.state import NO_VERSION
from arbutusbay.wire import (
    ConfigReply,
    ConfigRequest,
    LedgerRequest,
    LookupRequest,
    QuarantineExchange,
    QuotaAsk,
    QuotaLoan,
    QuotaReply,
    QuotaReturn,
)

_MAX_WAIT_MS = 5000


class PeerApi:
    """Serve configuration, cache index lookups, the ledger and the limits."""

    def __init__(
        self,
        *,
        shared_state: ControlState,
        ledger: LedgerService,
        quota: QuotaService,
    ) -> None:
        """Create an API that serves ``shared_state`` and these services."""
        self.shared_state = shared_state
        self.ledger = ledger
        self.quota = quota

    def add_routes(self, application: web.Application) -> None:
        """Add the routes of this API to ``application``."""
        application.router.add_post('/peer/config', self.handle_config_request)
        application.router.add_post('/peer/lookup', self.handle_lookup_request)
        application.router.add_post('/peer/ledger', self.handle_ledger_request)
        application.router.add_post(
            '/peer/quarantine', self.handle_quarantine_exchange
        )
        application.router.add_post('/peer/quota/ask', self.handle_quota_ask)
        application.router.add_post('/peer/quota/loan', self.handle_quota_loan)
        application.router.add_post(
            '/peer/quota/return', self.handle_quota_return
        )

    async def handle_config_request(self, request: web.Request) -> web.Response:
        """Return a newer configuration; wait for one if requested (long poll).

        The wait also ends when the leaving hosts change or this daemon
        drains. A request of this VM's router also reports which
        configuration the router has in force.
        """
        match await read_request_message(request, ConfigRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(peer_request):
                pass
        if peer_request.node == self.shared_state.node_id:
            self.shared_state.record_router_offset(peer_request.after)
        leaving = self.shared_state.leaving_hosts
        deadline_s = (
            time.monotonic() + min(peer_request.wait_ms, _MAX_WAIT_MS) / 1000
        )
        while (
            not self._has_newer(peer_request)
            and leaving == self.shared_state.leaving_hosts
        ):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or self.shared_state.draining:
                break
            await self.shared_state.config_changed.wait(remaining_s)
        return capnp_response(self._config_reply(peer_request))

    async def handle_lookup_request(self, request: web.Request) -> web.Response:
        """Return how much of a prefix each indexed engine has cached."""
        match await read_request_message(request, LookupRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(peer_request):
                return capnp_response(
                    build_lookup_reply(self.shared_state, peer_request)
                )

    async def handle_ledger_request(self, request: web.Request) -> web.Response:
        """Record or look up one ledger step.

        The step is shielded from cancellation, so that it completes also if
        the client disconnects.
        """
        match await read_request_message(request, LedgerRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(peer_request):
                pass
        match await asyncio.shield(self.ledger.process_request(peer_request)):
            case Err(failure):
                return failure_response(failure)
            case Ok(reply):
                return capnp_response(reply)

    async def handle_quarantine_exchange(
        self, request: web.Request
    ) -> web.Response:
        """Record what a router reports; reply with what all of them did.

        The reply waits for something new from others if requested (long poll).
        """
        match await read_request_message(request, QuarantineExchange):
            case Err(failure):
                return failure_response(failure)
            case Ok(exchange):
                pass
        quarantine = self.shared_state.quarantine
        moment_s = now_s()
        before = quarantine.merged_report()
        quarantine.merge_report(
            exchange.reporter, read_exchange(exchange, moment_s), moment_s
        )
        if quarantine.merged_report() != before:
            self.shared_state.quarantine_changed.notify()
        elif exchange.wait_ms and not self.shared_state.draining:
            await self.shared_state.quarantine_changed.wait(
                min(exchange.wait_ms, _MAX_WAIT_MS) / 1000
            )
        moment_s = now_s()
        quarantine.drop_expired(moment_s)
        return capnp_response(
            build_exchange(
                self.shared_state.node_id,
                quarantine.merged_report(),
                moment_s,
            )
        )

    async def handle_quota_ask(self, request: web.Request) -> web.Response:
        """Return whether a request of a router is within its team's limit."""
        match await read_request_message(request, QuotaAsk):
            case Err(failure):
                return failure_response(failure)
            case Ok(ask):
                return _quota_response(await self.quota.ask(ask))

    async def handle_quota_loan(self, request: web.Request) -> web.Response:
        """Take the share that another VM lends, and decide for it."""
        match await read_request_message(request, QuotaLoan):
            case Err(failure):
                return failure_response(failure)
            case Ok(loan):
                return _quota_response(self.quota.receive(loan))

    async def handle_quota_return(self, request: web.Request) -> web.Response:
        """Return what a request cost that did not run."""
        match await read_request_message(request, QuotaReturn):
            case Err(failure):
                return failure_response(failure)
            case Ok(returned):
                await self.quota.give_back(returned)
                return capnp_response(QuotaReply(is_granted=True))

    def _has_newer(self, peer_request: ConfigRequest) -> bool:
        return self.shared_state.config_known and (
            self.shared_state.config.offset > peer_request.after
        )

    def _config_reply(self, peer_request: ConfigRequest) -> ConfigReply:
        if not self._has_newer(peer_request):
            return self._unchanged_reply()
        deletion_log = self.shared_state.deletion_log
        full = not deletion_log.covers(peer_request.after)
        after = NO_VERSION if full else peer_request.after
        return attrs.evolve(
            self._unchanged_reply(),
            changed=True,
            full=full,
            entries=build_resource_entries(
                self.shared_state.config, after=after
            ),
            removed=[]
            if full
            else build_resource_keys(deletion_log.deleted_since(after)),
        )

    def _unchanged_reply(self) -> ConfigReply:
        return ConfigReply(
            offset=self.shared_state.config.offset,
            changed=False,
            entries=[],
            members=self.shared_state.live_members(),
            leaving=sorted(self.shared_state.leaving_hosts),
        )


def _quota_response(reply: Result[QuotaReply, Failure]) -> web.Response:
    match reply:
        case Err(failure):
            return failure_response(failure)
        case Ok(decided):
            return capnp_response(decided)
