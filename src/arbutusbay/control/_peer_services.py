"""Build what a control daemon does for routers and other daemons."""

import aiohttp
import attrs
from aiohttp import web

from arbutusbay.control._ledger_service import LedgerService
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.control._peer_api import PeerApi
from arbutusbay.control._quota_service import QuotaService
from arbutusbay.control._shared_state import ControlState
from arbutusbay.hosting import LogClient


@attrs.frozen(kw_only=True)
class PeerServices:
    """Hold the ledger and the limits of teams."""

    ledger: LedgerService
    quota: QuotaService


def add_peer_services(
    application: web.Application,
    *,
    shared_state: ControlState,
    log: LogClient,
    session: aiohttp.ClientSession,
    metrics: ControlMetrics,
) -> PeerServices:
    """Create the services and add their routes to ``application``."""
    services = PeerServices(
        ledger=LedgerService(shared_state=shared_state, log=log),
        quota=QuotaService(
            shared_state=shared_state, session=session, metrics=metrics
        ),
    )
    PeerApi(
        shared_state=shared_state,
        ledger=services.ledger,
        quota=services.quota,
    ).add_routes(application)
    return services
