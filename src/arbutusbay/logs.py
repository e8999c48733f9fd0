"""Expose the logging setup."""

from arbutusbay._logs import (
    NonblockingLineWriter,
    get_logger,
    setup_logs,
    setup_nonblocking_logs,
)

__all__ = (
    'NonblockingLineWriter',
    'get_logger',
    'setup_logs',
    'setup_nonblocking_logs',
)
