"""Expose the bounded reading of response bodies."""

from arbutusbay._response_body import read_body

__all__ = ('read_body',)
