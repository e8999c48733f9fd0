"""Expose the messages about prompt segments."""

from arbutusbay._quarantine_exchange import build_exchange, read_exchange

__all__ = ('build_exchange', 'read_exchange')
