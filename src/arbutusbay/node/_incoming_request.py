"""Validate client requests before they are proxied.

Matches the route, authenticates the API key, selects the service and
computes the deadline.
"""

from collections.abc import Sequence

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import (
    Configuration,
    RequestKind,
    RouteSpec,
    ServiceSpec,
    TeamSpec,
)
from arbutusbay.node._client_connection import look_at_connection
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import RequestHead, parse_request_head
from arbutusbay.quarantine import SegmentKey, segment_key

_NOT_READY_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class IncomingRequest:
    """Represent one accepted client request.

    ``target`` is the raw request target, path and query. ``received_s`` and
    ``deadline_s`` are in seconds on the clock of ``now_s``. A request is
    received when its bytes arrive, which may be long before they are read.
    ``team`` is None for public routes and for configurations without teams.
    ``whole_s`` is when its last byte arrived, None before that.
    ``previous_end_s`` is when the request before it on its connection ended,
    which may be later than its arrival; None if there was none.
    ``segment_keys`` identifies the shared segments of the prompt in order.
    ``configuration_version`` is the version that accepted the request; a later
    one may be in force when it ends.
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    parsed_headers: RequestHead
    route: RouteSpec
    service: ServiceSpec
    team: TeamSpec | None
    received_s: float
    deadline_s: float
    whole_s: float | None = None
    previous_end_s: float | None = None
    segment_keys: tuple[SegmentKey, ...] = ()
    configuration_version: int | None = None

    @property
    def attempt_id(self) -> str:
        """Return the attempt id that the client sent, empty if none."""
        return self.parsed_headers.attempt_id

    @property
    def is_model_request(self) -> bool:
        """Return whether the request is inference on a model."""
        return bool(self.service.models) and bool(self.parsed_headers.model)

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.route.kind is RequestKind.STREAM

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may be executed more than once.

        True for idempotent requests and for resumable streams.
        """
        if self.route.kind is RequestKind.IDEMPOTENT:
            return True
        return self.is_stream and self.route.is_resumable

    @property
    def client_leaves_s(self) -> float:
        """Return when the client leaves unless a response has begun.

        It begins to wait once it has sent the whole request, and the response
        before it on the connection has ended.
        """
        sent_s = self.received_s if self.whole_s is None else self.whole_s
        waits_since_s = max(sent_s, self.previous_end_s or sent_s)
        return min(
            self.deadline_s, waits_since_s + self.route.client_patience_s
        )

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, negative once it passed."""
        return self.deadline_s - now_s()


def validate_request(
    node_state: NodeState,
    request: web.BaseRequest,
) -> Result[IncomingRequest, Failure]:
    """Return the accepted request, or the failure to respond with.

    Fails if the VM is shutting down or has no configuration, if no route or
    service matches, if the API key is unknown, and, where ``fails_closed``
    is set, if the local copy of the keys is too old. The route is looked up by
    the whole ``Host`` header first, then without its port. If the route
    splits its traffic, a service is drawn at random by weight.
    """
    stop = node_state.stop
    if stop is not None and not stop.takes_new_requests(now_s()):
        return _rejection(ErrorKind.DRAINING, 'the VM is shutting down')
    configuration = node_state.configuration
    if configuration is None:
        return _rejection(
            ErrorKind.NOT_CONFIGURED, 'no configuration received yet'
        )
    path = request.raw_path.partition('?')[0]
    host = request.headers.get('Host', '').lower()
    route = configuration.route_for(host, path)
    if route is None:
        route = configuration.route_for(host.partition(':')[0], path)
    if route is None:
        return _rejection(ErrorKind.UNKNOWN_ROUTE, f'no route for {host}{path}')
    head = parse_request_head(request.headers)
    match _authenticate(node_state, configuration, route, head):
        case Err() as refused:
            return refused
        case Ok(team):
            pass
    return _build_request(node_state, configuration, request, route, team, head)


def last_received_s(request: web.BaseRequest) -> float:
    """Return when the latest bytes of the client arrived."""
    return now_s() - look_at_connection(request.transport).last_received_age_s


def recheck_access(
    node_state: NodeState,
    incoming: IncomingRequest,
    *,
    has_begun: bool = False,
) -> Failure | None:
    """Return a failure if the access of ``incoming`` is no longer valid.

    A request may wait in a queue or be retried, and meanwhile its API key
    may be revoked or the local copy of the keys become too old. Returns
    None for requests without a team and where ``fails_closed`` is unset, and
    for a stream that ``has_begun``: its client sent it while the key was valid.
    """
    if has_begun:
        return None
    if incoming.team is None or not node_state.settings.bounds.fails_closed:
        return None
    if not node_state.is_fresh():
        return _stale_configuration_failure(node_state)
    configuration = node_state.configuration
    key = incoming.parsed_headers.api_key
    if configuration is not None and key in configuration.teams_by_api_key:
        return None
    return Failure(kind=ErrorKind.BAD_API_KEY, detail='API key was revoked')


def _authenticate(
    node_state: NodeState,
    configuration: Configuration,
    route: RouteSpec,
    head: RequestHead,
) -> Result[TeamSpec | None, Failure]:
    if route.is_public or not configuration.requires_api_key:
        return Ok(None)
    if node_state.settings.bounds.fails_closed and not node_state.is_fresh():
        return Err(_stale_configuration_failure(node_state))
    team = configuration.teams_by_api_key.get(head.api_key or '')
    if team is None:
        return _rejection(ErrorKind.BAD_API_KEY, 'unknown API key')
    return Ok(team)


def _build_request(
    node_state: NodeState,
    configuration: Configuration,
    request: web.BaseRequest,
    route: RouteSpec,
    team: TeamSpec | None,
    head: RequestHead,
) -> Result[IncomingRequest, Failure]:
    name = _select_service_name(node_state, route)
    service = configuration.services.get(name)
    if service is None:
        return _rejection(ErrorKind.NO_BACKEND_SERVER, f'no service {name}')
    received_s = last_received_s(request)
    limit_s = route.timeout_s
    if head.time_to_deadline_s is not None:
        limit_s = min(limit_s, head.time_to_deadline_s)
    return Ok(
        IncomingRequest(
            method=request.method,
            target=request.raw_path,
            headers=tuple(request.headers.items()),
            parsed_headers=head,
            route=route,
            service=service,
            team=team,
            received_s=received_s,
            deadline_s=received_s + limit_s,
            segment_keys=tuple(
                segment_key(head.model, segment.id)
                for segment in head.shared_segments
            )
            if service.models
            else (),
            configuration_version=configuration.version,
        ),
    )


def _select_service_name(node_state: NodeState, route: RouteSpec) -> str:
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if any(weights):
        return node_state.rng.choices(route.targets, weights)[0].service
    return node_state.rng.choice(route.targets).service


def _stale_configuration_failure(node_state: NodeState) -> Failure:
    age_s = node_state.freshness.age_s()
    return Failure(
        kind=ErrorKind.CONFIGURATION_TOO_OLD,
        detail=f'keys were last confirmed {age_s:.1f} s ago',
        retry_after_s=_NOT_READY_RETRY_AFTER_S,
    )


def _rejection(kind: ErrorKind, detail: str) -> Err[Failure]:
    retry_after_s = None
    if kind is ErrorKind.DRAINING:
        retry_after_s = 0.0
    elif kind in {ErrorKind.NOT_CONFIGURED, ErrorKind.NO_BACKEND_SERVER}:
        retry_after_s = _NOT_READY_RETRY_AFTER_S
    return Err(
        Failure(kind=kind, detail=detail, retry_after_s=retry_after_s),
    )
