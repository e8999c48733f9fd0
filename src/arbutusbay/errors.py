"""Expose the error kinds, their answers and the failure type."""

from arbutusbay._errors import (
    ANSWERS,
    ErrorAnswer,
    ErrorKind,
    Failure,
    RunState,
)

__all__ = ('ANSWERS', 'ErrorAnswer', 'ErrorKind', 'Failure', 'RunState')
