"""Expose responses that are sent piece by piece, for both edges."""

from arbutusbay._response_streams import (
    ResponseStream,
    abort_connection,
    begin_stream,
    flow_of,
    is_connection_open,
)

__all__ = (
    'ResponseStream',
    'abort_connection',
    'begin_stream',
    'flow_of',
    'is_connection_open',
)
