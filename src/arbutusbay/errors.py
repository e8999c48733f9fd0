"""Expose the error kinds, their HTTP responses and the failure type."""

from arbutusbay._errors import (
    ANSWERS,
    ErrorAnswer,
    ErrorKind,
    Failure,
    RunState,
)

__all__ = ('ANSWERS', 'ErrorAnswer', 'ErrorKind', 'Failure', 'RunState')
