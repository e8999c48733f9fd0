"""Expose the fair order of waiting requests, shared by both edges."""

from arbutusbay.fairness._fair_queue import FLOOR_SHARE, FairQueue
from arbutusbay.fairness._queue_entry import QueueEntry, work_tokens
from arbutusbay.fairness._team_work import TeamWork

__all__ = (
    'FLOOR_SHARE',
    'FairQueue',
    'QueueEntry',
    'TeamWork',
    'work_tokens',
)
