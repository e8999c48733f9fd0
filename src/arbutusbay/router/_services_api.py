"""Forward requests under ``/services/<route>/<path>``."""

import hashlib
import time
from collections.abc import Mapping

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.backend import (
    IDEMPOTENCY_KEY_HEADER,
    ServiceCall,
    ServiceResponse,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import failure_response
from arbutusbay.logs import get_logger
from arbutusbay.router._authentication import authenticate_request
from arbutusbay.router._keyed_call import KeyedCall, KeyedCallRunner
from arbutusbay.router._metrics import RouterMetrics
from arbutusbay.router._rate_limits import Grant, RateLimits
from arbutusbay.router._service_calls import ServiceCaller
from arbutusbay.router._shared_state import AuthenticatedTeam, RouterState
from arbutusbay.state import Route

_LOG = get_logger('services')
_FORWARDED_HEADERS = ('Content-Type', 'Accept', IDEMPOTENCY_KEY_HEADER)
_MAX_KEY_LENGTH = 255


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """Hold a validated request to a service.

    ``key`` is the client's idempotency key, or empty.
    """

    team: AuthenticatedTeam
    route_name: str
    route: Route
    key: str
    call: ServiceCall
    arrived_s: float


class ServicesApi:
    """Handle requests to services (backend servers that are not engines)."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        service_caller: ServiceCaller,
        keyed_call_runner: KeyedCallRunner,
        metrics: RouterMetrics,
        rate_limits: RateLimits,
    ) -> None:
        """Create an API that sends calls through ``service_caller``.

        Calls with an idempotency key go through ``keyed_call_runner``.
        """
        self.shared_state = shared_state
        self.service_caller = service_caller
        self.keyed_call_runner = keyed_call_runner
        self.metrics = metrics
        self.rate_limits = rate_limits

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoint with ``application``."""
        application.router.add_route(
            '*',
            '/services/{route}/{path:.*}',
            self.handle_request,
        )

    async def handle_request(self, request: web.Request) -> web.Response:
        """Handle one request."""
        match await self._admit(request):
            case Err(failure):
                self._log_refusal(request, failure)
                # The ledger was not consulted yet: an earlier attempt with the
                # same key may have run.
                has_key = IDEMPOTENCY_KEY_HEADER in request.headers
                return failure_response(
                    failure.unless_run(may_have_run=has_key)
                )
            case Ok((parsed, grant)):
                pass
        answer = await self._run(parsed)
        self._log(parsed, answer)
        match answer:
            case Err(failure):
                if failure.is_not_run:
                    self.rate_limits.give_back(grant)
                return failure_response(failure)
            case Ok(response):
                return web.Response(
                    status=response.status,
                    body=response.body,
                    content_type=response.content_type,
                )

    async def _admit(
        self, request: web.Request
    ) -> Result[tuple[ServiceRequest, Grant], Failure]:
        """Return a valid request that is within the limit of its team."""
        match await self._parse(request):
            case Err() as failed:
                return failed
            case Ok(parsed):
                pass
        granted = await self.rate_limits.ask(
            parsed.team,
            tokens=0,
            request_id=parsed.key,
            described=f'{parsed.route_name}/{parsed.key}/'
            + _fingerprint(parsed.call),
            deadline_ms=parsed.route.deadline_ms,
        )
        return granted.map(lambda grant: (parsed, grant))

    async def _parse(
        self,
        request: web.Request,
    ) -> Result[ServiceRequest, Failure]:
        arrived_s = time.monotonic()
        match authenticate_request(self.shared_state, request):
            case Err() as failed:
                return failed
            case Ok(team):
                pass
        name = request.match_info['route']
        route = self.shared_state.routes.get(name)
        if route is None:
            return _error(ErrorKind.UNKNOWN_ROUTE, f'no route named {name!r}')
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        if len(key) > _MAX_KEY_LENGTH:
            return _error(
                ErrorKind.BAD_REQUEST,
                f'{IDEMPOTENCY_KEY_HEADER} exceeds '
                f'{_MAX_KEY_LENGTH} characters',
            )
        match await _read_body(request):
            case Err() as failed:
                return failed
            case Ok(body):
                pass
        return Ok(
            ServiceRequest(
                team=team,
                route_name=name,
                route=route,
                key=key,
                arrived_s=arrived_s,
                call=ServiceCall(
                    method=request.method,
                    path=_service_path(request),
                    headers=_forwarded_headers(request.headers),
                    body=body,
                    timeout_s=route.deadline_ms / 1000,
                ),
            ),
        )

    async def _run(
        self,
        parsed: ServiceRequest,
    ) -> Result[ServiceResponse, Failure]:
        pool = parsed.route.pool
        if parsed.route.idempotent:
            return await self.service_caller.send_idempotent(pool, parsed.call)
        if not parsed.key:
            return await self.service_caller.send_non_idempotent(
                pool, parsed.call
            )
        return await self.keyed_call_runner.run(
            KeyedCall(
                key=f'{parsed.team.name}/{parsed.route_name}/{parsed.key}',
                fingerprint=_fingerprint(parsed.call),
                pool=pool,
                call=parsed.call,
                may_repeat=self._checks_keys(pool),
                deadline_s=parsed.arrived_s + parsed.call.timeout_s,
            ),
        )

    def _checks_keys(self, pool: str) -> bool:
        services = self.shared_state.services_in_pool(pool)
        return bool(services) and all(
            service.checks_idempotency_keys for service in services
        )

    def _log_refusal(self, request: web.Request, failure: Failure) -> None:
        """Log and count a refusal, without the name of an unknown route.

        Clients could otherwise create any number of metrics.
        """
        name = request.match_info['route']
        self.metrics.requests.inc(
            {
                'route': name if name in self.shared_state.routes else '',
                'outcome': failure.kind.value,
            }
        )
        _LOG.info(
            'service call refused',
            fields={
                'route': name,
                'decision': failure.kind.value,
                'detail': failure.detail,
            },
        )

    def _log(
        self,
        parsed: ServiceRequest,
        answer: Result[ServiceResponse, Failure],
    ) -> None:
        match answer:
            case Ok():
                decision = 'complete'
            case Err(failure):
                decision = failure.kind.value
        self.metrics.requests.inc(
            {
                'route': parsed.route_name,
                'outcome': decision,
            }
        )
        _LOG.info(
            'service call',
            fields={
                'team': parsed.team.name,
                'route': parsed.route_name,
                'decision': decision,
                'seconds': time.monotonic() - parsed.arrived_s,
            },
        )


async def _read_body(request: web.Request) -> Result[bytes, Failure]:
    try:
        return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge as error:
        return _error(ErrorKind.BODY_TOO_LARGE, error.text or error.reason)


def _service_path(request: web.Request) -> str:
    prefix = f'/services/{request.match_info["route"]}'
    return request.path_qs.removeprefix(prefix)


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: headers[name] for name in _FORWARDED_HEADERS if name in headers
    }


def _fingerprint(call: ServiceCall) -> str:
    digest = hashlib.sha256(f'{call.method} {call.path}\n'.encode())
    digest.update(call.body)
    return digest.hexdigest()


def _error(kind: ErrorKind, detail: str) -> Err[Failure]:
    return Err(Failure(kind=kind, detail=detail))
