"""Expose the clock for leases and ages, which counts time suspended."""

from arbutusbay._clock import milliseconds, now_s

__all__ = ('milliseconds', 'now_s')
