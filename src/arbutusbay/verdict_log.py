"""Expose the log line for verdicts about prompt segments."""

from arbutusbay._verdict_log import log_verdict_change

__all__ = ('log_verdict_change',)
