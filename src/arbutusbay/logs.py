"""Expose the set-up of logs."""

from arbutusbay._logs import get_logger, setup_logs

__all__ = ('get_logger', 'setup_logs')
