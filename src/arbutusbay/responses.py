"""Expose the reading of responses, which shows whether they are whole."""

from arbutusbay._response_body import (
    BodyEnd,
    CutBody,
    WholeBody,
    body_end,
    read_body,
)
from arbutusbay._whole_responses import (
    NoResponse,
    WholeResponse,
    fetch_message,
    fetch_whole,
)

__all__ = (
    'BodyEnd',
    'CutBody',
    'NoResponse',
    'WholeBody',
    'WholeResponse',
    'body_end',
    'fetch_message',
    'fetch_whole',
    'read_body',
)
