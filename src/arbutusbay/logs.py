"""Expose the logging setup."""

from arbutusbay._logs import (
    LineWriter,
    get_logger,
    setup_logs,
    setup_nonblocking_logs,
)

__all__ = ('LineWriter', 'get_logger', 'setup_logs', 'setup_nonblocking_logs')
