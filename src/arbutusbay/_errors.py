"""Define all error kinds and the HTTP response for each.

``ErrorKind`` is the complete list. A ``Failure`` is one error with its kind
and is returned in a ``Result`` rather than raised.
"""

import enum
import math
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import attrs


class RunState(enum.StrEnum):
    """Classify whether a failed request was executed and may have had effects.

    ``UNKNOWN`` means that it may have been executed.
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'outcome_unknown'
    RAN = 'ran'


# A client may repeat any request after one of these, as it was never processed.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def require_executed(response: object, attribute: object, status: int) -> None:
    """Raise ``ValueError`` for a status that a client takes as 'not run'.

    It validates the status of a response to a request that may have run.
    """
    if status in NOT_RUN_STATUSES:
        raise ValueError(f'status {status} of a request that may have run')


class ErrorKind(enum.StrEnum):
    """List the reasons for which a process of arbutusbay rejects a request."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UPLOAD_TIMEOUT = 'upload_timeout'
    BAD_API_KEY = 'bad_api_key'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_ROUTE = 'unknown_route'
    NO_BACKEND_SERVER = 'no_backend_server'
    OVERLOADED = 'overloaded'
    RATE_LIMITED = 'rate_limited'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    DRAINING = 'draining'
    CLIENT_HALF_CLOSED = 'client_half_closed'
    NOT_CONFIGURED = 'not_configured'
    CONFIGURATION_TOO_OLD = 'configuration_too_old'
    STREAM_BROKEN = 'stream_broken'
    LEDGER_UNAVAILABLE = 'ledger_unavailable'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    KEY_REUSED = 'key_reused'
    VERSION_CONFLICT = 'version_conflict'
    INVALID_RESOURCE = 'invalid_resource'
    UNKNOWN_RESOURCE = 'unknown_resource'
    LOG_UNAVAILABLE = 'log_unavailable'
    LOG_RATE_LIMITED = 'log_rate_limited'
    PEER_UNREACHABLE = 'peer_unreachable'
    BAD_MESSAGE = 'bad_message'
    INTERNAL = 'internal'


@attrs.frozen(kw_only=True)
class ErrorResponse:
    """Define the response for one error kind.

    ``status`` is an HTTP status. ``run_state`` is the default for failures
    that don't set their own. ``retryable`` is whether the client should retry.
    """

    status: int
    run_state: RunState
    retryable: bool = False

    def __attrs_post_init__(self) -> None:
        """Raise ``ValueError`` if the status alone says 'not run'."""
        is_not_run = self.run_state is RunState.NOT_RUN
        if self.status in NOT_RUN_STATUSES and not is_not_run:
            raise ValueError(f'status {self.status} beside {self.run_state}')


def _not_run(status: int, *, retryable: bool = False) -> ErrorResponse:
    return ErrorResponse(
        status=status,
        run_state=RunState.NOT_RUN,
        retryable=retryable,
    )


def _outcome_unknown(status: int) -> ErrorResponse:
    return ErrorResponse(
        status=status,
        run_state=RunState.UNKNOWN,
        retryable=True,
    )


ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: _not_run(HTTPStatus.BAD_REQUEST),
        ErrorKind.BODY_TOO_LARGE: _not_run(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        ErrorKind.UPLOAD_TIMEOUT: _not_run(
            HTTPStatus.REQUEST_TIMEOUT, retryable=True
        ),
        ErrorKind.BAD_API_KEY: _not_run(HTTPStatus.UNAUTHORIZED),
        ErrorKind.UNKNOWN_MODEL: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.UNKNOWN_ROUTE: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.NO_BACKEND_SERVER: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, retryable=True
        ),
        ErrorKind.OVERLOADED: _not_run(
            HTTPStatus.TOO_MANY_REQUESTS, retryable=True
        ),
        ErrorKind.RATE_LIMITED: _not_run(
            HTTPStatus.TOO_MANY_REQUESTS, retryable=True
        ),
        ErrorKind.PROMPT_QUARANTINED: _not_run(HTTPStatus.SERVICE_UNAVAILABLE),
        ErrorKind.DEADLINE_EXCEEDED: _not_run(
            HTTPStatus.GATEWAY_TIMEOUT, retryable=True
        ),
        ErrorKind.DRAINING: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, retryable=True
        ),
        ErrorKind.CLIENT_HALF_CLOSED: _not_run(HTTPStatus.SERVICE_UNAVAILABLE),
        ErrorKind.NOT_CONFIGURED: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, retryable=True
        ),
        ErrorKind.CONFIGURATION_TOO_OLD: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, retryable=True
        ),
        ErrorKind.STREAM_BROKEN: ErrorResponse(
            status=HTTPStatus.BAD_GATEWAY,
            run_state=RunState.RAN,
            retryable=True,
        ),
        ErrorKind.LEDGER_UNAVAILABLE: _outcome_unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.IN_PROGRESS: _outcome_unknown(HTTPStatus.CONFLICT),
        ErrorKind.OUTCOME_UNKNOWN: _outcome_unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.KEY_REUSED: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.VERSION_CONFLICT: _not_run(HTTPStatus.CONFLICT),
        ErrorKind.INVALID_RESOURCE: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.UNKNOWN_RESOURCE: _not_run(HTTPStatus.NOT_FOUND),
        ErrorKind.LOG_UNAVAILABLE: _outcome_unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.LOG_RATE_LIMITED: _not_run(
            HTTPStatus.TOO_MANY_REQUESTS,
            retryable=True,
        ),
        ErrorKind.PEER_UNREACHABLE: _outcome_unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.BAD_MESSAGE: _outcome_unknown(HTTPStatus.BAD_GATEWAY),
        ErrorKind.INTERNAL: _outcome_unknown(HTTPStatus.INTERNAL_SERVER_ERROR),
    }
)


@attrs.frozen(kw_only=True)
class Failure:
    """Describe why one request failed.

    ``detail`` is a message for people. ``retry_after_s`` is the delay in
    seconds that is suggested to the client. ``run_state`` overrides the
    default of the kind where the code that failed can be more precise.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    run_state: RunState | None = None

    @property
    def default_response(self) -> ErrorResponse:
        """Return the entry of ``ERROR_RESPONSES`` for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def effective_run_state(self) -> RunState:
        """Return the run state of this failure, or the default of its kind."""
        return self.run_state or self.default_response.run_state

    @property
    def is_not_run(self) -> bool:
        """Return whether the request was certainly not executed."""
        return self.effective_run_state is RunState.NOT_RUN

    @property
    def status(self) -> int:
        """Return the HTTP status of the response.

        One of ``NOT_RUN_STATUSES`` is only sent if the request was not run.
        """
        status = self.default_response.status
        if status in NOT_RUN_STATUSES and not self.is_not_run:
            return HTTPStatus.BAD_GATEWAY
        return status

    def unless_run(self, *, may_have_run: bool) -> 'Failure':
        """Return this failure, but no claim that a request didn't run.

        That claim is dropped for a request that ``may_have_run``.
        """
        if not (may_have_run and self.is_not_run):
            return self
        return attrs.evolve(self, run_state=RunState.UNKNOWN)

    @property
    def retry_after_header(self) -> str | None:
        """Return the ``Retry-After`` value in whole seconds, rounded up.

        The value is at least 1. Without ``retry_after_s`` it is 1 for
        retryable kinds and None for others.
        """
        if self.retry_after_s is None:
            return '1' if self.default_response.retryable else None
        return str(max(1, math.ceil(self.retry_after_s)))

    def to_json(self) -> dict[str, object]:
        """Return the response body in the error format of the OpenAI API."""
        return {
            'error': {
                'type': self.kind.value,
                'code': self.kind.value,
                'message': self.detail,
                'run_state': self.effective_run_state.value,
                'retryable': self.default_response.retryable,
            },
        }
