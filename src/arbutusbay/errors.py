"""Expose the error kinds, their HTTP responses and the failure type."""

from arbutusbay._errors import (
    ERROR_RESPONSES,
    NOT_RUN_STATUSES,
    ErrorKind,
    ErrorResponse,
    Failure,
    RunState,
    require_executed,
)

__all__ = (
    'ERROR_RESPONSES',
    'NOT_RUN_STATUSES',
    'ErrorKind',
    'ErrorResponse',
    'Failure',
    'RunState',
    'require_executed',
)
