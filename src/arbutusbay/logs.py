"""Expose the set-up of logs."""

from arbutusbay._logs import (
    LineWriter,
    get_logger,
    setup_logs,
    setup_nonblocking_logs,
)

__all__ = ('LineWriter', 'get_logger', 'setup_logs', 'setup_nonblocking_logs')
