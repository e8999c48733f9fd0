"""Expose how to keep the HTTP client from sending a request twice."""

from arbutusbay._single_send import disable_repetition

__all__ = ('disable_repetition',)
