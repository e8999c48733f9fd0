"""Check a client's request: route, key, freshness and limits."""

from collections.abc import Sequence

import attrs
from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fleet import (
    Configuration,
    RequestKind,
    RouteRule,
    ServiceSpec,
    TeamAccess,
)
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.platform import RequestHead, request_head_from

_NOT_READY_RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class IncomingRequest:
    """Hold one accepted request; ``deadline_s`` is on the node's clock."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    head: RequestHead
    route: RouteRule
    service: ServiceSpec
    team: TeamAccess | None
    received_s: float
    deadline_s: float

    @property
    def id(self) -> str:
        """Return the id of the client's attempt."""
        return self.head.attempt_id

    @property
    def is_for_model(self) -> bool:
        """Tell whether an engine generates the answer."""
        return bool(self.service.models) and bool(self.head.model)

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a series of events."""
        return self.route.kind is RequestKind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        if self.route.kind is RequestKind.IDEMPOTENT:
            return True
        return self.is_stream and self.route.is_resumable

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - now_s()


def check_request(
    board: NodeBoard,
    request: web.BaseRequest,
) -> Result[IncomingRequest, Failure]:
    """Return the request with its route and team, or the refusal."""
    if board.is_refusing:
        return _refusal(ErrorKind.DRAINING, 'the VM is shutting down')
    configuration = board.configuration
    if configuration is None:
        return _refusal(ErrorKind.NOT_CONFIGURED, 'no configuration yet')
    path = request.raw_path.partition('?')[0]
    host = request.headers.get('Host', '').lower()
    route = configuration.route_for(host, path)
    if route is None:
        route = configuration.route_for(host.partition(':')[0], path)
    if route is None:
        return _refusal(ErrorKind.UNKNOWN_ROUTE, f'no route for {host}{path}')
    head = request_head_from(request.headers)
    match _team_of(board, configuration, route, head):
        case Err() as refused:
            return refused
        case Ok(team):
            pass
    return _with_service(board, configuration, request, route, team, head)


def check_still_fresh(
    board: NodeBoard,
    incoming: IncomingRequest,
) -> Failure | None:
    """Return why ``incoming`` may no longer be sent, if so."""
    if incoming.team is None or not board.settings.bounds.fails_closed:
        return None
    if not board.is_fresh():
        return _too_old(board)
    configuration = board.configuration
    key = incoming.head.api_key
    if configuration is not None and key in configuration.teams_by_key:
        return None
    return Failure(kind=ErrorKind.BAD_API_KEY, detail='the key was taken away')


def _team_of(
    board: NodeBoard,
    configuration: Configuration,
    route: RouteRule,
    head: RequestHead,
) -> Result[TeamAccess | None, Failure]:
    if route.is_public or not configuration.has_teams:
        return Ok(None)
    if board.settings.bounds.fails_closed and not board.is_fresh():
        return Err(_too_old(board))
    team = configuration.teams_by_key.get(head.api_key or '')
    if team is None:
        return _refusal(ErrorKind.BAD_API_KEY, 'unknown API key')
    return Ok(team)


def _with_service(
    board: NodeBoard,
    configuration: Configuration,
    request: web.BaseRequest,
    route: RouteRule,
    team: TeamAccess | None,
    head: RequestHead,
) -> Result[IncomingRequest, Failure]:
    name = _service_name(board, route)
    service = configuration.services.get(name)
    if service is None:
        return _refusal(ErrorKind.NO_BACKEND_SERVER, f'no service {name}')
    received_s = now_s()
    limit_s = min(route.timeout_s, head.deadline_s or route.timeout_s)
    return Ok(
        IncomingRequest(
            method=request.method,
            target=request.raw_path,
            headers=tuple(request.headers.items()),
            head=head,
            route=route,
            service=service,
            team=team,
            received_s=received_s,
            deadline_s=received_s + limit_s,
        ),
    )


def _service_name(board: NodeBoard, route: RouteRule) -> str:
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if any(weights):
        return board.rng.choices(route.targets, weights)[0].service
    return board.rng.choice(route.targets).service


def _too_old(board: NodeBoard) -> Failure:
    age_s = board.freshness.age_s()
    return Failure(
        kind=ErrorKind.CONFIGURATION_TOO_OLD,
        detail=f'keys were last confirmed {age_s:.1f} s ago',
        retry_after_s=_NOT_READY_RETRY_S,
    )


def _refusal(kind: ErrorKind, detail: str) -> Err[Failure]:
    retry_after_s = None
    if kind is ErrorKind.DRAINING:
        retry_after_s = 0.0
    elif kind in {ErrorKind.NOT_CONFIGURED, ErrorKind.NO_BACKEND_SERVER}:
        retry_after_s = _NOT_READY_RETRY_S
    return Err(
        Failure(kind=kind, detail=detail, retry_after_s=retry_after_s),
    )
